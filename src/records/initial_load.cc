#include "records/initial_load.h"

#include <algorithm>

namespace wagtailwind::records {

void InitialLoad::PeerAnswered(const InstanceName& peer, ConfigurationVersion version) {
  ConfigurationVersion& known = m_peers[peer.value()];
  known = std::max(known, version);
}

void InitialLoad::PlatformAnswered(ConfigurationVersion version) noexcept {
  m_platform_version = std::max(m_platform_version.value_or(0), version);
}

InitialLoad::Decision InitialLoad::PeerWithHighestVersion() const {
  const auto best =
      std::ranges::max_element(m_peers, {}, [](const auto& peer) { return peer.second; });
  if (best == m_peers.end() || best->second == 0) {
    return {};
  }
  return {Source::kPeer, best->second, InstanceName(best->first)};
}

// A read from the platform may be stale, and the process must not start with a version below one
// that was already in force. While the platform is down no change can be accepted, and a change
// that was accepted earlier has had the whole kPeerQueryPeriod to propagate. In both cases the
// highest version among a few peers is new enough.
InitialLoad::Decision InitialLoad::Decide(SteadyTime now) const {
  const bool has_platform = m_platform_version && *m_platform_version > 0;
  const std::size_t needed = std::min(kMinPeers, m_reachable_peers);
  // Right after the start no peer may be known yet, and `needed` is 0.
  const bool peers_answered = !m_peers.empty() && m_peers.size() >= needed;
  if (has_platform && !peers_answered && now - m_started < kPlatformHoldPeriod) {
    return {};
  }
  if (!has_platform && (!peers_answered || now - m_started < kPeerQueryPeriod)) {
    return {};
  }
  Decision best = PeerWithHighestVersion();
  if (has_platform && *m_platform_version >= best.version) {
    return {Source::kPlatform, *m_platform_version, {}};
  }
  return best;
}

}  // namespace wagtailwind::records
