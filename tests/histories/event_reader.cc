#include "histories/event_reader.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace wagtailwind::histories {

namespace {

using nlohmann::json;

std::string ErrorType(const std::string& data) {
  const json document = json::parse(data, nullptr, false);
  const json::json_pointer type("/error/type");
  return document.is_object() && document.contains(type) ? document.at(type).get<std::string>()
                                                         : "malformed";
}

std::string Content(const std::string& data) {
  const json document = json::parse(data, nullptr, false);
  const json::json_pointer content("/choices/0/delta/content");
  return document.is_object() && document.contains(content)
             ? document.at(content).get<std::string>()
             : "";
}

void ReadEvent(absl::string_view event, EventReading& reading) {
  std::string data;
  bool is_error = false;
  std::string id;
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    if (absl::ConsumePrefix(&line, "data: ")) {
      data += std::string(line);
    } else if (absl::ConsumePrefix(&line, "id: ")) {
      id = std::string(line);
    } else if (line == "event: error") {
      is_error = true;
    }
  }
  if (is_error) {
    reading.error_type = ErrorType(data);
    return;
  }
  if (data == "[DONE]") {
    reading.done = true;
  } else {
    reading.text += Content(data);
  }
  if (!id.empty()) {
    reading.first_id = reading.first_id.empty() ? id : reading.first_id;
    reading.last_id = id;
  }
}

}  // namespace

EventReading ReadEvents(std::string_view body) {
  EventReading reading;
  absl::string_view rest(body.data(), body.size());
  for (std::size_t end = rest.find("\n\n"); end != absl::string_view::npos;
       end = rest.find("\n\n")) {
    ReadEvent(rest.substr(0, end), reading);
    rest.remove_prefix(end + 2);
  }
  return reading;
}

}  // namespace wagtailwind::histories
