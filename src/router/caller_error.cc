#include "router/caller_error.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

std::string_view DefaultMessage(FailureReason reason) noexcept {
  switch (reason) {
    case FailureReason::kUnknownOrganisation:
      return "the organisation is not known";
    case FailureReason::kUnknownModel:
      return "the model or adapter is not known or not allowed";
    case FailureReason::kUnknownService:
      return "the service is not known";
    case FailureReason::kBodyTooLarge:
      return "the request body is over the limit";
    case FailureReason::kHeadersTooLarge:
      return "the request headers are over the limit";
    case FailureReason::kMissingRequestKey:
      return "a call that is not repeatable needs Wagtailwind-Request-Key";
    case FailureReason::kInvalidRequestKey:
      return "Wagtailwind-Request-Key is not a UUID version 7";
    case FailureReason::kRequestKeyExpired:
      return "the time in the request key is outside the retention period";
    case FailureReason::kRequestKeyAlreadyUsed:
      return "the request key was used before and its result is not known here";
    case FailureReason::kOrganisationOverShare:
      return "the organisation is over its share";
    case FailureReason::kOverBound:
    case FailureReason::kRedirected:
    case FailureReason::kFleetFull:
      return "the fleet is full";
    case FailureReason::kDraining:
    case FailureReason::kEndpointUnhealthy:
    case FailureReason::kNoEndpoint:
      return "no healthy endpoint can take the request";
    case FailureReason::kPlatformUnavailable:
      return "the platform can't record the request key now";
    case FailureReason::kDeadlineExceeded:
      return "the deadline passed";
    case FailureReason::kAnswerTooLarge:
      return "the answer is over the limit";
    case FailureReason::kAnswerNotFound:
      return "the answer is not kept any more";
    case FailureReason::kShutdownTimeout:
      return "the router stopped before the answer was whole";
    case FailureReason::kNotReady:
      return "the router is not ready";
    default:
      return "the connection to the endpoint was lost";
  }
}

nlohmann::ordered_json ToJson(const CallerError& error) {
  const std::string message =
      error.message.empty() ? std::string(DefaultMessage(error.reason)) : error.message;
  return {{"error",
           {{"type", requests::ToText(error.reason)},
            {"message", message},
            {"outcome", requests::ToText(error.outcome)},
            {"retry_after_ms", error.retry_after.count()}}}};
}

std::string Serialize(const CallerError& error) {
  // A message may quote the caller's bytes, which may not be UTF-8.
  return ToJson(error).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

int StatusOf(const CallerError& error) noexcept {
  constexpr int kServiceUnavailable = 503;
  constexpr int kBadGateway = 502;
  const int status = requests::HttpStatus(error.reason);
  // 502 and 504 tell callers and proxies that the request may have run, and 499 is not in the
  // HTTP registry.
  const bool implies_sent = status == kBadGateway || status == 504 || status == 499;
  if (error.outcome == Outcome::kNotRun && implies_sent) {
    return kServiceUnavailable;
  }
  if (error.outcome == Outcome::kUnknown && (status == kServiceUnavailable || status < 400)) {
    return kBadGateway;
  }
  return status < 400 ? kServiceUnavailable : status;
}

std::string ErrorBody(const CallerError& error) { return Serialize(error) + "\n"; }

std::string ErrorEvent(const CallerError& error) {
  return "event: error\ndata: " + Serialize(error) + "\n\n";
}

}  // namespace wagtailwind::router
