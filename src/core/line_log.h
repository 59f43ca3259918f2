#ifndef WAGTAILWIND_CORE_LINE_LOG_H_
#define WAGTAILWIND_CORE_LINE_LOG_H_

#include <cstdint>

namespace wagtailwind {

/// \brief Writes buffered log lines to standard output until it would block, and keeps the rest.
/// Programs that link line_log.cc call this at short intervals.
void FlushLogLines() noexcept;

/// \brief Number of log lines that were dropped because the buffer was full.
[[nodiscard]] std::uint64_t DroppedLogLines() noexcept;

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_LINE_LOG_H_
