#ifndef WAGTAILWIND_CORE_LINE_LOG_H_
#define WAGTAILWIND_CORE_LINE_LOG_H_

#include <cstdint>

namespace wagtailwind {

/// \brief Writes buffered log lines as far as the reader of the output takes them, never waiting.
/// For programs that log through a bounded buffer; call it at short intervals.
void FlushLogLines() noexcept;

/// \brief Lines that were dropped because the buffer was full.
[[nodiscard]] std::uint64_t DroppedLogLines() noexcept;

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_LINE_LOG_H_
