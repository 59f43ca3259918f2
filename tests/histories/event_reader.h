#ifndef WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_
#define WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_

#include <string>
#include <string_view>

namespace wagtailwind::histories {

/// \brief What a caller makes of the events of a stream. An event without its blank line is not
/// read.
struct EventReading {
  std::string text;
  std::string first_id;
  std::string last_id;
  bool done = false;
  /// Type of the error event; empty if there was none.
  std::string error_type;
};

[[nodiscard]] EventReading ReadEvents(std::string_view body);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_EVENT_READER_H_
