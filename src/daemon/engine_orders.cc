#include "daemon/engine_orders.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/log.h"
#include "daemon/log_events.h"

namespace wagtailwind::daemon {

namespace {

constexpr std::chrono::seconds kUpdateInterval{1};

// Repeated orders undo a late order that a paused earlier process sent to an engine which does not
// check fencing tokens. A late order may stay in effect for 30 s, which covers this interval and
// two slow platform calls.
constexpr std::chrono::seconds kRepeatInterval{20};

}  // namespace

EngineVersionUpdater::EngineVersionUpdater(const gossip::EndpointAdvertisement& endpoint,
                                           endpoint::ModelEngine& engine,
                                           platform::KeyValueService& key_values,
                                           RandomSource& random,
                                           const records::ConfigurationView& configuration)
    : m_endpoint(endpoint),
      m_configuration(configuration),
      m_orders(endpoint.endpoint, engine, key_values, random),
      m_thread(kUpdateInterval, [this] { Update(); }) {}

void EngineVersionUpdater::Update() {
  const auto configuration = m_configuration.Current();
  const auto now = std::chrono::steady_clock::now();
  const bool is_new = configuration->version != m_applied_version;
  if (configuration->version == 0 || (!is_new && now - m_applied_at < kRepeatInterval)) {
    return;
  }
  std::vector<std::pair<ModelName, std::string>> targets;
  for (const records::Model& model : configuration->models) {
    const bool is_served = std::find(m_endpoint.models.begin(), m_endpoint.models.end(),
                                     model.name) != m_endpoint.models.end();
    if (is_served && !model.versions.empty()) {
      targets.emplace_back(model.name, model.versions.back());
    }
  }
  // Each Apply() reads the fencing number from the platform. With 1,400 engines, reads at each
  // change of any record would come close to the platform's limit of 2,000 reads/s.
  if (is_new && targets == m_applied_targets && now - m_applied_at < kRepeatInterval) {
    m_applied_version = configuration->version;
    return;
  }
  if (m_orders.FencingNumber() == 0 && !m_orders.RaiseFence()) {
    return;
  }
  for (const auto& [model, version] : targets) {
    m_orders.SetTarget(model, version);
  }
  if (!m_orders.Apply()) {
    m_applied_targets.reset();
    Log(kEngineOrdersFailed, {{"endpoint", m_endpoint.endpoint.value()}});
    return;
  }
  m_applied_at = now;
  m_applied_version = configuration->version;
  m_applied_targets = std::move(targets);
  Log(kEngineOrdersApplied, {{"endpoint", m_endpoint.endpoint.value()},
                             {"configuration", configuration->version},
                             {"fencing_token", m_orders.FencingNumber()}});
}

}  // namespace wagtailwind::daemon
