#ifndef WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_
#define WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_

#include <string>
#include <string_view>

namespace wagtailwind::histories {

/// \brief The parsed events of a stream. An event without its terminating blank line is ignored.
struct ParsedEvents {
  std::string text;
  std::string first_id;
  std::string last_id;
  bool done = false;
  /// Type of the error event; empty if there was none.
  std::string error_type;
};

/// \brief Parses the server-sent events of a response body.
[[nodiscard]] ParsedEvents ParseEvents(std::string_view body);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_
