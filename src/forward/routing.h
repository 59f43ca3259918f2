#ifndef WAGTAILWIND_FORWARD_ROUTING_H_
#define WAGTAILWIND_FORWARD_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace wagtailwind::forward {

/// \brief Whether a request may be repeated, and whether its response is a stream.
enum class RequestKind : std::uint8_t {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kNonIdempotent,
  /// An event stream; runs at most once unless its route is resumable.
  kStream,
};

/// \brief A service that receives a share of a route's requests.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// \brief Destination and rules of the requests for one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time from the request to the end of its response.
  std::chrono::milliseconds timeout{0};
  /// The operator's target time to the response, or to the first event of a stream.
  std::chrono::milliseconds objective{0};
  /// The operator's target for the longest pause between events; streams only.
  std::chrono::milliseconds max_pause{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Maximum number of endpoints that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Requests need no API key.
  bool is_public = false;
  /// Requests share parts of their prompts, which endpoints cache.
  bool has_prompt = false;
  /// A broken stream may continue at another endpoint.
  bool resumable = false;
  /// Regions in which the requests may run; empty means any.
  std::vector<RegionName> home_regions;

  /// \brief Returns whether a request that may have run may be sent again.
  [[nodiscard]] bool IsRepeatable() const noexcept {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
};

/// \brief Settings of a service in the configuration.
struct ServiceSpec {
  ServiceName name;
  /// Maximum number of connections that one endpoint accepts from all callers together; 0 if not
  /// stated.
  std::uint32_t max_connections = 0;
  /// Whether its endpoints cache prompts and fetch cached parts from each other.
  bool shares_cache = false;
  /// Time for which an endpoint is cold after it has started; 0 if endpoints are never cold.
  std::chrono::milliseconds cold_time{0};
  /// Requests a second that a cold endpoint takes from all routers together; 0 means no limit.
  double cold_rate = 0;
};

/// \brief Limits for requests and connections of callers.
struct CallerLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  std::chrono::milliseconds head_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// \brief The organisation that owns an API key, and its priority.
struct ApiKeyOwner {
  OrganisationName organisation;
  /// Priority of the organisation's requests; if negative, the route's priority applies.
  std::int32_t priority = -1;
  /// Regions in which the organisation's requests may run; empty means any.
  std::vector<RegionName> home_regions{};
};

/// \brief One version of the operators' configuration. Immutable once it is in force.
class RoutingConfiguration {
 public:
  /// \brief Increases with each change.
  std::uint64_t version = 0;
  CallerLimits limits;
  std::map<std::string, ServiceSpec, std::less<>> services;
  /// Whether requests need API keys.
  bool has_organisations = false;

  void AddRoute(Route route);
  void AddKey(std::string key, ApiKeyOwner owner);

  /// \brief Returns the route with the longest matching prefix; null if there is none. `host` may
  /// include a port and is matched case-insensitively; `path` has no query.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(std::string_view host,
                                                       std::string_view path) const;

  /// \brief Returns the owner of the key; null if the key is unknown.
  [[nodiscard]] const ApiKeyOwner* FindKey(std::string_view key) const;

  [[nodiscard]] std::size_t RouteCount() const noexcept;

 private:
  /// Routes by host, then by prefix.
  std::map<std::string, std::map<std::string, std::shared_ptr<const Route>, std::less<>>,
           std::less<>>
      m_routes;
  std::map<std::string, ApiKeyOwner, std::less<>> m_keys;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ROUTING_H_
