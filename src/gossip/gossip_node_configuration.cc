#include <algorithm>
#include <utility>

#include "gossip/gossip_node.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using records::ConfigurationVersion;
using records::ReplicaDigest;
using std::chrono::milliseconds;

constexpr std::size_t kFanOut = 3;
// Of the three pushes of a new version, two go to the own zone and one to another zone on average.
constexpr double kOwnZoneShare = 0.67;
constexpr ConfigurationVersion kMaxChangesPerReply = 3;
// A process that is further behind pulls the whole document instead of single changes.
constexpr ConfigurationVersion kMaxLag = 8;
constexpr milliseconds kRequestPeriod{200};
// A process that has been behind for longer pulls the document, since the changes were lost or
// rejected.
constexpr milliseconds kMaxBehindTime{1500};
constexpr milliseconds kPullPeriod{500};
// One-way delays are 1 ms to 2 ms in a region and 40 ms between regions.
constexpr milliseconds kRegionTransit{10};
constexpr milliseconds kOtherRegionTransit{100};
// Ticks run every 100 ms. After a longer gap, datagrams may have waited in the socket buffer for
// the whole gap.
constexpr milliseconds kMaxTickGap{300};

}  // namespace

milliseconds GossipNode::TransitBound(const Peer& peer, SteadyTime now) const {
  // The transit time is not measured, so an upper bound is added to the age. An underestimate would
  // make a confirmation younger at each hop, and over many hops it would never expire.
  const milliseconds network = peer.own_region ? kRegionTransit : kOtherRegionTransit;
  const auto since_tick = std::chrono::ceil<milliseconds>(now - m_last_tick);
  const bool waited = m_last_tick != SteadyTime{} && since_tick > kMaxTickGap;
  return waited ? network + since_tick : network;
}

void GossipNode::AnnounceConfiguration(SteadyTime now) {
  const ConfigurationVersion version = m_configuration.Digest().version;
  if (version <= m_announced_version) {
    return;
  }
  m_announced_version = version;
  for (std::size_t i = 0; i < kFanOut; ++i) {
    const std::optional<Peer> peer = SelectPushTarget(kOwnZoneShare);
    if (peer.has_value()) {
      SendMissingChanges(*peer, version - 1, now);
    }
  }
}

void GossipNode::SendMissingChanges(const Peer& peer, ConfigurationVersion version,
                                    SteadyTime now) {
  const ReplicaDigest digest = m_configuration.Digest();
  const ConfigurationVersion last = digest.version - version > kMaxLag ? version : digest.version;
  for (ConfigurationVersion at = version; at < std::min(last, version + kMaxChangesPerReply);
       ++at) {
    std::optional<std::string> change = m_configuration.ChangeAfter(at, kMaxChangeBytes);
    if (!change.has_value() || change->empty() || change->size() > kMaxChangeBytes) {
      break;
    }
    Datagram push = MakeDatagram(DatagramKind::kPush);
    push.change = std::move(*change);
    Send(push, peer.gossip_address, now);
    if (at + 1 == digest.version || at + 1 == version + kMaxChangesPerReply) {
      return;
    }
  }
  Datagram push = MakeDatagram(DatagramKind::kPush);
  push.pull_configuration = true;
  Send(push, peer.gossip_address, now);
}

void GossipNode::HandleConfiguration(const Datagram& datagram, const Peer& peer, SteadyTime now) {
  const ReplicaDigest& theirs = datagram.configuration;
  ReplicaDigest mine = m_configuration.Digest();
  if (theirs.version > mine.version && !datagram.change.empty()) {
    m_configuration.TryApplyChange(datagram.change);
    mine = m_configuration.Digest();
  }
  if (theirs.version == mine.version) {
    m_behind_since.reset();
    if (theirs.confirmation_age.has_value()) {
      m_configuration.Confirm(mine.version, *theirs.confirmation_age + TransitBound(peer, now));
    }
  } else if (theirs.version < mine.version) {
    SendMissingChanges(peer, theirs.version, now);
  } else {
    RequestMissingChanges(datagram, peer, now);
  }
  AnnounceConfiguration(now);
}

void GossipNode::RequestMissingChanges(const Datagram& datagram, const Peer& peer, SteadyTime now) {
  const ConfigurationVersion mine = m_configuration.Digest().version;
  if (!m_behind_since.has_value()) {
    m_behind_since = now;
  }
  if (datagram.pull_configuration || mine == 0 || datagram.configuration.version - mine > kMaxLag ||
      now - *m_behind_since > kMaxBehindTime) {
    PullConfiguration(peer, now);
    return;
  }
  if (now < m_next_request) {
    return;
  }
  m_next_request = now + kRequestPeriod;
  // The peer answers the lower version in this datagram with the missing changes.
  Datagram request = MakeDatagram(DatagramKind::kPush);
  Send(request, peer.gossip_address, now);
}

void GossipNode::PullConfiguration(const Peer& peer, SteadyTime now) {
  if (m_pulling_configuration || now < m_next_configuration_pull) {
    return;
  }
  m_pulling_configuration = true;
  m_next_configuration_pull = now + kPullPeriod;
  m_metrics.configuration_pulls.Add();
  m_fetcher.FetchConfiguration(
      peer.rpc_address, m_configuration.Digest().version,
      [this, now, inbox = m_inbox](std::optional<FetchedConfiguration> fetched) {
        Enqueue(inbox, [this, now, fetched = std::move(fetched)](SteadyTime at) {
          ApplyFetchedConfiguration(fetched, now, at);
        });
      });
}

void GossipNode::ApplyFetchedConfiguration(const std::optional<FetchedConfiguration>& fetched,
                                           SteadyTime requested_at, SteadyTime now) {
  m_pulling_configuration = false;
  if (!fetched.has_value()) {
    m_metrics.failed_pulls.Add();
    Log(kPullFailed, {{"kind", "configuration"}});
    return;
  }
  if (!fetched->document.empty() && m_configuration.TryApplyDocument(fetched->document)) {
    m_behind_since.reset();
    Log(kConfigurationPulled, {{"version", fetched->digest.version}});
  }
  if (fetched->digest.confirmation_age.has_value()) {
    m_configuration.Confirm(
        fetched->digest.version,
        *fetched->digest.confirmation_age + std::chrono::ceil<milliseconds>(now - requested_at));
  }
  AnnounceConfiguration(now);
}

}  // namespace wagtailwind::gossip
