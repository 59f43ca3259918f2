#ifndef WAGTAILWIND_ROUTER_CALLER_ERROR_H_
#define WAGTAILWIND_ROUTER_CALLER_ERROR_H_

#include <chrono>
#include <string>

#include "requests/outcome.h"

namespace wagtailwind::router {

/// \brief A failure as the caller is told of it.
struct CallerError {
  requests::FailureReason reason = requests::FailureReason::kNone;
  requests::Outcome outcome = requests::Outcome::kNotRun;
  std::chrono::milliseconds retry_after{0};
  /// Empty: the reason's usual message.
  std::string message;
};

/// \brief HTTP status of an error.
[[nodiscard]] int StatusOf(const CallerError& error) noexcept;

/// \brief The JSON body `{"error":{"type","message","outcome","retry_after_ms"}}`.
[[nodiscard]] std::string ErrorBody(const CallerError& error);

/// \brief The server-sent event `error` that ends a stream which failed after its head.
[[nodiscard]] std::string ErrorEvent(const CallerError& error);

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_CALLER_ERROR_H_
