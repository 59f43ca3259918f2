#ifndef WAGTAILWIND_CORE_LOG_H_
#define WAGTAILWIND_CORE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wagtailwind {

/// \brief Severity of a log event.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// \brief A numbered log event. Each module defines its events in `<module>/log_events.h`; the
/// catalogue is docs/log-events.md.
struct LogEvent {
  int number;
  LogLevel level;
  std::string_view name;
};

/// \brief One key and value of a log line.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  template <typename Number>
  requires(std::integral<Number> || std::floating_point<Number>)
      LogField(std::string_view field_key, Number field_value)
      : key(field_key), value(std::to_string(field_value)) {}

  std::string_view key;
  std::string value;
};

/// \brief Sets the lowest level that is logged and the process name in each line. Lines are JSON
/// objects on standard error, or on standard output in programs that link line_log.cc.
void InitialiseLogging(LogLevel minimum, std::string_view process_name);

/// \brief Logs an event with its fields, unless its level is below the minimum.
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_LOG_H_
