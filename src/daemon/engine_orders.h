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

/// \brief A thread that keeps the engine beside an agent at the model versions of the records.
class EngineOrders {
 public:
  /// \brief Starts the thread. The parameters outlive this object.
  EngineOrders(const gossip::EndpointAdvertisement& endpoint, endpoint::ModelEngine& engine,
               platform::KeyValueService& key_values, RandomSource& random,
               const records::ConfigurationView& configuration);

 private:
  void Step();

  const gossip::EndpointAdvertisement& m_endpoint;
  const records::ConfigurationView& m_configuration;
  agent::EndpointOrders m_orders;
  records::ConfigurationVersion m_applied_version = 0;
  std::chrono::steady_clock::time_point m_applied_at;
  /// Empty if the last application failed or there was none.
  std::optional<std::vector<std::pair<ModelName, std::string>>> m_applied_targets;
  // Last, so that the thread ends before what it uses.
  PeriodicThread m_thread;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_ENGINE_ORDERS_H_
