#include <algorithm>
#include <utility>

#include "gossip/gossip_node.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLeaveFanOut = 8;
constexpr std::size_t kRefutationFanOut = 3;
constexpr std::size_t kSeedsPerContact = 5;
constexpr milliseconds kJoinPullPeriod{2000};
constexpr milliseconds kPullJitter{10'000};
// The instance list is seconds out of date: an entry may refer to the predecessor of an incarnation
// that was first seen less than this time ago.
constexpr milliseconds kListLag{10'000};

}  // namespace

void GossipNode::MergeMembership(const Datagram& datagram, SteadyTime now) {
  for (const Member& record : datagram.members) {
    const auto change = m_members.Merge(record);
    if (change.has_value()) {
      HandleMemberChange(*change, now);
    }
    if (record.instance == datagram.sender && record.state == MemberState::kLeaving) {
      // A record sent by the member itself proves that it is alive. A leaving member cannot return
      // to kAlive to clear a suspicion.
      m_suspicions.erase(record.instance);
    }
  }
  for (const StatusReport& status : datagram.statuses) {
    const auto change = m_members.MergeState(status.member_key, status.state, status.state_number);
    if (change.has_value()) {
      HandleMemberChange(*change, now);
    }
  }
}

void GossipNode::HandleMemberChange(const MemberChange& change, SteadyTime now) {
  const Member& member = change.member;
  m_changes.Add(member.instance, !change.before.has_value());
  LogChange(change);
  if (change.refuted) {
    for (std::size_t i = 0; i < kRefutationFanOut; ++i) {
      const std::optional<Peer> peer = SelectPushTarget(0.5);
      if (peer.has_value()) {
        Datagram push = MakeDatagram(DatagramKind::kPush);
        AddOwnRecord(push);
        Send(push, peer->gossip_address, now);
      }
    }
    return;
  }
  if (member.state == MemberState::kSuspect) {
    m_suspicions[member.instance] = {
        MemberKey(member.instance, member.incarnation),
        member.state_number,
        now + m_settings.suspicion_timeout + m_settings.reported_suspicion_grace,
        false,
        {}};
  } else {
    m_suspicions.erase(member.instance);
  }
  m_has_new_deaths = m_has_new_deaths || member.state == MemberState::kDead;
}

void GossipNode::LogChange(const MemberChange& change) {
  const Member& member = change.member;
  const auto log = [&member](const LogEvent& event) {
    Log(event, {{"member", member.instance.value()},
                {"zone", member.zone.value()},
                {"incarnation", member.incarnation},
                {"state_number", member.state_number}});
  };
  if (change.refuted) {
    m_metrics.refutations.Add();
    log(kSuspicionRefuted);
  } else if (!change.before.has_value()) {
    log(kMemberJoined);
  } else if (member.state == MemberState::kDead) {
    m_metrics.deaths.Add();
    log(kMemberDead);
  } else if (member.state == MemberState::kSuspect) {
    m_metrics.suspicions.Add();
    log(kMemberSuspected);
  } else if (change.before == MemberState::kDead) {
    m_metrics.recoveries.Add();
    log(kMemberRecovered);
  } else if (member.state == MemberState::kLeaving) {
    log(kMemberLeaving);
  }
}

void GossipNode::CompareDigest(std::uint64_t digest, const Peer& peer, SteadyTime now) {
  if (digest == m_members.Digest()) {
    m_mismatch_since.reset();
    return;
  }
  if (!m_mismatch_since.has_value()) {
    // The random delay prevents all processes from pulling at the same time after a change that
    // reached all tables.
    m_mismatch_since =
        now + milliseconds(m_random.NextBelow(static_cast<std::uint64_t>(kPullJitter.count())));
  }
  if (now >= *m_mismatch_since + m_settings.mismatch_delay && now >= m_next_members_pull) {
    m_mismatch_since.reset();
    PullMembers(peer, now);
  }
}

void GossipNode::PullMembers(const Peer& peer, SteadyTime now) {
  if (m_pulling_members) {
    return;
  }
  m_pulling_members = true;
  m_next_members_pull = now + (m_joined ? m_settings.members_pull_period : kJoinPullPeriod);
  m_metrics.member_pulls.Add();
  m_fetcher.FetchMembers(peer.rpc_address,
                         [this, inbox = m_inbox](std::optional<std::vector<Member>> members) {
                           Enqueue(inbox, [this, members = std::move(members)](SteadyTime at) {
                             MergeMemberTable(members, at);
                           });
                         });
}

void GossipNode::MergeMemberTable(const std::optional<std::vector<Member>>& members,
                                  SteadyTime now) {
  m_pulling_members = false;
  if (!members.has_value()) {
    m_metrics.failed_pulls.Add();
    Log(kPullFailed, {{"kind", "members"}});
    return;
  }
  if (!m_joined) {
    m_joined = true;
    m_next_members_pull = now + m_settings.members_pull_period;
  }
  for (const Member& record : *members) {
    const auto change = m_members.Merge(record);
    // The peer has already disseminated the contents of its table. Only changes that concern this
    // process or start a suspicion timer here are sent on.
    if (change.has_value() && (change->refuted || change->member.state == MemberState::kSuspect)) {
      HandleMemberChange(*change, now);
    }
  }
  Log(kMembersPulled, {{"members", members->size()}});
}

void GossipNode::TickJoin(SteadyTime now) {
  if (!m_joined && now >= m_next_members_pull) {
    const std::optional<Peer> peer = SelectPushTarget(0.5);
    if (peer.has_value()) {
      PullMembers(*peer, now);
    }
  }
  if (m_seeds.empty() || now < m_next_seed_contact) {
    return;
  }
  m_next_seed_contact = now + m_settings.seed_contact_period;
  std::erase_if(m_seeds, [this](const platform::ListedInstance& seed) {
    const std::optional<Peer> peer = m_members.FindPeer(seed.name);
    return seed.name == m_self || (peer.has_value() && peer->state != MemberState::kDead);
  });
  for (std::size_t i = 0; i < std::min(kSeedsPerContact, m_seeds.size()); ++i) {
    Datagram push = MakeDatagram(DatagramKind::kPush);
    AddOwnRecord(push);
    push.introduce = true;
    Send(push, m_seeds[m_random.NextBelow(m_seeds.size())].gossip_address, now);
  }
}

void GossipNode::TickDeadContact(SteadyTime now) {
  if (now < m_next_dead_contact) {
    return;
  }
  m_next_dead_contact = now + m_settings.dead_contact_period;
  const std::optional<Peer> peer = m_members.RandomPeer(PeerGroup::kDead, m_random);
  if (!peer.has_value()) {
    return;
  }
  // After a network partition each side considers the other dead; contacting a dead member lets the
  // two sides merge again.
  Datagram push = MakeDatagram(DatagramKind::kPush);
  AddOwnRecord(push);
  push.statuses.push_back(
      {MemberKey(peer->instance, peer->incarnation), peer->state, peer->state_number});
  Send(push, peer->gossip_address, now);
}

void GossipNode::ApplyInstanceList(std::vector<platform::ListedInstance> instances,
                                   SteadyTime now) {
  absl::flat_hash_map<InstanceName, Incarnation> leaving;
  std::vector<platform::ListedInstance> seeds;
  for (platform::ListedInstance& listed : instances) {
    const std::optional<Peer> peer = m_members.FindPeer(listed.name);
    if (listed.leaving && peer.has_value()) {
      leaving[listed.name] = peer->incarnation;
    } else if (!listed.leaving && listed.name != m_self &&
               (!peer.has_value() || peer->state == MemberState::kDead)) {
      seeds.push_back(std::move(listed));
    }
  }
  for (const auto& [name, incarnation] : leaving) {
    // Leaving is final for an incarnation, so it takes two consecutive lists that agree.
    const auto earlier = m_listed_leaving.find(name);
    const std::optional<Peer> peer = m_members.FindPeer(name);
    if (earlier == m_listed_leaving.end() || earlier->second != incarnation ||
        peer->state == MemberState::kDead || now - peer->first_seen < kListLag) {
      continue;
    }
    const auto change = m_members.MergeState(MemberKey(name, incarnation), MemberState::kLeaving,
                                             peer->state_number);
    if (change.has_value()) {
      HandleMemberChange(*change, now);
      NotifyLeaving(*peer, now);
    }
  }
  m_listed_leaving = std::move(leaving);
  if (!seeds.empty()) {
    m_seeds = std::move(seeds);
    m_next_seed_contact = now;
  }
}

void GossipNode::NotifyLeaving(const Peer& peer, SteadyTime now) {
  // Notifies the member directly, because it must stop admitting work within seconds and gossip
  // through other members takes longer the larger the fleet is.
  if (peer.instance == m_self) {
    return;
  }
  Datagram push = MakeDatagram(DatagramKind::kPush);
  push.statuses.push_back(
      {MemberKey(peer.instance, peer.incarnation), MemberState::kLeaving, peer.state_number});
  Send(push, peer.gossip_address, now);
}

void GossipNode::LeaveNow(SteadyTime now) {
  const auto change = m_members.LeaveSelf();
  if (!change.has_value()) {
    return;
  }
  HandleMemberChange(*change, now);
  for (std::size_t i = 0; i < kLeaveFanOut; ++i) {
    const std::optional<Peer> peer = SelectPushTarget(i % 2 == 0 ? 1.0 : 0.0);
    if (peer.has_value()) {
      Datagram push = MakeDatagram(DatagramKind::kPush);
      AddOwnRecord(push);
      Send(push, peer->gossip_address, now);
    }
  }
}

}  // namespace wagtailwind::gossip
