#include <algorithm>
#include <utility>

#include "gossip/gossip_node.h"

namespace wagtailwind::gossip {

namespace {

constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kLoadsPerProbe = 4;
constexpr std::chrono::seconds kNoticePeriod{1};

// With this many suspects in one zone, a rack, switch or the zone is assumed to have failed, and
// every second probe goes to that zone. Without this, the last of 37 members is first probed by any
// process after 5 s.
constexpr std::size_t kSuspectsOfFailingZone = 3;
constexpr double kFailingZoneShare = 0.5;

}  // namespace

std::optional<Peer> GossipNode::SelectTargetInFailingZone() {
  if (m_suspicions.size() < kSuspectsOfFailingZone ||
      m_random.NextFraction() >= kFailingZoneShare) {
    return std::nullopt;
  }
  const MemberSnapshot members = m_members.Members();
  absl::flat_hash_map<AvailabilityZoneName, std::size_t> suspects;
  for (const Member& member : *members) {
    suspects[member.zone] += member.state == MemberState::kSuspect ? 1 : 0;
  }
  std::vector<const Member*> targets;
  for (const Member& member : *members) {
    if (member.state == MemberState::kAlive && member.instance != m_self &&
        suspects[member.zone] >= kSuspectsOfFailingZone) {
      targets.push_back(&member);
    }
  }
  return targets.empty()
             ? std::nullopt
             : m_members.FindPeer(targets[m_random.NextBelow(targets.size())]->instance);
}

std::optional<Peer> GossipNode::NextProbeTarget() {
  std::optional<Peer> suspected = SelectTargetInFailingZone();
  if (suspected.has_value()) {
    return suspected;
  }
  // Probing the members of a shuffled list in turn bounds the time until each member is probed.
  if (m_probe_targets.empty()) {
    m_probe_targets = m_members.LivePeerNames();
    for (std::size_t i = m_probe_targets.size(); i > 1; --i) {
      std::swap(m_probe_targets[i - 1], m_probe_targets[m_random.NextBelow(i)]);
    }
  }
  while (!m_probe_targets.empty()) {
    const InstanceName name = std::move(m_probe_targets.back());
    m_probe_targets.pop_back();
    std::optional<Peer> peer = m_members.FindPeer(name);
    if (peer.has_value() && peer->state != MemberState::kDead) {
      return peer;
    }
  }
  return std::nullopt;
}

void GossipNode::TickProbe(SteadyTime now) {
  if (m_probe.has_value() && now >= m_probe->sent_at + m_settings.probe_failure_timeout) {
    FailProbe(now);
    m_probe.reset();
  } else if (m_probe.has_value() && !m_probe->indirect &&
             now >= m_probe->sent_at + m_settings.probe_timeout) {
    RequestIndirectProbes(now);
  }
  if (now >= m_next_probe) {
    m_next_probe = std::max(m_next_probe + m_settings.probe_period, now);
    StartProbe(now);
  }
}

void GossipNode::StartProbe(SteadyTime now) {
  const std::optional<Peer> target = NextProbeTarget();
  if (!target.has_value()) {
    return;
  }
  m_probe = Probe{*target, ++m_sequence, now, false};
  Datagram probe = MakeDatagram(DatagramKind::kProbe);
  probe.sequence = m_probe->sequence;
  if (target->state != MemberState::kAlive) {
    probe.statuses.push_back(
        {MemberKey(target->instance, target->incarnation), target->state, target->state_number});
  }
  FillPayload(probe, *target, kLoadsPerProbe, now);
  Send(probe, target->gossip_address, now);
}

void GossipNode::RequestIndirectProbes(SteadyTime now) {
  m_probe->indirect = true;
  for (std::size_t i = 0; i < kIndirectProbes; ++i) {
    // One helper is in the own zone and one in another zone, so that a partition between two zones
    // does not make a member look dead that other zones can reach.
    const std::optional<Peer> helper = SelectPushTarget(i == 0 ? 1.0 : 0.0);
    if (helper.has_value() && helper->instance != m_probe->target.instance) {
      Datagram request = MakeDatagram(DatagramKind::kProbeRequest);
      request.sequence = m_probe->sequence;
      request.target = m_probe->target.instance;
      Send(request, helper->gossip_address, now);
    }
  }
}

void GossipNode::FailProbe(SteadyTime now) {
  m_metrics.probe_failures.Add();
  const std::optional<Peer> peer = m_members.FindPeer(m_probe->target.instance);
  if (!peer.has_value() || peer->incarnation != m_probe->target.incarnation ||
      peer->state == MemberState::kDead || peer->state_number != m_probe->target.state_number) {
    return;
  }
  const std::uint64_t key = MemberKey(peer->instance, peer->incarnation);
  if (peer->state == MemberState::kAlive) {
    const auto change = m_members.MergeState(key, MemberState::kSuspect, peer->state_number);
    if (change.has_value()) {
      HandleMemberChange(*change, now);
    }
  }
  Suspicion& suspicion = m_suspicions[peer->instance];
  const SteadyTime deadline = now + m_settings.suspicion_timeout;
  const bool is_known = suspicion.member_key == key && suspicion.state_number == peer->state_number;
  if (is_known && suspicion.own_probe_failed) {
    return;
  }
  suspicion = {key, peer->state_number,
               is_known ? std::min(deadline, suspicion.deadline) : deadline, true,
               now + kNoticePeriod};
  NotifySuspect(peer->instance, now);
}

void GossipNode::NotifySuspect(const InstanceName& instance, SteadyTime now) {
  const std::optional<Peer> peer = m_members.FindPeer(instance);
  if (!peer.has_value()) {
    return;
  }
  Datagram notice = MakeDatagram(DatagramKind::kPush);
  notice.statuses.push_back(
      {MemberKey(peer->instance, peer->incarnation), MemberState::kSuspect, peer->state_number});
  // The member answers with its own record, which clears the suspicion even of a leaving member.
  notice.introduce = true;
  Send(notice, peer->gossip_address, now);
}

void GossipNode::TickSuspicions(SteadyTime now) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> expired;
  std::vector<InstanceName> notices;
  absl::erase_if(m_suspicions, [&](auto& entry) {
    Suspicion& suspicion = entry.second;
    if (now >= suspicion.deadline) {
      expired.emplace_back(suspicion.member_key, suspicion.state_number);
      return true;
    }
    if (suspicion.own_probe_failed && now >= suspicion.next_notice) {
      suspicion.next_notice = now + kNoticePeriod;
      notices.push_back(entry.first);
    }
    return false;
  });
  for (const InstanceName& instance : notices) {
    NotifySuspect(instance, now);
  }
  for (const auto& [key, number] : expired) {
    const auto change = m_members.MergeState(key, MemberState::kDead, number);
    if (change.has_value()) {
      HandleMemberChange(*change, now);
    }
  }
}

void GossipNode::HandleProbe(const Datagram& datagram, std::string_view address,
                             const std::optional<Peer>& peer, SteadyTime now) {
  if (datagram.kind != DatagramKind::kProbe) {
    return;
  }
  Datagram reply = MakeDatagram(DatagramKind::kAcknowledgement);
  reply.sequence = datagram.sequence;
  if (peer.has_value()) {
    if (peer->state != MemberState::kAlive) {
      reply.statuses.push_back(
          {MemberKey(peer->instance, peer->incarnation), peer->state, peer->state_number});
    }
    FillPayload(reply, *peer, kLoadsPerProbe, now);
  }
  Send(reply, address, now);
}

void GossipNode::HandleAcknowledgement(const Datagram& datagram, SteadyTime now) {
  if (datagram.kind != DatagramKind::kAcknowledgement) {
    return;
  }
  if (m_probe.has_value() && datagram.sequence == m_probe->sequence) {
    const auto suspicion = m_suspicions.find(m_probe->target.instance);
    // A leaving member never has the state kSuspect, so there is no refutation that could clear its
    // suspicion; the acknowledgement does.
    if (suspicion != m_suspicions.end() && m_probe->target.state == MemberState::kLeaving) {
      m_suspicions.erase(suspicion);
    }
    m_probe.reset();
    return;
  }
  const auto relay = m_relays.find(datagram.sequence);
  if (relay == m_relays.end()) {
    return;
  }
  Datagram reply = MakeDatagram(DatagramKind::kAcknowledgement);
  reply.sequence = relay->second.requester_sequence;
  Send(reply, relay->second.requester_address, now);
  m_relays.erase(relay);
}

void GossipNode::HandleProbeRequest(const Datagram& datagram, const Peer& peer, SteadyTime now) {
  if (datagram.kind != DatagramKind::kProbeRequest) {
    return;
  }
  const std::optional<Peer> target = m_members.FindPeer(datagram.target);
  if (!target.has_value()) {
    return;
  }
  Datagram probe = MakeDatagram(DatagramKind::kProbe);
  probe.sequence = ++m_sequence;
  m_relays[probe.sequence] = {peer.gossip_address, datagram.sequence,
                              now + m_settings.probe_period};
  Send(probe, target->gossip_address, now);
}

}  // namespace wagtailwind::gossip
