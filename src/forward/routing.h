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

/// \brief What may be repeated, and how the answer comes.
enum class RequestKind : std::uint8_t {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kNonIdempotent,
  /// An event stream; runs at most once unless its route is resumable.
  kStream,
};

/// \brief A service that takes a share of a route's requests.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// \brief Where requests of one host and path prefix go.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Longest time from the request to the end of its answer.
  std::chrono::milliseconds timeout{0};
  /// Time to the answer, or the first event of a stream, that the operator aims at.
  std::chrono::milliseconds objective{0};
  /// Longest pause between events that the operator aims at; streams only.
  std::chrono::milliseconds max_pause{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Endpoints that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Needs no key.
  bool is_public = false;
  /// Requests share parts of their prompts, which endpoints cache.
  bool has_prompt = false;
  /// A broken stream may go on at another endpoint.
  bool resumable = false;

  /// \brief Whether a request that may have run may be sent again.
  [[nodiscard]] bool IsRepeatable() const noexcept {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
};

/// \brief What the configuration says of a service.
struct ServiceSpec {
  ServiceName name;
  /// Connections that one endpoint accepts from all callers together; 0: not stated.
  std::uint32_t max_connections = 0;
  /// Its endpoints cache prompts and fetch cached parts from each other.
  bool shares_cache = false;
};

/// \brief What callers may send.
struct CallerLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  std::chrono::milliseconds head_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// \brief The holder of an API key.
struct KeyHolder {
  OrganisationName organisation;
  /// Rank of the organisation's requests; below 0: that of the route applies.
  std::int32_t priority = -1;
};

/// \brief One version of the operators' configuration. Immutable once it is in force.
class RoutingConfiguration {
 public:
  /// \brief Rises with each change.
  std::uint64_t version = 0;
  CallerLimits limits;
  std::map<std::string, ServiceSpec, std::less<>> services;
  /// Whether requests need keys.
  bool has_organisations = false;

  void AddRoute(Route route);
  void AddKey(std::string key, KeyHolder holder);

  /// \brief The route with the longest matching prefix; empty if there is none. `host` may have a
  /// port and any case; `path` has no query.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(std::string_view host,
                                                       std::string_view path) const;

  /// \brief Who holds the key; empty if nobody does.
  [[nodiscard]] const KeyHolder* FindKey(std::string_view key) const;

  [[nodiscard]] std::size_t RouteCount() const noexcept;

 private:
  /// By host, then by prefix.
  std::map<std::string, std::map<std::string, std::shared_ptr<const Route>, std::less<>>,
           std::less<>>
      m_routes;
  std::map<std::string, KeyHolder, std::less<>> m_keys;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ROUTING_H_
