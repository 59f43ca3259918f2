#include "cli/request_story.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "balancing/availability.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kFirstYear = 1900;
constexpr long long kMillisecondsPerSecond = 1000;

// Events that change the state of a process on which the handling of a request may depend.
constexpr std::string_view kStateEvents[] = {
    "forwarder_started", "settings_reloaded",  "configuration_in_force", "configuration_ignored",
    "key_value_lost",    "key_value_regained", "readiness_changed",      "endpoint_listed",
    "endpoint_removed",  "key_value_restored", "forwarder_stopping"};

/// Returns a field of a line, or the default if it is missing or of another type.
std::string TextField(const LogLine& line, const char* name) {
  const auto found = line.fields.find(name);
  return found != line.fields.end() && found->is_string() ? found->get<std::string>()
                                                          : std::string();
}

/// Returns a number, which daemons write as text; 0 if the field is missing or no number.
double NumberField(const LogLine& line, const char* name) {
  const std::string text = TextField(line, name);
  double number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc() && result.ptr == text.data() + text.size() ? number : 0;
}

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

using balancing::ToText;
using balancing::Unavailability;

/// Follows what restricts the placement of requests in the log lines of one process, which must be
/// added in chronological order.
class RestrictionLog {
 public:
  void Add(const LogLine& line) {
    const std::string endpoint = TextField(line, "endpoint");
    const std::string zone = TextField(line, "zone");
    if (line.name == "forwarder_started") {
      EndAll(line.time);
    } else if (line.name == "endpoint_removed") {
      for (const Unavailability reason : {Unavailability::kLeaving, Unavailability::kPaused,
                                          Unavailability::kAtLimit, Unavailability::kCold}) {
        End({ToText(reason), endpoint}, line.time);
      }
    } else if (line.name == "endpoint_leaving") {
      Begin(line, Unavailability::kLeaving, {.endpoint = endpoint});
    } else if (line.name == "endpoint_paused") {
      Begin(line, Unavailability::kPaused,
            {.endpoint = endpoint, .until = EndTime(line, "left_ms")});
    } else if (line.name == "endpoint_cold") {
      Begin(line, Unavailability::kCold,
            {.endpoint = endpoint, .until = EndTime(line, "cold_ms"), .rate = Rate(line)});
    } else if (line.name == "endpoint_limit_changed") {
      End({ToText(Unavailability::kAtLimit), endpoint}, line.time);
      if (NumberField(line, "limited") > 0) {
        Begin(line, Unavailability::kAtLimit, {.endpoint = endpoint, .rate = Rate(line)});
      }
    } else if (line.name == "zone_evacuated") {
      Begin(line, Unavailability::kEvacuated, {.zone = zone});
    } else if (line.name == "zone_restored") {
      End({ToText(Unavailability::kEvacuated), zone}, line.time);
    }
  }

  /// Appends what was in force at some time from `first` to `last`.
  void AppendInForce(const std::string& first, const std::string& last,
                     std::vector<RestrictedPlacement>& found) const {
    for (const RestrictedPlacement& entry : m_entries) {
      if (entry.since <= last && (entry.until.empty() || entry.until > first)) {
        found.push_back(entry);
      }
    }
  }

 private:
  /// Reason, and name of the endpoint or zone.
  using Key = std::pair<std::string_view, std::string>;

  static std::string EndTime(const LogLine& line, const char* field) {
    return AddMilliseconds(line.time, static_cast<long long>(NumberField(line, field)));
  }

  static std::optional<double> Rate(const LogLine& line) {
    const double rate = NumberField(line, "rate");
    return rate > 0 ? std::optional(rate) : std::nullopt;
  }

  void Begin(const LogLine& line, Unavailability reason, RestrictedPlacement entry) {
    const Key key{ToText(reason), entry.zone.empty() ? entry.endpoint : entry.zone};
    const auto open = m_open.find(key);
    if (open != m_open.end()) {
      RestrictedPlacement& earlier = m_entries[open->second];
      if (earlier.until.empty() || earlier.until > line.time) {
        // A second pause may be shorter than what is left of the first.
        earlier.until = std::max(earlier.until, entry.until);
        return;
      }
    }
    entry.process = line.process;
    entry.reason = key.first;
    entry.since = line.time;
    m_open[key] = m_entries.size();
    m_entries.push_back(std::move(entry));
  }

  void End(const Key& key, const std::string& time) {
    const auto open = m_open.find(key);
    if (open != m_open.end()) {
      EndEntry(m_entries[open->second], time);
      m_open.erase(open);
    }
  }

  void EndAll(const std::string& time) {
    for (const auto& [key, index] : m_open) {
      EndEntry(m_entries[index], time);
    }
    m_open.clear();
  }

  static void EndEntry(RestrictedPlacement& entry, const std::string& time) {
    if (entry.until.empty() || entry.until > time) {
      entry.until = time;
    }
  }

  std::vector<RestrictedPlacement> m_entries;
  /// Index of the newest entry of each key, unless a line has ended it.
  std::map<Key, std::size_t> m_open;
};

void AddRestrictions(const std::vector<LogLine>& lines, RequestTrace& trace) {
  struct Period {
    std::string first;
    std::string last;
  };
  std::map<std::string, Period> periods;
  for (const LogLine& line : trace.request) {
    periods.try_emplace(line.process, Period{.first = line.time, .last = {}});
    periods[line.process].last = line.time;
  }
  std::map<std::string, RestrictionLog> logs;
  for (const LogLine& line : lines) {
    if (periods.contains(line.process)) {
      logs[line.process].Add(line);
    }
  }
  for (const auto& [process, log] : logs) {
    log.AppendInForce(periods[process].first, periods[process].last, trace.restricted);
  }
  std::stable_sort(
      trace.restricted.begin(), trace.restricted.end(),
      [](const RestrictedPlacement& a, const RestrictedPlacement& b) { return a.since < b.since; });
}

/// Returns the milliseconds since the epoch; empty if the text is no timestamp.
std::optional<long long> ParseTimestamp(std::string_view text) {
  std::tm time{};
  int milliseconds = 0;
  const std::string copy(text);
  constexpr int kTimestampFields = 7;
  if (std::sscanf(copy.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year, &time.tm_mon, &time.tm_mday,
                  &time.tm_hour, &time.tm_min, &time.tm_sec, &milliseconds) != kTimestampFields) {
    return std::nullopt;
  }
  time.tm_year -= kFirstYear;
  --time.tm_mon;
  return static_cast<long long>(timegm(&time)) * kMillisecondsPerSecond + milliseconds;
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
      endpoints.insert(TextField(line, "endpoint"));
    }
  }
  AddRestarts(lines, trace);
  AddRestrictions(lines, trace);
  // The key joins process, event name, feed and endpoint.
  std::map<std::string, LogLine> latest_events;
  for (const LogLine& line : lines) {
    const auto first = first_times.find(line.process);
    if (first == first_times.end() || line.time > first->second || !IsStateEvent(line.name)) {
      continue;
    }
    const std::string endpoint = TextField(line, "endpoint");
    if (!endpoint.empty() && !endpoints.contains(endpoint)) {
      continue;
    }
    latest_events[line.process + "/" + line.name + "/" + TextField(line, "feed") + "/" + endpoint] =
        line;
  }
  for (auto& [key, line] : latest_events) {
    trace.prior_state.push_back(std::move(line));
  }
  std::stable_sort(trace.prior_state.begin(), trace.prior_state.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return trace;
}

long long MillisecondsBetween(std::string_view earlier, std::string_view later) {
  return ParseTimestamp(later).value_or(0) - ParseTimestamp(earlier).value_or(0);
}

std::string AddMilliseconds(std::string_view timestamp, long long milliseconds) {
  const long long sum = ParseTimestamp(timestamp).value_or(0) + std::max(milliseconds, 0LL);
  const std::time_t seconds = sum / kMillisecondsPerSecond;
  std::tm time{};
  gmtime_r(&seconds, &time);
  char text[64];
  std::snprintf(text, sizeof(text), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                time.tm_year + kFirstYear, time.tm_mon + 1, time.tm_mday, time.tm_hour, time.tm_min,
                time.tm_sec, static_cast<int>(sum % kMillisecondsPerSecond));
  return text;
}

}  // namespace wagtailwind::cli
