#include "cli/request_story.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;

// Events that change the state of a process on which the handling of a request may depend.
constexpr std::string_view kStateEvents[] = {
    "forwarder_started", "settings_reloaded",  "configuration_in_force", "configuration_ignored",
    "key_value_lost",    "key_value_regained", "readiness_changed",      "endpoint_listed",
    "endpoint_removed",  "forwarder_stopping"};

bool IsStateEvent(std::string_view name) {
  return std::find(std::begin(kStateEvents), std::end(kStateEvents), name) !=
         std::end(kStateEvents);
}

std::optional<LogLine> ParseLine(const std::string& text) {
  const std::size_t brace = text.find('{');
  if (brace == std::string::npos) {
    return std::nullopt;
  }
  Json object =
      Json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace), text.end(), nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  LogLine line;
  for (const auto& [key, target] :
       {std::pair{"time", &line.time}, std::pair{"process", &line.process},
        std::pair{"name", &line.name}}) {
    if (!object.contains(key) || !object[key].is_string()) {
      return std::nullopt;
    }
    *target = object[key].get<std::string>();
    object.erase(key);
  }
  line.fields = std::move(object);
  return line;
}

bool HasRequestId(const LogLine& line, std::string_view id) {
  return line.fields.contains("id") && line.fields["id"] == id;
}

bool IsFinalEvent(std::string_view name) {
  return name == "request_forwarded" || name == "request_refused" || name == "caller_left";
}

/// Adds the next start of each process that logged no end of the request. A process that is killed
/// while it handles the request can't log the end, so only its restart shows that it was killed.
void AddRestarts(const std::vector<LogLine>& lines, RequestTrace& trace) {
  std::map<std::string, std::string> unfinished;
  for (const LogLine& line : trace.request) {
    unfinished[line.process] = line.time;
  }
  for (const LogLine& line : trace.request) {
    if (IsFinalEvent(line.name)) {
      unfinished.erase(line.process);
    }
  }
  for (const LogLine& line : lines) {
    const auto found = unfinished.find(line.process);
    if (found != unfinished.end() && line.name == "forwarder_started" &&
        line.time > found->second) {
      trace.request.push_back(line);
      unfinished.erase(found);
    }
  }
}

}  // namespace

std::vector<LogLine> ReadLogLines(std::istream& input, std::size_t& malformed_lines) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    if (auto line = ParseLine(text)) {
      lines.push_back(*std::move(line));
    } else if (!text.empty()) {
      ++malformed_lines;
    }
  }
  return lines;
}

RequestTrace BuildRequestTrace(std::vector<LogLine> lines, std::string_view id) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  RequestTrace trace;
  std::map<std::string, std::string> first_times;
  std::set<std::string> endpoints;
  for (const LogLine& line : lines) {
    if (HasRequestId(line, id)) {
      trace.request.push_back(line);
      first_times.try_emplace(line.process, line.time);
      endpoints.insert(line.fields.value("endpoint", std::string()));
    }
  }
  AddRestarts(lines, trace);
  // The key joins process, event name, feed and endpoint.
  std::map<std::string, LogLine> latest_events;
  for (const LogLine& line : lines) {
    const auto first = first_times.find(line.process);
    if (first == first_times.end() || line.time > first->second || !IsStateEvent(line.name)) {
      continue;
    }
    const std::string endpoint = line.fields.value("endpoint", std::string());
    if (!endpoint.empty() && !endpoints.contains(endpoint)) {
      continue;
    }
    latest_events[line.process + "/" + line.name + "/" + line.fields.value("feed", std::string()) +
                  "/" + endpoint] = line;
  }
  for (auto& [key, line] : latest_events) {
    trace.prior_state.push_back(std::move(line));
  }
  std::stable_sort(trace.prior_state.begin(), trace.prior_state.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return trace;
}

long long MillisecondsBetween(std::string_view earlier, std::string_view later) {
  const auto parse = [](std::string_view text) -> long long {
    std::tm time{};
    int milliseconds = 0;
    const std::string copy(text);
    constexpr int kTimestampFields = 7;
    if (std::sscanf(copy.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year, &time.tm_mon,
                    &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec,
                    &milliseconds) != kTimestampFields) {
      return 0;
    }
    constexpr int kFirstYear = 1900;
    time.tm_year -= kFirstYear;
    --time.tm_mon;
    constexpr long long kMillisecondsPerSecond = 1000;
    return static_cast<long long>(timegm(&time)) * kMillisecondsPerSecond + milliseconds;
  };
  return parse(later) - parse(earlier);
}

}  // namespace wagtailwind::cli
