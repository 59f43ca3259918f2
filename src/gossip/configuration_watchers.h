#ifndef WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_
#define WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief Routers of a zone that watch the configuration at the platform.
inline constexpr std::size_t kWatchersPerZone = 3;

/// \brief The watchers of a zone: the first live routers in rendezvous order, best first.
[[nodiscard]] std::vector<InstanceName> ConfigurationWatchers(std::span<const Member> members,
                                                              const AvailabilityZoneName& zone);

/// \brief Whether an instance is a watcher of a zone.
[[nodiscard]] bool IsConfigurationWatcher(std::span<const Member> members,
                                          const AvailabilityZoneName& zone,
                                          const InstanceName& instance);

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_
