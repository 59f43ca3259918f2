#ifndef WAGTAILWIND_BALANCING_ENDPOINT_H_
#define WAGTAILWIND_BALANCING_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "balancing/availability.h"
#include "balancing/cold_start.h"
#include "balancing/endpoint_health.h"
#include "balancing/event_pace.h"
#include "balancing/load_estimate.h"
#include "balancing/performance_estimate.h"
#include "balancing/refusal_pause.h"
#include "balancing/request_limit.h"
#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief The entry that an endpoint writes for itself in the list of endpoints.
struct EndpointRecord {
  EndpointName name;
  ServiceName service;
  /// `ip:port`.
  std::string address;
  AvailabilityZoneName zone;
  /// Number of requests that the endpoint runs concurrently.
  std::uint32_t slots = 0;
  bool draining = false;
  /// Time for which the endpoint is still cold, by its entry.
  std::chrono::milliseconds cold_time{0};
  /// Changes when the process restarts under the same name.
  Incarnation incarnation = 0;
  /// Start time of the process by its own clock; the epoch if it reports none.
  WallTime started_at{};
  /// Models that the endpoint serves; empty means any model.
  std::vector<ModelName> models;

  friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
};

/// \brief An endpoint and the state that this router keeps for it.
struct Endpoint {
  EndpointRecord record;
  LoadEstimate load;
  EndpointHealth health;
  EventPace pace;
  PerformanceEstimate performance;
  /// Limit of requests that the endpoint named in its last answer.
  RequestQuota quota;
  /// Time for which the endpoint wants no requests from this router.
  RefusalPause pause;
  /// Limits the requests to the endpoint while it is cold.
  ColdStart cold;
  /// Open connections from this router to the endpoint.
  std::uint32_t connections = 0;
  /// The endpoint refused a request because it was full; it gets no new request before this time.
  SteadyTime full_until{};
  /// False once the endpoint drains, is removed, or another process uses its address.
  bool usable = true;
  /// Whether the operators have evacuated the endpoint's availability zone.
  bool evacuated = false;

  /// \brief Returns why the endpoint may get no request at all now, whatever this router has sent
  /// to it before. A request that waits for its connection is withdrawn for these reasons.
  [[nodiscard]] Availability CheckClosed(SteadyTime now) const noexcept;

  /// \brief Returns whether the endpoint takes a request of this router now. All ways to an
  /// endpoint ask this before they send.
  [[nodiscard]] Availability CheckAvailability(SteadyTime now) const noexcept;

  /// \brief Counts a request that is about to be sent; the endpoint must be available.
  void OnSent(SteadyTime now) noexcept {
    (void)quota.TryTake(now);
    pause.OnSent(now);
    cold.OnSent(now);
    load.OnSent();
  }
};

using EndpointPtr = std::shared_ptr<Endpoint>;

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ENDPOINT_H_
