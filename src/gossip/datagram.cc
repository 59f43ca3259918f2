#include "gossip/datagram.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <limits>
#include <utility>

#include "core/hash.h"
#include "gossip/member_codec.h"

namespace wagtailwind::gossip {

namespace {

namespace schema = rpc::schema;

constexpr std::size_t kChecksumBytes = 4;
// Limits the number of words that are read: a packed message of kMaxDatagramBytes can expand to a
// far larger one, because a run of zero words packs to two bytes.
constexpr std::uint64_t kMaxWords = 4096;
constexpr std::uint32_t kNeverConfirmed = 0xffffffffU;
constexpr std::chrono::milliseconds kMaxReportAge{0xffff};
constexpr std::size_t kArenaWords = 1024;
constexpr int kMantissaBits = 11;
constexpr int kMaxExponent = 31;

std::array<char, kChecksumBytes> Checksum(std::string_view packed) noexcept {
  const std::uint64_t hash = StableHash(packed);
  std::array<char, kChecksumBytes> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes.at(i) = static_cast<char>(hash >> (8U * i) & 0xffU);
  }
  return bytes;
}

std::uint16_t EncodeAge(std::chrono::milliseconds age) noexcept {
  return static_cast<std::uint16_t>(
      std::clamp(age, std::chrono::milliseconds(0), kMaxReportAge).count());
}

std::uint32_t EncodeConfirmation(std::optional<std::chrono::milliseconds> age) noexcept {
  if (!age.has_value()) {
    return kNeverConfirmed;
  }
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age->count(), 0, kNeverConfirmed - 1));
}

// Encodes as a float with 5 bits of exponent and 11 bits of mantissa, rounded down. The largest
// value is 2^42.
std::uint16_t EncodeTokens(std::uint64_t tokens) noexcept {
  const int shift = std::max(0, static_cast<int>(std::bit_width(tokens)) - kMantissaBits);
  if (shift > kMaxExponent) {
    return std::numeric_limits<std::uint16_t>::max();
  }
  return static_cast<std::uint16_t>(static_cast<unsigned>(shift) << kMantissaBits |
                                    tokens >> static_cast<unsigned>(shift));
}

std::uint64_t DecodeTokens(std::uint16_t encoded) noexcept {
  constexpr std::uint64_t kMask = (1U << kMantissaBits) - 1;
  return (encoded & kMask) << static_cast<unsigned>(encoded >> kMantissaBits);
}

void EncodeKind(const Datagram& datagram, schema::GossipDatagram::Kind::Builder kind) {
  switch (datagram.kind) {
    case DatagramKind::kProbe:
      kind.setProbe();
      break;
    case DatagramKind::kAcknowledgement:
      kind.setAcknowledgement();
      break;
    case DatagramKind::kProbeRequest:
      kind.setProbeRequest(datagram.target.value());
      break;
    case DatagramKind::kPush:
      kind.setPush();
      break;
  }
}

void EncodeStatuses(const Datagram& datagram, schema::GossipDatagram::Builder root) {
  if (datagram.statuses.empty()) {
    return;
  }
  auto statuses = root.initStatuses(static_cast<unsigned>(datagram.statuses.size()));
  for (unsigned i = 0; i < statuses.size(); ++i) {
    statuses[i].setMemberKey(datagram.statuses[i].member_key);
    statuses[i].setState(static_cast<std::uint8_t>(datagram.statuses[i].state));
    statuses[i].setStateNumber(datagram.statuses[i].state_number);
  }
}

void EncodeLoads(const Datagram& datagram, schema::GossipDatagram::Builder root) {
  if (datagram.loads.empty()) {
    return;
  }
  auto words = root.initLoadWords(static_cast<unsigned>(datagram.loads.size()));
  for (unsigned i = 0; i < words.size(); ++i) {
    const LoadReport& load = datagram.loads[i];
    words.set(i, std::uint64_t{load.endpoint_hash} << 32U |
                     std::uint64_t{EncodeTokens(load.work_tokens)} << 16U | EncodeAge(load.age));
  }
}

void EncodePools(const Datagram& datagram, schema::GossipDatagram::Builder root) {
  if (datagram.pools.empty()) {
    return;
  }
  auto pools = root.initPools(static_cast<unsigned>(datagram.pools.size()));
  for (unsigned i = 0; i < pools.size(); ++i) {
    const PoolReport& pool = datagram.pools[i];
    pools[i].setZoneHash(pool.zone_hash);
    pools[i].setPoolHash(pool.pool_hash);
    pools[i].setWorkTokens(pool.work_tokens);
    pools[i].setCapacity(pool.capacity);
    pools[i].setAgeMs(EncodeAge(pool.age));
  }
}

void EncodeMembers(const Datagram& datagram, schema::GossipDatagram::Builder root) {
  if (datagram.members.empty()) {
    return;
  }
  auto members = root.initMembers(static_cast<unsigned>(datagram.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    EncodeMember(datagram.members[i], members[i]);
  }
}

void DecodeKind(schema::GossipDatagram::Kind::Reader kind, Datagram& datagram) {
  switch (kind.which()) {
    case schema::GossipDatagram::Kind::PROBE:
      datagram.kind = DatagramKind::kProbe;
      break;
    case schema::GossipDatagram::Kind::ACKNOWLEDGEMENT:
      datagram.kind = DatagramKind::kAcknowledgement;
      break;
    case schema::GossipDatagram::Kind::PROBE_REQUEST:
      datagram.kind = DatagramKind::kProbeRequest;
      datagram.target = InstanceName(kind.getProbeRequest().cStr());
      break;
    case schema::GossipDatagram::Kind::PUSH:
      datagram.kind = DatagramKind::kPush;
      break;
  }
}

// Returns false if a record or status has invalid field values.
bool DecodeMembership(schema::GossipDatagram::Reader root, Datagram& datagram) {
  for (const schema::MemberRecord::Reader record : root.getMembers()) {
    std::optional<Member> member = DecodeMember(record);
    if (!member.has_value()) {
      return false;
    }
    datagram.members.push_back(std::move(*member));
  }
  for (const schema::MemberStatus::Reader status : root.getStatuses()) {
    if (status.getState() > static_cast<std::uint8_t>(MemberState::kDead)) {
      return false;
    }
    datagram.statuses.push_back({status.getMemberKey(), static_cast<MemberState>(status.getState()),
                                 status.getStateNumber()});
  }
  return true;
}

void DecodeLoads(schema::GossipDatagram::Reader root, Datagram& datagram) {
  for (const std::uint64_t word : root.getLoadWords()) {
    datagram.loads.push_back({static_cast<std::uint32_t>(word >> 32U),
                              DecodeTokens(static_cast<std::uint16_t>(word >> 16U)),
                              std::chrono::milliseconds(word & 0xffffU)});
  }
  for (const schema::PoolSummary::Reader pool : root.getPools()) {
    datagram.pools.push_back({pool.getZoneHash(), pool.getPoolHash(), pool.getWorkTokens(),
                              pool.getCapacity(), std::chrono::milliseconds(pool.getAgeMs())});
  }
}

std::optional<Datagram> DecodeRoot(schema::GossipDatagram::Reader root) {
  Datagram datagram;
  datagram.sender = InstanceName(root.getSender().cStr());
  datagram.sender_incarnation = root.getSenderIncarnation();
  if (datagram.sender.empty() || datagram.sender_incarnation == 0 ||
      root.getChange().size() > kMaxChangeBytes) {
    return std::nullopt;
  }
  datagram.sequence = root.getSequence();
  DecodeKind(root.getKind(), datagram);
  datagram.configuration.version = root.getConfiguration().getVersion();
  const std::uint32_t age = root.getConfiguration().getConfirmationAgeMs();
  if (age != kNeverConfirmed) {
    datagram.configuration.confirmation_age = std::chrono::milliseconds(age);
  }
  const capnp::Data::Reader change = root.getChange();
  datagram.change.assign(change.asChars().begin(), change.size());
  datagram.pull_configuration = root.getPullConfiguration();
  datagram.introduce = root.getIntroduce();
  datagram.membership_digest = root.getMembershipDigest();
  if (!DecodeMembership(root, datagram)) {
    return std::nullopt;
  }
  DecodeLoads(root, datagram);
  return datagram;
}

}  // namespace

std::uint32_t EndpointHash(const EndpointName& endpoint) noexcept {
  return static_cast<std::uint32_t>(StableHash(endpoint.value()));
}

std::string detail::PrependChecksum(std::string_view packed) {
  const std::array<char, kChecksumBytes> checksum = Checksum(packed);
  std::string bytes(checksum.begin(), checksum.end());
  bytes.append(packed);
  return bytes;
}

std::string EncodeDatagram(const Datagram& datagram) {
  std::array<capnp::word, kArenaWords> arena{};
  capnp::MallocMessageBuilder message(kj::arrayPtr(arena.data(), arena.size()));
  auto root = message.initRoot<schema::GossipDatagram>();
  root.setSender(datagram.sender.value());
  root.setSenderIncarnation(datagram.sender_incarnation);
  root.setSequence(datagram.sequence);
  EncodeKind(datagram, root.initKind());
  auto configuration = root.initConfiguration();
  configuration.setVersion(datagram.configuration.version);
  configuration.setConfirmationAgeMs(EncodeConfirmation(datagram.configuration.confirmation_age));
  if (!datagram.change.empty()) {
    root.setChange(kj::arrayPtr(reinterpret_cast<const kj::byte*>(datagram.change.data()),
                                datagram.change.size()));
  }
  root.setPullConfiguration(datagram.pull_configuration);
  root.setIntroduce(datagram.introduce);
  root.setMembershipDigest(datagram.membership_digest);
  EncodeMembers(datagram, root);
  EncodeStatuses(datagram, root);
  EncodeLoads(datagram, root);
  EncodePools(datagram, root);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message);
  return detail::PrependChecksum(
      {reinterpret_cast<const char*>(output.getArray().begin()), output.getArray().size()});
}

std::optional<Datagram> DecodeDatagram(std::span<const std::byte> bytes) {
  if (bytes.size() <= kChecksumBytes || bytes.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
  const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  const std::string_view packed = text.substr(kChecksumBytes);
  const std::array<char, kChecksumBytes> checksum = Checksum(packed);
  if (std::memcmp(checksum.data(), text.data(), kChecksumBytes) != 0) {
    return std::nullopt;
  }
  try {
    kj::ArrayInputStream input(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(packed.data()), packed.size()));
    std::array<capnp::word, kArenaWords> scratch{};
    capnp::PackedMessageReader message(input,
                                       {.traversalLimitInWords = kMaxWords, .nestingLimit = 8},
                                       kj::arrayPtr(scratch.data(), scratch.size()));
    return DecodeRoot(message.getRoot<schema::GossipDatagram>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace wagtailwind::gossip
