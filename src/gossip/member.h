#ifndef WAGTAILWIND_GOSSIP_MEMBER_H_
#define WAGTAILWIND_GOSSIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::gossip {

/// \brief Function of a process in the fleet.
enum class Role : std::uint8_t { kRouter, kAgent };

/// \brief State of a member as seen by its peers.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// \brief Kind of endpoint that an agent serves.
enum class EndpointKind : std::uint8_t { kEngine, kService };

/// \brief Properties of an agent's endpoint that the agent advertises to other members.
struct EndpointAdvertisement {
  EndpointName endpoint;
  EndpointKind kind = EndpointKind::kEngine;
  /// Name of the pool of equivalent replicas, such as `wagtail-llm` or `bookings`.
  ServiceName pool;
  /// Number of work tokens that the endpoint can hold at the same time.
  std::uint32_t capacity = 0;
  std::vector<ModelName> models;

  friend bool operator==(const EndpointAdvertisement&, const EndpointAdvertisement&) = default;
};

/// \brief One process of the fleet.
struct Member {
  InstanceName instance;
  Role role = Role::kRouter;
  AvailabilityZoneName zone;
  RegionName region;
  Incarnation incarnation = 0;
  /// `ip:port` of the Cap'n Proto RPC listener (TCP).
  std::string rpc_address;
  /// `ip:port` of the gossip socket (UDP).
  std::string gossip_address;
  MemberState state = MemberState::kAlive;
  /// Orders the states of one incarnation. Only the member itself increases it, to refute a
  /// suspicion or to leave.
  std::uint32_t state_number = 0;
  std::optional<EndpointAdvertisement> endpoint;
  /// Local time at which this process first saw the incarnation; not sent to peers.
  SteadyTime first_seen{};
};

/// \brief Last reported load of one endpoint.
struct LoadEntry {
  EndpointName endpoint;
  /// Number of waiting and running work tokens.
  std::uint64_t work_tokens = 0;
  std::uint32_t capacity = 0;
  /// Local time of the measurement: time of receipt minus the reported age.
  SteadyTime measured_at{};
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_H_
