#ifndef WAGTAILWIND_REQUESTS_OUTCOME_H_
#define WAGTAILWIND_REQUESTS_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace wagtailwind::requests {

/// \brief What is known about the execution of a request.
enum class Outcome : std::uint8_t {
  /// The endpoint answered.
  kResult,
  /// The request was not run and will not be run.
  kNotRun,
  /// The request may or may not have been run.
  kUnknown,
};

/// \brief Value of the `Wagtailwind-Outcome` header: `result`, `not-run` or `unknown`.
[[nodiscard]] std::string_view ToText(Outcome outcome) noexcept;

/// \brief Reason why an attempt or a request has no result.
enum class FailureReason : std::uint8_t {
  kNone,
  kMalformedRequest,
  kUnknownOrganisation,
  kUnknownModel,
  kUnknownService,
  kBodyTooLarge,
  kHeadersTooLarge,
  kMissingRequestKey,
  kInvalidRequestKey,
  kRequestKeyExpired,
  kRequestKeyAlreadyUsed,
  kOrganisationOverShare,
  kOverBound,
  kRedirected,
  kDraining,
  kEndpointUnhealthy,
  kNoEndpoint,
  kFleetFull,
  kPlatformUnavailable,
  kDeadlineExceeded,
  kConnectionLost,
  kAgentLost,
  kEngineLost,
  kAnswerTooLarge,
  kAnswerNotFound,
  kShutdownTimeout,
  kCancelled,
  kNotReady,
  kUnknownRoute,
  kUnknownApiKey,
  kApiKeyNotConfirmed,
  kPromptQuarantined,
  kRequestQuarantined,
};

/// \brief Stable snake-case name of a reason, used in JSON error bodies.
[[nodiscard]] std::string_view ToText(FailureReason reason) noexcept;

/// \brief HTTP status code of a failure; 200 for kNone.
[[nodiscard]] int HttpStatus(FailureReason reason) noexcept;

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_OUTCOME_H_
