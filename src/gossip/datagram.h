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

/// \brief Largest datagram that is sent or taken; fits into one Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// \brief Largest configuration change that travels in a datagram.
inline constexpr std::size_t kMaxChangeBytes = 1200;

/// \brief Headers of UDP and IPv4, which count as control traffic.
inline constexpr std::size_t kHeaderBytes = 28;

enum class DatagramKind : std::uint8_t { kProbe, kAcknowledgement, kProbeRequest, kPush };

/// \brief State of a member that the receiver is expected to know.
struct StatusReport {
  std::uint64_t member_key = 0;
  MemberState state = MemberState::kAlive;
  std::uint32_t state_number = 0;
};

/// \brief Identifies an endpoint in load reports. With 1,400 endpoints the chance that any two
/// share a hash is 1 in 4,000; their loads would then be mixed up.
[[nodiscard]] std::uint32_t EndpointHash(const EndpointName& endpoint) noexcept;

/// \brief Load of an endpoint.
struct LoadReport {
  /// EndpointHash() of its name.
  std::uint32_t endpoint_hash = 0;
  /// Exact to one part in 2,000.
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
  /// Of a probe request.
  InstanceName target;
  records::ReplicaDigest configuration;
  /// The change that follows the version which the receiver is believed to have, or empty.
  std::string change;
  bool pull_configuration = false;
  /// Asks the receiver for its own member record.
  bool introduce = false;
  std::vector<Member> members;
  std::vector<StatusReport> statuses;
  std::vector<LoadReport> loads;
  std::vector<PoolReport> pools;
  std::uint64_t membership_digest = 0;
};

/// \brief The bytes of a datagram: a checksum of 4 bytes, then the packed message. May be longer
/// than kMaxDatagramBytes.
[[nodiscard]] std::string EncodeDatagram(const Datagram& datagram);

/// \brief Decodes what a peer sent; empty if it is malformed, truncated, oversized or implausible.
[[nodiscard]] std::optional<Datagram> DecodeDatagram(std::span<const std::byte> bytes);

namespace detail {

/// \brief Puts the checksum before a packed message.
[[nodiscard]] std::string SealDatagram(std::string_view packed);

}  // namespace detail

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_DATAGRAM_H_
