#ifndef WAGTAILWIND_GOSSIP_MEMBER_H_
#define WAGTAILWIND_GOSSIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::gossip {

/// \brief What a process of the fleet does.
enum class Role : std::uint8_t { kRouter, kAgent };

/// \brief State of a member as its peers see it.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// \brief Kind of endpoint beside an agent.
enum class EndpointKind : std::uint8_t { kEngine, kService };

/// \brief What an agent makes known of its endpoint.
struct EndpointAdvertisement {
  EndpointName endpoint;
  EndpointKind kind = EndpointKind::kEngine;
  /// Name of the pool of like replicas, such as `wagtail-llm` or `bookings`.
  ServiceName pool;
  /// Work tokens that the endpoint can hold at once.
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
  /// Orders the states of one incarnation; raised by the member itself to refute a suspicion.
  std::uint32_t state_number = 0;
  std::optional<EndpointAdvertisement> endpoint;
  /// When this process first saw the incarnation; not exchanged.
  SteadyTime first_seen{};
};

/// \brief Load of one endpoint as last heard.
struct LoadEntry {
  EndpointName endpoint;
  /// Work tokens waiting and running.
  std::uint64_t work_tokens = 0;
  std::uint32_t capacity = 0;
  /// Local time of the measurement: time of receipt less the age that the sender gave.
  SteadyTime measured_at{};
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_H_
