#ifndef WAGTAILWIND_DAEMON_ENGINE_ORDERS_H_
#define WAGTAILWIND_DAEMON_ENGINE_ORDERS_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/endpoint_orders.h"
#include "core/periodic_thread.h"
#include "gossip/member.h"
#include "records/configuration_view.h"

namespace wagtailwind::daemon {

/// \brief Keeps an agent's engine at the model versions of the current configuration, from a thread
/// of its own.
class EngineVersionUpdater {
 public:
  /// \brief Starts the thread. The parameters must outlive this object.
  EngineVersionUpdater(const gossip::EndpointAdvertisement& endpoint, endpoint::ModelEngine& engine,
                       platform::KeyValueService& key_values, RandomSource& random,
                       const records::ConfigurationView& configuration);

 private:
  void Update();

  const gossip::EndpointAdvertisement& m_endpoint;
  const records::ConfigurationView& m_configuration;
  agent::EndpointOrders m_orders;
  records::ConfigurationVersion m_applied_version = 0;
  std::chrono::steady_clock::time_point m_applied_at;
  /// Targets of the last Apply(); empty if it failed or was never called.
  std::optional<std::vector<std::pair<ModelName, std::string>>> m_applied_targets;
  // Declared last, so that the thread ends before the members that it uses.
  PeriodicThread m_thread;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_ENGINE_ORDERS_H_
