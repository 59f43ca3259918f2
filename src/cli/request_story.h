#ifndef WAGTAILWIND_CLI_REQUEST_STORY_H_
#define WAGTAILWIND_CLI_REQUEST_STORY_H_

#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::cli {

/// \brief A line of a daemon's log.
struct LogLine {
  /// UTC, in a form whose order is that of time.
  std::string time;
  std::string process;
  std::string name;
  nlohmann::ordered_json fields;
};

/// \brief The lines of one request, with what their processes believed before.
struct RequestStory {
  /// In order of time.
  std::vector<LogLine> request;
  /// For each process of the request, the last line of each event that changed what it believes,
  /// before the request's first line there.
  std::vector<LogLine> beliefs;
  /// Lines of the input that are no log lines.
  std::size_t unreadable = 0;
};

/// \brief Reads log lines; text before the opening brace, such as a collector's prefix, is skipped.
[[nodiscard]] std::vector<LogLine> ReadLogLines(std::istream& input, std::size_t& unreadable);

/// \brief Collects the story of a request from lines in any order.
[[nodiscard]] RequestStory FindRequest(std::vector<LogLine> lines, std::string_view id);

/// \brief Milliseconds between two times of log lines; negative if `later` is earlier.
[[nodiscard]] long long MillisecondsBetween(std::string_view earlier, std::string_view later);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_REQUEST_STORY_H_
