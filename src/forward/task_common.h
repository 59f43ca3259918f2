#ifndef WAGTAILWIND_FORWARD_TASK_COMMON_H_
#define WAGTAILWIND_FORWARD_TASK_COMMON_H_

#include <chrono>
#include <cstdint>

/// \brief Definitions shared by the source files of ForwardTask.
namespace wagtailwind::forward::detail {

inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusUnavailable = 503;

[[nodiscard]] inline std::int64_t ToMilliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace wagtailwind::forward::detail

#endif  // WAGTAILWIND_FORWARD_TASK_COMMON_H_
