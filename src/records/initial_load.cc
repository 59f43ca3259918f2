#include "records/initial_load.h"

#include <algorithm>

namespace wagtailwind::records {

void InitialLoad::PeerAnswered(const InstanceName& peer, ConfigurationVersion version) {
  ConfigurationVersion& known = m_peers[peer.value()];
  known = std::max(known, version);
}

// No change can be accepted while the platform is down, and one accepted before has had the whole
// period to spread. So the highest version among a few peers is the newest one.
InitialLoad::Decision InitialLoad::Decide(SteadyTime now) const {
  if (m_platform_version && *m_platform_version > 0) {
    return {Source::kPlatform, *m_platform_version, {}};
  }
  const std::size_t needed = std::min(kMinPeers, m_reachable_peers);
  if (now - m_started < kPeerPeriod || m_peers.empty() || m_peers.size() < needed) {
    return {};
  }
  const auto best =
      std::ranges::max_element(m_peers, {}, [](const auto& peer) { return peer.second; });
  if (best->second == 0) {
    return {};
  }
  return {Source::kPeer, best->second, InstanceName(best->first)};
}

}  // namespace wagtailwind::records
