#include "forward/configuration_follower.h"

#include <chrono>

#include "core/mutant.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

ConfigurationFollower::ConfigurationFollower(ForwardContext& context,
                                             const DeploymentAdapter& adapter)
    : m_context(context), m_adapter(adapter) {}

void ConfigurationFollower::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                       BootTime valid_as_of) {
  OnChanges(items, valid_as_of);
}

void ConfigurationFollower::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                      BootTime valid_as_of) {
  for (const platform::KeyValueItem& change : changes) {
    // Only the newest item matters, but an unreadable older item must not stop it from being
    // applied.
    if (change.key == m_adapter.ConfigurationKey() && !change.deleted) {
      m_newest_unreadable = !ApplyItem(change);
    }
  }
  if (m_context.configuration && !m_newest_unreadable) {
    m_context.confirmation.OnConfirmed(valid_as_of);
  }
}

// Revisions order items only within one era. The version keeps an older configuration from being
// applied across eras.
void ConfigurationFollower::OnServiceRestored() {
  if (!IsMutantEnabled("forwarder_compares_revisions_across_eras")) {
    m_revision = 0;
  }
}

bool ConfigurationFollower::ApplyItem(const platform::KeyValueItem& item) {
  if (item.revision <= m_revision ||
      (m_revision != 0 && IsMutantEnabled("forwarder_keeps_first_configuration"))) {
    Log(kConfigurationSkipped, {{"revision", item.revision}, {"newest", m_revision}});
    return true;
  }
  m_revision = item.revision;
  const SteadyTime start = m_context.clock.Now();
  std::shared_ptr<const RoutingConfiguration> next;
  try {
    next = m_adapter.DecodeConfiguration(item.value);
  } catch (const MalformedConfiguration& error) {
    Log(kConfigurationIgnored, {{"revision", item.revision}, {"error", error.what()}});
    return false;
  }
  const std::uint64_t current = m_context.configuration ? m_context.configuration->version : 0;
  if (next->version < current) {
    Log(kConfigurationIgnored, {{"revision", item.revision},
                                {"version", next->version},
                                {"in_force", current},
                                {"error", "older than the version in force"}});
    return true;
  }
  m_context.configuration = std::move(next);
  m_context.UpdateColdShares();
  m_context.metrics.GetGauge("forward_configuration_version")
      .Set(static_cast<double>(m_context.configuration->version));
  Log(kConfigurationInForce, {{"version", m_context.configuration->version},
                              {"before", current},
                              {"revision", item.revision},
                              {"routes", m_context.configuration->RouteCount()},
                              {"decode_us", std::chrono::duration_cast<std::chrono::microseconds>(
                                                m_context.clock.Now() - start)
                                                .count()}});
  return true;
}

}  // namespace wagtailwind::forward
