#ifndef WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_
#define WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief Number of routers per zone that watch the platform for configuration changes.
inline constexpr std::size_t kWatchersPerZone = 3;

/// \brief Returns the watchers of a zone: its live routers with the highest rendezvous scores, in
/// descending order of score.
[[nodiscard]] std::vector<InstanceName> ConfigurationWatchers(std::span<const Member> members,
                                                              const AvailabilityZoneName& zone);

/// \brief Returns whether an instance is a watcher of a zone.
[[nodiscard]] bool IsConfigurationWatcher(std::span<const Member> members,
                                          const AvailabilityZoneName& zone,
                                          const InstanceName& instance);

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_CONFIGURATION_WATCHERS_H_
