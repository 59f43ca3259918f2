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

void ParseEvent(absl::string_view event, ParsedEvents& events) {
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
    events.error_type = ErrorType(data);
    return;
  }
  if (data == "[DONE]") {
    events.done = true;
  } else {
    events.text += Content(data);
  }
  if (!id.empty()) {
    events.first_id = events.first_id.empty() ? id : events.first_id;
    events.last_id = id;
  }
}

}  // namespace

ParsedEvents ParseEvents(std::string_view body) {
  ParsedEvents events;
  absl::string_view rest(body.data(), body.size());
  for (std::size_t end = rest.find("\n\n"); end != absl::string_view::npos;
       end = rest.find("\n\n")) {
    ParseEvent(rest.substr(0, end), events);
    rest.remove_prefix(end + 2);
  }
  return events;
}

}  // namespace wagtailwind::histories
