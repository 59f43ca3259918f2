#ifndef WAGTAILWIND_GOSSIP_DATAGRAM_H_
#define WAGTAILWIND_GOSSIP_DATAGRAM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gossip/member.h"
#include "records/configuration_replica.h"

namespace wagtailwind::gossip {

/// \brief Largest datagram that is sent or accepted; fits into one Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// \brief Largest configuration change that is sent in a datagram.
inline constexpr std::size_t kMaxChangeBytes = 1200;

/// \brief Size of the UDP and IPv4 headers, which count as control traffic.
inline constexpr std::size_t kHeaderBytes = 28;

enum class DatagramKind : std::uint8_t { kProbe, kAcknowledgement, kProbeRequest, kPush };

/// \brief State of a member whose record the receiver is expected to have.
struct StatusReport {
  std::uint64_t member_key = 0;
  MemberState state = MemberState::kAlive;
  std::uint32_t state_number = 0;
};

/// \brief Hashes an endpoint's name for load reports. Endpoints with the same hash get each other's
/// load; with 1,400 endpoints the probability of any collision is 1 in 4,000.
[[nodiscard]] std::uint32_t EndpointHash(const EndpointName& endpoint) noexcept;

/// \brief Load of an endpoint.
struct LoadReport {
  /// EndpointHash() of the endpoint's name.
  std::uint32_t endpoint_hash = 0;
  /// Accurate to one part in 2,000.
  std::uint64_t work_tokens = 0;
  std::chrono::milliseconds age{0};
};

/// \brief Load of a pool in one zone.
struct PoolReport {
  std::uint64_t zone_hash = 0;
  std::uint64_t pool_hash = 0;
  std::uint64_t work_tokens = 0;
  std::uint64_t capacity = 0;
  std::chrono::milliseconds age{0};
};

/// \brief One gossip message, decoded.
struct Datagram {
  InstanceName sender;
  Incarnation sender_incarnation = 0;
  std::uint32_t sequence = 0;
  DatagramKind kind = DatagramKind::kPush;
  /// The member to probe, in a probe request.
  InstanceName target;
  records::ReplicaDigest configuration;
  /// The configuration change after the version that the receiver is assumed to have, or empty.
  std::string change;
  /// Asks the receiver to fetch the whole configuration document over RPC.
  bool pull_configuration = false;
  /// Asks the receiver for its own member record.
  bool introduce = false;
  std::vector<Member> members;
  std::vector<StatusReport> statuses;
  std::vector<LoadReport> loads;
  std::vector<PoolReport> pools;
  std::uint64_t membership_digest = 0;
};

/// \brief Encodes a datagram as a checksum of 4 bytes and the packed message. The result may be
/// longer than kMaxDatagramBytes.
[[nodiscard]] std::string EncodeDatagram(const Datagram& datagram);

/// \brief Decodes a received datagram; returns nullopt if it is malformed, truncated, oversized or
/// has invalid field values.
[[nodiscard]] std::optional<Datagram> DecodeDatagram(std::span<const std::byte> bytes);

namespace detail {

/// \brief Prepends the checksum to a packed message.
[[nodiscard]] std::string PrependChecksum(std::string_view packed);

}  // namespace detail

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_DATAGRAM_H_
