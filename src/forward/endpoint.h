#ifndef WAGTAILWIND_FORWARD_ENDPOINT_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "forward/endpoint_health.h"
#include "forward/event_pace.h"
#include "forward/load_estimate.h"

namespace wagtailwind::forward {

/// \brief What an endpoint says of itself in the list of endpoints.
struct EndpointRecord {
  EndpointName name;
  ServiceName service;
  /// `ip:port`.
  std::string address;
  AvailabilityZoneName zone;
  /// Requests that it runs at the same time.
  std::uint32_t slots = 0;
  bool draining = false;
  /// Changes at a restart under the same name.
  Incarnation incarnation = 0;
  /// Start of the process by its own clock; the epoch if it does not tell.
  WallTime started_at{};
  /// Models that it serves; empty: any.
  std::vector<ModelName> models;

  friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
};

/// \brief An endpoint with what this router knows of it.
struct Endpoint {
  EndpointRecord record;
  LoadEstimate load;
  EndpointHealth health;
  EventPace pace;
  /// Connections of this router to the endpoint.
  std::uint32_t connections = 0;
  /// Refused a request for lack of room; no new request before this time.
  SteadyTime full_until{};
  /// False once it drains, has gone, or another process has its address.
  bool usable = true;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_H_
