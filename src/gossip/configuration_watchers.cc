#include "gossip/configuration_watchers.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hash.h"

namespace wagtailwind::gossip {

std::vector<InstanceName> ConfigurationWatchers(std::span<const Member> members,
                                                const AvailabilityZoneName& zone) {
  const std::uint64_t key = StableHash(zone.value());
  std::vector<std::pair<double, InstanceName>> scored;
  for (const Member& member : members) {
    const bool live = member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
    if (live && member.role == Role::kRouter && member.zone == zone) {
      scored.emplace_back(RendezvousScore(key, member.instance.value()), member.instance);
    }
  }
  std::ranges::sort(scored, [](const auto& a, const auto& b) {
    return a.first > b.first || (a.first == b.first && a.second.value() > b.second.value());
  });
  std::vector<InstanceName> watchers;
  for (std::size_t i = 0; i < std::min(kWatchersPerZone, scored.size()); ++i) {
    watchers.push_back(std::move(scored[i].second));
  }
  return watchers;
}

bool IsConfigurationWatcher(std::span<const Member> members, const AvailabilityZoneName& zone,
                            const InstanceName& instance) {
  const std::vector<InstanceName> watchers = ConfigurationWatchers(members, zone);
  return std::ranges::find(watchers, instance) != watchers.end();
}

}  // namespace wagtailwind::gossip
