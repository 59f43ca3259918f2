#include "requests/outcome.h"

#include <array>
#include <cstddef>

namespace wagtailwind::requests {

namespace {

struct ReasonEntry {
  FailureReason reason;
  std::string_view text;
  int status;
};

constexpr std::array kReasons = {
    ReasonEntry{FailureReason::kNone, "none", 200},
    ReasonEntry{FailureReason::kMalformedRequest, "malformed_request", 400},
    ReasonEntry{FailureReason::kUnknownOrganisation, "unknown_organisation", 403},
    ReasonEntry{FailureReason::kUnknownModel, "unknown_model", 404},
    ReasonEntry{FailureReason::kUnknownService, "unknown_service", 404},
    ReasonEntry{FailureReason::kBodyTooLarge, "body_too_large", 413},
    ReasonEntry{FailureReason::kHeadersTooLarge, "headers_too_large", 431},
    ReasonEntry{FailureReason::kMissingRequestKey, "missing_request_key", 400},
    ReasonEntry{FailureReason::kInvalidRequestKey, "invalid_request_key", 400},
    ReasonEntry{FailureReason::kRequestKeyExpired, "request_key_expired", 410},
    ReasonEntry{FailureReason::kRequestKeyAlreadyUsed, "request_key_already_used", 409},
    ReasonEntry{FailureReason::kOrganisationOverShare, "organisation_over_share", 429},
    ReasonEntry{FailureReason::kOverBound, "over_bound", 503},
    ReasonEntry{FailureReason::kRedirected, "redirected", 503},
    ReasonEntry{FailureReason::kDraining, "draining", 503},
    ReasonEntry{FailureReason::kEndpointUnhealthy, "endpoint_unhealthy", 503},
    ReasonEntry{FailureReason::kNoEndpoint, "no_endpoint", 503},
    ReasonEntry{FailureReason::kFleetFull, "fleet_full", 503},
    ReasonEntry{FailureReason::kPlatformUnavailable, "platform_unavailable", 503},
    ReasonEntry{FailureReason::kDeadlineExceeded, "deadline_exceeded", 504},
    ReasonEntry{FailureReason::kConnectionLost, "connection_lost", 502},
    ReasonEntry{FailureReason::kAgentLost, "agent_lost", 502},
    ReasonEntry{FailureReason::kEngineLost, "engine_lost", 502},
    ReasonEntry{FailureReason::kAnswerTooLarge, "answer_too_large", 502},
    ReasonEntry{FailureReason::kAnswerNotFound, "answer_not_found", 404},
    ReasonEntry{FailureReason::kShutdownTimeout, "shutdown_timeout", 502},
    ReasonEntry{FailureReason::kCancelled, "cancelled", 499},
    ReasonEntry{FailureReason::kNotReady, "not_ready", 503},
    ReasonEntry{FailureReason::kUnknownRoute, "unknown_route", 404},
    ReasonEntry{FailureReason::kUnknownApiKey, "unknown_api_key", 401},
    ReasonEntry{FailureReason::kApiKeyNotConfirmed, "api_key_not_confirmed", 503},
    ReasonEntry{FailureReason::kPromptQuarantined, "prompt_quarantined", 503},
    ReasonEntry{FailureReason::kRequestQuarantined, "request_quarantined", 503},
};

constexpr const ReasonEntry& Find(FailureReason reason) noexcept {
  return kReasons[static_cast<std::size_t>(reason)];
}

constexpr bool IsOrdered() noexcept {
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (static_cast<std::size_t>(kReasons[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsOrdered(), "the table must be in the order of the enumerators");

}  // namespace

std::string_view ToText(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kResult:
      return "result";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToText(FailureReason reason) noexcept { return Find(reason).text; }

int HttpStatus(FailureReason reason) noexcept { return Find(reason).status; }

}  // namespace wagtailwind::requests
