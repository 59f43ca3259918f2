#ifndef WAGTAILWIND_ROUTER_CALLER_ERROR_H_
#define WAGTAILWIND_ROUTER_CALLER_ERROR_H_

#include <chrono>
#include <string>

#include "requests/outcome.h"

namespace wagtailwind::router {

/// \brief A failure as it is reported to the caller.
struct CallerError {
  requests::FailureReason reason = requests::FailureReason::kNone;
  requests::Outcome outcome = requests::Outcome::kNotRun;
  std::chrono::milliseconds retry_after{0};
  /// If empty, the default message of the reason is used.
  std::string message;
};

/// \brief Returns the HTTP status of an error.
[[nodiscard]] int StatusOf(const CallerError& error) noexcept;

/// \brief Returns the JSON body `{"error":{"type","message","outcome","retry_after_ms"}}`.
[[nodiscard]] std::string ErrorBody(const CallerError& error);

/// \brief Returns the server-sent event `error`, which ends a stream that fails after its head.
[[nodiscard]] std::string ErrorEvent(const CallerError& error);

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_CALLER_ERROR_H_
