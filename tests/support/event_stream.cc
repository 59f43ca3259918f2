#include "support/event_stream.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace wagtailwind::testing {

namespace {

using Json = nlohmann::json;

struct ChunkedBody {
  std::string body;
  bool ended = false;
};

ChunkedBody DecodeChunkedBody(std::string_view raw) {
  ChunkedBody decoded;
  const std::size_t head_end = raw.find("\r\n\r\n");
  std::size_t at = head_end == std::string_view::npos ? raw.size() : head_end + 4;
  while (at < raw.size()) {
    const std::size_t line_end = raw.find("\r\n", at);
    std::size_t size = 0;
    if (line_end == std::string_view::npos ||
        std::from_chars(raw.data() + at, raw.data() + line_end, size, 16).ec != std::errc()) {
      break;
    }
    if (size == 0) {
      decoded.ended = true;
      break;
    }
    decoded.body.append(raw.substr(line_end + 2, size));
    at = line_end + 2 + size + 2;
  }
  return decoded;
}

void ParseData(std::string_view data, bool is_error, EventStream& stream) {
  if (is_error) {
    stream.error = data;
    return;
  }
  if (data == "[DONE]") {
    stream.done = true;
    return;
  }
  const Json event = Json::parse(data, nullptr, false);
  const Json::json_pointer content("/choices/0/delta/content");
  if (event.is_object() && event.contains(content)) {
    stream.tokens.push_back(event[content].get<std::string>());
  }
}

void ParseEvent(std::string_view event, EventStream& stream) {
  constexpr std::string_view kData = "data: ";
  constexpr std::string_view kId = "id: ";
  bool is_error = false;
  while (!event.empty()) {
    const std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(line.size() + 1, event.size()));
    is_error = is_error || line == "event: error";
    if (line.starts_with(kData)) {
      ParseData(line.substr(kData.size()), is_error, stream);
    } else if (line.starts_with(kId)) {
      stream.last_id = line.substr(kId.size());
    }
  }
}

}  // namespace

EventStream ReadEvents(std::string_view body) {
  EventStream stream;
  for (std::size_t end = body.find("\n\n"); end != std::string_view::npos;
       end = body.find("\n\n")) {
    ParseEvent(body.substr(0, end), stream);
    body.remove_prefix(end + 2);
  }
  return stream;
}

std::string DecodeChunks(std::string_view raw) { return DecodeChunkedBody(raw).body; }

bool HasLastChunk(std::string_view raw) { return DecodeChunkedBody(raw).ended; }

bool AreTokensOfOneGeneration(const std::vector<std::string>& tokens, std::size_t first,
                              std::size_t last) {
  if (tokens.size() != last - first) {
    return false;
  }
  std::string generation;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    const std::string_view token =
        std::string_view(tokens[i]).substr(tokens[i].starts_with(' ') ? 1 : 0);
    const std::size_t slash = token.rfind('/');
    if (slash == std::string_view::npos || token.substr(slash + 1) != std::to_string(first + i)) {
      return false;
    }
    if (i == 0) {
      generation = token.substr(0, slash);
    }
    if (token.substr(0, slash) != generation) {
      return false;
    }
  }
  return true;
}

}  // namespace wagtailwind::testing
