#ifndef WAGTAILWIND_FORWARD_ENDPOINT_RANKING_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_RANKING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "forward/endpoint.h"

namespace wagtailwind::forward {

/// \brief The parts of a prompt that a request shares with others.
struct SharedPrompt {
  /// Hash of the parts.
  std::uint64_t key = 0;
  std::uint64_t tokens = 0;
};

/// \brief What decides the order of endpoints for a request.
struct RankingRequest {
  /// The prompt's shared parts; empty for requests without a prompt.
  std::optional<SharedPrompt> prompt;
  /// Empty: any model.
  ModelName model;
  /// Where the router stands.
  AvailabilityZoneName zone;
  /// For the age of endpoints.
  WallTime wall_now{};
  /// Connections that this router opens to one endpoint at most; 0: no limit.
  std::uint32_t max_connections = 0;
};

/// \brief Endpoints in the order in which they are to be tried.
struct Ranking {
  std::vector<EndpointPtr> endpoints;
  /// The first endpoint is where the prompt's shared parts are expected to be cached.
  bool at_home = false;
  /// Another endpoint that is expected to have the shared parts when the first one has not.
  EndpointPtr cached_at;
  /// Mean load of the endpoints that can serve the request.
  double mean_load = 0;
  /// Requests in flight at all endpoints of the service: of this router, and of the others.
  double own_load = 0;
  double others_load = 0;
};

/// \brief Orders the endpoints of a service for a request, best first, and leaves out those that
/// can't serve it.
///
/// Requests with a prompt go to the first endpoint in rendezvous order of their key whose load is
/// within a bound of the pool's mean: prompts that share parts meet where the parts are cached, and
/// a popular prompt spills over in a fixed order. The bound is wide for long shared parts, which
/// are dear to read again, and narrow for short ones, which even out the load. A new endpoint takes
/// prompts over slowly, because each one that moves is read again. Other requests go to the least
/// loaded endpoint.
/// Endpoints that are full, failing or overloaded come last.
///
/// `draining` are endpoints that take no requests, but from which cached parts can be fetched.
[[nodiscard]] Ranking RankEndpoints(std::span<const EndpointPtr> endpoints,
                                    std::span<const EndpointPtr> draining,
                                    const RankingRequest& request, SteadyTime now,
                                    RandomSource& random, std::size_t limit);

/// \brief Reads a comma-separated list of `id:tokens`, of which the last part belongs to the
/// request alone. Empty if the list is.
[[nodiscard]] std::optional<SharedPrompt> ParsePrompt(std::string_view parts) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_RANKING_H_
