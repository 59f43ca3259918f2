#include "forward/evacuation_follower.h"

#include <utility>
#include <vector>

#include "core/mutant.h"

namespace wagtailwind::forward {

EvacuationFollower::EvacuationFollower(ForwardContext& context, const DeploymentAdapter& adapter)
    : m_context(context), m_adapter(adapter) {}

AvailabilityZoneName EvacuationFollower::ZoneOf(const platform::KeyValueItem& item) const {
  return AvailabilityZoneName(item.key.substr(m_adapter.EvacuationPrefix().size()));
}

void EvacuationFollower::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                    BootTime /*valid_as_of*/) {
  std::vector<AvailabilityZoneName> zones;
  zones.reserve(items.size());
  for (const platform::KeyValueItem& item : items) {
    zones.push_back(ZoneOf(item));
  }
  m_context.SetEvacuatedZones(std::move(zones));
}

void EvacuationFollower::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                   BootTime /*valid_as_of*/) {
  std::vector<AvailabilityZoneName> zones = m_context.endpoints.EvacuatedZones();
  for (const platform::KeyValueItem& change : changes) {
    AvailabilityZoneName zone = ZoneOf(change);
    std::erase(zones, zone);
    if (!change.deleted && !IsMutantEnabled("forwarder_ignores_evacuations")) {
      zones.push_back(std::move(zone));
    }
  }
  m_context.SetEvacuatedZones(std::move(zones));
}

}  // namespace wagtailwind::forward
