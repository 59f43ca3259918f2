#ifndef WAGTAILWIND_CORE_LOG_LEVEL_NAME_H_
#define WAGTAILWIND_CORE_LOG_LEVEL_NAME_H_

#include "core/log.h"

namespace wagtailwind::detail {

/// \brief Name of a level in log lines.
[[nodiscard]] constexpr const char* LevelName(LogLevel level) noexcept {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

}  // namespace wagtailwind::detail

#endif  // WAGTAILWIND_CORE_LOG_LEVEL_NAME_H_
