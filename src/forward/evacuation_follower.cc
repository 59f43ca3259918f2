#include "forward/evacuation_follower.h"

#include <chrono>
#include <utility>
#include <vector>

#include "core/mutant.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Time in which the operators write again what a restored service has lost, as for endpoints.
constexpr std::chrono::milliseconds kRewriteTime = 2'500ms;

}  // namespace

EvacuationFollower::EvacuationFollower(ForwardContext& context, const DeploymentAdapter& adapter)
    : m_context(context),
      m_adapter(adapter),
      m_rewrite_timer(context.loop, [this] { OnRewriteTimer(); }) {}

AvailabilityZoneName EvacuationFollower::ZoneOf(const platform::KeyValueItem& item) const {
  return AvailabilityZoneName(item.key.substr(m_adapter.EvacuationPrefix().size()));
}

void EvacuationFollower::Apply(const platform::KeyValueItem& change, Zones& zones) const {
  AvailabilityZoneName zone = ZoneOf(change);
  std::erase(zones, zone);
  if (!change.deleted && !IsMutantEnabled("forwarder_ignores_evacuations")) {
    zones.push_back(std::move(zone));
  }
}

void EvacuationFollower::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                    BootTime /*valid_as_of*/) {
  m_stored.clear();
  for (const platform::KeyValueItem& item : items) {
    m_stored.push_back(ZoneOf(item));
  }
  if (m_is_rewritten) {
    m_context.SetEvacuatedZones(m_stored);
  }
}

void EvacuationFollower::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                   BootTime /*valid_as_of*/) {
  Zones in_force = m_context.endpoints.EvacuatedZones();
  for (const platform::KeyValueItem& change : changes) {
    Apply(change, m_stored);
    Apply(change, in_force);
  }
  m_context.SetEvacuatedZones(std::move(in_force));
}

void EvacuationFollower::OnServiceRestored() {
  if (IsMutantEnabled("forwarder_trusts_restored_evacuations")) {
    return;
  }
  m_is_rewritten = false;
  m_rewrite_timer.Start(kRewriteTime);
}

void EvacuationFollower::OnRewriteTimer() {
  m_is_rewritten = true;
  m_context.SetEvacuatedZones(m_stored);
}

}  // namespace wagtailwind::forward
