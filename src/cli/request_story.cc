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

// Events that change what a process believes and that may decide a request.
constexpr std::string_view kBeliefs[] = {
    "forwarder_started", "settings_reloaded",  "configuration_in_force", "configuration_ignored",
    "key_value_lost",    "key_value_regained", "readiness_changed",      "endpoint_listed",
    "endpoint_removed",  "forwarder_stopping"};

bool IsBelief(std::string_view name) {
  return std::find(std::begin(kBeliefs), std::end(kBeliefs), name) != std::end(kBeliefs);
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

bool BelongsTo(const LogLine& line, std::string_view id) {
  return line.fields.contains("id") && line.fields["id"] == id;
}

bool IsEnd(std::string_view name) {
  return name == "request_forwarded" || name == "request_refused" || name == "caller_left";
}

/// A process that ended in the middle of the request left no line of its end; its next start tells.
void AddRestarts(const std::vector<LogLine>& lines, RequestStory& story) {
  std::map<std::string, std::string> unfinished;
  for (const LogLine& line : story.request) {
    unfinished[line.process] = line.time;
  }
  for (const LogLine& line : story.request) {
    if (IsEnd(line.name)) {
      unfinished.erase(line.process);
    }
  }
  for (const LogLine& line : lines) {
    const auto found = unfinished.find(line.process);
    if (found != unfinished.end() && line.name == "forwarder_started" &&
        line.time > found->second) {
      story.request.push_back(line);
      unfinished.erase(found);
    }
  }
}

}  // namespace

std::vector<LogLine> ReadLogLines(std::istream& input, std::size_t& unreadable) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    if (auto line = ParseLine(text)) {
      lines.push_back(*std::move(line));
    } else if (!text.empty()) {
      ++unreadable;
    }
  }
  return lines;
}

RequestStory FindRequest(std::vector<LogLine> lines, std::string_view id) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  RequestStory story;
  std::map<std::string, std::string> first_times;
  std::set<std::string> endpoints;
  for (const LogLine& line : lines) {
    if (BelongsTo(line, id)) {
      story.request.push_back(line);
      first_times.try_emplace(line.process, line.time);
      endpoints.insert(line.fields.value("endpoint", std::string()));
    }
  }
  AddRestarts(lines, story);
  // By process, event, and the feed or endpoint that an event is about.
  std::map<std::string, LogLine> latest;
  for (const LogLine& line : lines) {
    const auto first = first_times.find(line.process);
    if (first == first_times.end() || line.time > first->second || !IsBelief(line.name)) {
      continue;
    }
    const std::string endpoint = line.fields.value("endpoint", std::string());
    if (!endpoint.empty() && !endpoints.contains(endpoint)) {
      continue;
    }
    latest[line.process + "/" + line.name + "/" + line.fields.value("feed", std::string()) + "/" +
           endpoint] = line;
  }
  for (auto& [key, line] : latest) {
    story.beliefs.push_back(std::move(line));
  }
  std::stable_sort(story.beliefs.begin(), story.beliefs.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return story;
}

long long MillisecondsBetween(std::string_view earlier, std::string_view later) {
  const auto parse = [](std::string_view text) -> long long {
    std::tm time{};
    int milliseconds = 0;
    const std::string copy(text);
    constexpr int kFields = 7;
    if (std::sscanf(copy.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year, &time.tm_mon,
                    &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec,
                    &milliseconds) != kFields) {
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
