#include <algorithm>
#include <utility>

#include "gossip/gossip_node.h"

namespace wagtailwind::gossip {

namespace {

constexpr double kDigestOwnZoneShare = 0.9;
constexpr std::size_t kPoolsPerDatagram = 3;

// Upper estimates of packed sizes; Send() checks the actual size.
constexpr std::size_t kBaseBytes = 160;
constexpr std::size_t kStatusBytes = 22;
constexpr std::size_t kLoadBytes = 9;
constexpr std::size_t kPoolBytes = 38;
constexpr std::size_t kRecordBytes = 110;

// Below kLowBudget fewer loads are sent per push. Below kMinPushBudget only probes, their answers
// and changes are sent.
constexpr double kLowBudget = 16 * 1024;
constexpr double kMinPushBudget = 4 * 1024;

// Budget that pushes leave for probes and their answers. If those were dropped for lack of budget,
// this process would look failed to its peers.
constexpr double kProbeReserve = 2 * 1024;

// With this many changes that were sent fewer than kFewTransmissions times, as after the loss of a
// zone, each tick sends an additional push.
constexpr std::size_t kBacklogChanges = 16;
constexpr std::uint32_t kFewTransmissions = 3;

// Deaths are pushed immediately. With regular pushes only, they wait at each hop and take 2 s to
// reach half of 1,840 processes.
constexpr std::size_t kDeathFanOut = 3;
constexpr std::chrono::milliseconds kDeathPushPeriod{300};
// Death pushes must leave most of the burst unspent when a zone or region is lost: when they spent
// all of it, probes were dropped after a partition and the members did not agree within 300 s.
constexpr double kDeathPushBudget = 48 * 1024;

// Bytes of changes per datagram below kLowBudget, so that 5 datagrams/s stay below 1,500 bytes/s.
constexpr std::size_t kLowBudgetRoom = 160;

std::size_t RecordBytes(const Member& member) noexcept {
  std::size_t bytes = kRecordBytes + member.instance.value().size() + member.zone.value().size() +
                      member.region.value().size() + member.rpc_address.size() +
                      member.gossip_address.size();
  if (member.endpoint.has_value()) {
    bytes += 40 + member.endpoint->endpoint.value().size() + member.endpoint->pool.value().size();
    for (const ModelName& model : member.endpoint->models) {
      bytes += 20 + model.value().size();
    }
  }
  return bytes;
}

template <typename Element>
bool HalveList(std::vector<Element>& list) {
  if (list.empty()) {
    return false;
  }
  list.resize(list.size() / 2);
  return true;
}

// Removes the least important content of a datagram; returns false if nothing is left to remove.
bool Shrink(Datagram& datagram) {
  if (HalveList(datagram.loads) || HalveList(datagram.pools) || HalveList(datagram.statuses) ||
      HalveList(datagram.members)) {
    return true;
  }
  if (datagram.change.empty()) {
    return false;
  }
  datagram.change.clear();
  datagram.pull_configuration = true;
  return true;
}

}  // namespace

std::optional<Peer> GossipNode::SelectPushTarget(double own_zone_share) {
  const bool own_zone = m_random.NextFraction() < own_zone_share;
  const PeerGroup first = own_zone ? PeerGroup::kOwnZone : PeerGroup::kOtherZones;
  const PeerGroup second = own_zone ? PeerGroup::kOtherZones : PeerGroup::kOwnZone;
  std::optional<Peer> peer = m_members.RandomPeer(first, m_random);
  return peer.has_value() ? peer : m_members.RandomPeer(second, m_random);
}

void GossipNode::TickPush(SteadyTime now) {
  const bool backlog = m_changes.CountBelow(kFewTransmissions) >= kBacklogChanges &&
                       m_budget.Level(now) > kLowBudget;
  if (now >= m_next_push) {
    m_next_push = std::max(m_next_push + m_settings.push_period, now);
    if (m_budget.Level(now) < kMinPushBudget) {
      return;
    }
  } else if (!backlog) {
    return;
  }
  const std::optional<Peer> peer = SelectPushTarget(kDigestOwnZoneShare);
  if (peer.has_value()) {
    PushTo(*peer, now);
  }
}

void GossipNode::PushTo(const Peer& peer, SteadyTime now) {
  Datagram push = MakeDatagram(DatagramKind::kPush);
  const bool low = m_budget.Level(now) < kLowBudget;
  FillPayload(push, peer, low ? m_settings.loads_per_push / 4 : m_settings.loads_per_push, now);
  Send(push, peer.gossip_address, now);
}

void GossipNode::PushDeaths(SteadyTime now) {
  if (!m_has_new_deaths || now < m_next_death_push || m_budget.Level(now) < kDeathPushBudget) {
    return;
  }
  m_has_new_deaths = false;
  m_next_death_push = now + kDeathPushPeriod;
  for (std::size_t i = 0; i < kDeathFanOut; ++i) {
    const std::optional<Peer> peer = SelectPushTarget(1.0 / kDeathFanOut);
    if (peer.has_value()) {
      Datagram push = MakeDatagram(DatagramKind::kPush);
      std::size_t room = kMaxDatagramBytes - kBaseBytes;
      AddChanges(push, room);
      Send(push, peer->gossip_address, now);
    }
  }
}

Datagram GossipNode::MakeDatagram(DatagramKind kind) const {
  Datagram datagram;
  datagram.sender = m_self;
  datagram.sender_incarnation = m_incarnation;
  datagram.kind = kind;
  datagram.configuration = m_configuration.Digest();
  datagram.membership_digest = m_members.Digest();
  return datagram;
}

void GossipNode::AddOwnRecord(Datagram& datagram) const {
  datagram.members.push_back(m_members.Self());
}

void GossipNode::AddChanges(Datagram& datagram, std::size_t& room) {
  constexpr std::size_t kMaxItems = 48;
  const std::uint32_t limit = TransmissionLimit(m_members.CountOf(PeerGroup::kOwnZone) +
                                                m_members.CountOf(PeerGroup::kOtherZones));
  const std::size_t count = std::min(kMaxItems, room / kStatusBytes);
  m_changes.Send(count, limit, [&](const ChangeQueue::Item& item) {
    const std::optional<Member> member = m_members.Find(item.instance);
    if (!member.has_value()) {
      return true;
    }
    const std::size_t bytes = item.full ? RecordBytes(*member) : kStatusBytes;
    if (bytes > room) {
      return false;
    }
    room -= bytes;
    if (item.full) {
      datagram.members.push_back(*member);
    } else {
      datagram.statuses.push_back(
          {MemberKey(member->instance, member->incarnation), member->state, member->state_number});
    }
    return true;
  });
}

void GossipNode::FillPayload(Datagram& datagram, const Peer& peer, std::size_t max_loads,
                             SteadyTime now) {
  std::size_t room = kMaxDatagramBytes - kBaseBytes;
  std::size_t changes_room = m_budget.Level(now) < kLowBudget ? kLowBudgetRoom : room;
  const std::size_t before = changes_room;
  AddChanges(datagram, changes_room);
  room -= before - changes_room;
  if (peer.own_zone) {
    datagram.loads = m_loads.NextLoads(std::min(max_loads, room / kLoadBytes));
    room -= datagram.loads.size() * kLoadBytes;
    datagram.pools = m_loads.NextPools(std::min(kPoolsPerDatagram, room / kPoolBytes));
    return;
  }
  if (datagram.kind != DatagramKind::kPush) {
    // Only pushes carry summaries between zones: probes are so frequent that summaries in them
    // would double the traffic.
    return;
  }
  datagram.pools = m_loads.OwnPools();
  datagram.pools.resize(std::min(datagram.pools.size(), room / kPoolBytes));
}

void GossipNode::Send(Datagram& datagram, std::string_view address, SteadyTime now) {
  std::string bytes = EncodeDatagram(datagram);
  while (bytes.size() > kMaxDatagramBytes && Shrink(datagram)) {
    bytes = EncodeDatagram(datagram);
  }
  const bool reserved = datagram.kind == DatagramKind::kPush && m_budget.Level(now) < kProbeReserve;
  if (reserved || bytes.size() > kMaxDatagramBytes ||
      !m_budget.TrySpend(bytes.size() + kHeaderBytes, now)) {
    m_metrics.over_budget.Add();
    return;
  }
  m_metrics.CountSent(datagram.kind, bytes.size());
  m_transport.Send(address, std::as_bytes(std::span(bytes)));
}

}  // namespace wagtailwind::gossip
