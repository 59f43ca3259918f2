#ifndef WAGTAILWIND_CLI_REQUEST_STORY_H_
#define WAGTAILWIND_CLI_REQUEST_STORY_H_

#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::cli {

/// \brief A parsed line of a daemon's log.
struct LogLine {
  /// UTC timestamp; lexical order is chronological order.
  std::string time;
  std::string process;
  std::string name;
  nlohmann::ordered_json fields;
};

/// \brief Why a process sent an endpoint, or the endpoints of a zone, no requests or only a share
/// of them.
struct RestrictedPlacement {
  std::string process{};
  /// Name of the endpoint; empty if `zone` is set.
  std::string endpoint{};
  std::string zone{};
  /// As in logs: `leaving`, `evacuated`, `paused`, `at_limit` or `cold`.
  std::string reason{};
  std::string since{};
  /// When it ended, or ends by what the process knew; empty if the log doesn't tell.
  std::string until{};
  /// Requests a second that the process may send meanwhile; absent if it may send none.
  std::optional<double> rate{};
};

/// \brief The log lines of one request and the earlier state of the processes that handled it.
struct RequestTrace {
  /// In chronological order.
  std::vector<LogLine> request;
  /// For each process that handled the request, the last line of each kind of state event up to
  /// the first line of the request there, in chronological order.
  std::vector<LogLine> prior_state;
  /// For each process that handled the request, what was in force between its first and its last
  /// line of the request, in the order of the beginnings.
  std::vector<RestrictedPlacement> restricted;
  /// Number of input lines that are not log lines.
  std::size_t malformed_lines = 0;
};

/// \brief Parses log lines. Skips text before the opening brace, such as a collector's prefix, and
/// adds the number of lines that are not log lines to `malformed_lines`.
[[nodiscard]] std::vector<LogLine> ReadLogLines(std::istream& input, std::size_t& malformed_lines);

/// \brief Builds the trace of a request from log lines in any order.
[[nodiscard]] RequestTrace BuildRequestTrace(std::vector<LogLine> lines, std::string_view id);

/// \brief Returns the milliseconds from `earlier` to `later`, which are timestamps of log lines;
/// negative if `later` is earlier.
[[nodiscard]] long long MillisecondsBetween(std::string_view earlier, std::string_view later);

/// \brief Returns the timestamp `milliseconds` later.
[[nodiscard]] std::string AddMilliseconds(std::string_view timestamp, long long milliseconds);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_REQUEST_STORY_H_
