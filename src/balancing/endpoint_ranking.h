#ifndef WAGTAILWIND_BALANCING_ENDPOINT_RANKING_H_
#define WAGTAILWIND_BALANCING_ENDPOINT_RANKING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "balancing/endpoint.h"
#include "balancing/load_estimate.h"
#include "balancing/performance_estimate.h"
#include "balancing/prompt.h"
#include "core/clock.h"
#include "core/random_source.h"

namespace wagtailwind::balancing {

/// \brief Whether the ranking uses what was learned about the speeds of the endpoints.
enum class LearnedPerformance : std::uint8_t {
  kOff,
  /// Once an endpoint of the service has reported its pace.
  kIfPaceReported,
  kOn,
};

/// \brief Properties of a request that determine the order of endpoints.
struct RankingRequest {
  /// The prompt's shared parts; empty for requests without a prompt.
  std::optional<SharedPrompt> prompt;
  /// Model that must serve the request; empty means any.
  ModelName model;
  /// Availability zones in which the request may run; empty means any.
  std::optional<std::vector<AvailabilityZoneName>> allowed_zones;
  /// Availability zone of the router.
  AvailabilityZoneName zone;
  /// Current wall-clock time, from which the age of endpoints is computed.
  WallTime wall_now{};
  /// Whether the request costs an endpoint at least as much work as the average one. A limit counts
  /// requests, so the costly ones use it first.
  bool is_costly = true;
  /// Number of other routers before the same endpoints.
  std::size_t other_routers = 0;
  /// Maximum number of connections from this router to one endpoint; 0 means no limit.
  std::uint32_t max_connections = 0;
  LearnedPerformance learned_performance = LearnedPerformance::kOff;
  /// Which prompts are cached where; null: unknown.
  const PromptCacheEstimate* cached_prompts = nullptr;
};

/// \brief Endpoints in the order in which to try them.
struct Ranking {
  std::vector<EndpointPtr> endpoints;
  /// Whether the first endpoint is the preferred one, where the prompt's shared parts are expected
  /// to be cached.
  bool at_home = false;
  /// Another endpoint that is expected to have the shared parts cached if the first one doesn't.
  EndpointPtr cached_at;
  /// Time until an endpoint that has reached its request limit may get a request; empty if none
  /// has.
  std::optional<std::chrono::nanoseconds> limit_wait;
  /// Mean load of the endpoints that can serve the request.
  double mean_load = 0;
  TypicalLoad typical;
  /// Requests in flight at all endpoints of the service, from this router and from the others.
  double own_load = 0;
  double others_load = 0;
  /// Typical performance of the pool; empty if the ranking did not use learned performance.
  std::optional<TypicalPerformance> performance;
  /// Whether another endpoint would be first without learned performance.
  bool avoided_delay = false;
};

/// \brief Returns whether an engine takes longer than one batch step to process the shared parts of
/// a prompt.
[[nodiscard]] bool IsLongPrompt(const SharedPrompt& prompt) noexcept;

/// \brief Orders the endpoints of a service for a request, best first, and omits those that can't
/// serve it.
///
/// A request with a prompt goes to the first endpoint in the rendezvous order of its key whose load
/// is within a bound of the pool's mean. Prompts with the same shared parts thus go to the endpoint
/// that caches them, and a popular prompt overflows to further endpoints in a fixed order. The
/// bound is wide for long shared parts, which are expensive to process again, and narrow for short
/// ones, which balance the load. The share of a new endpoint grows slowly, because each prompt that
/// moves to it is processed again. Other requests go to the least loaded endpoint. Endpoints that
/// are full, failing or overloaded come last, and those that have reached their request limit are
/// omitted.
///
/// With learned performance, requests without a prompt go to the endpoint with the lowest expected
/// delay within the load bound, and long prompts whose shared parts are probably not cached avoid
/// endpoints that are slow now: reading them there would stop the other streams.
///
/// `draining` lists endpoints that take no requests, but from which cached parts can be fetched.
[[nodiscard]] Ranking RankEndpoints(std::span<const EndpointPtr> endpoints,
                                    std::span<const EndpointPtr> draining,
                                    const RankingRequest& request, SteadyTime now,
                                    RandomSource& random, std::size_t limit);

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ENDPOINT_RANKING_H_
