#ifndef WAGTAILWIND_ROUTER_VALIDATED_REQUEST_H_
#define WAGTAILWIND_ROUTER_VALIDATED_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/clock.h"
#include "http/message.h"
#include "placement/candidate_selector.h"
#include "records/configuration_view.h"
#include "router/caller_error.h"
#include "rpc/attempt.h"

namespace wagtailwind::router {

/// \brief The position from which a caller resumes a streamed answer.
struct ResumePoint {
  EndpointName endpoint;
  /// As assigned by the agent; it contains the name of the endpoint.
  std::string answer_id;
  std::uint64_t offset = 0;
};

/// \brief A caller's request that has passed all checks.
struct ValidatedRequest {
  /// The parts of the call that are the same in each attempt.
  rpc::AttemptCall call;
  placement::PlacementRequest placement;
  std::chrono::milliseconds deadline{0};
  bool repeatable = true;
  std::optional<ResumePoint> resume;
};

/// \brief Parses `<answer id>/<offset>`; returns nullopt if it is malformed.
[[nodiscard]] std::optional<ResumePoint> ParseLastEventId(std::string_view text);

/// \brief Returns the value of the placement hint header.
[[nodiscard]] std::string PlacementHint(const EndpointName& endpoint, Incarnation incarnation);

/// \brief Validates a request against the configuration.
[[nodiscard]] std::variant<ValidatedRequest, CallerError> ValidateRequest(
    const http::Request& request, const records::Configuration& configuration, WallTime now);

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_VALIDATED_REQUEST_H_
