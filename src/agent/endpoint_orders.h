#ifndef WAGTAILWIND_AGENT_ENDPOINT_ORDERS_H_
#define WAGTAILWIND_AGENT_ENDPOINT_ORDERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/random_source.h"
#include "endpoint/model_engine.h"
#include "platform/key_value_service.h"

namespace wagtailwind::agent {

/// \brief Orders the engine beside this agent, as the only issuer: orders carry a fencing number
/// that is raised once at the start. Calls block; to be used from one thread.
class EndpointOrders {
 public:
  /// \brief The engine, the service and the random source outlive this object.
  EndpointOrders(const EndpointName& endpoint, endpoint::ModelEngine& engine,
                 platform::KeyValueService& key_values, RandomSource& random);

  /// \brief Raises the fence; false if the platform could not be reached. To be repeated until it
  /// succeeds; no order is sent before.
  [[nodiscard]] bool RaiseFence();

  /// \brief Sets what the engine should have loaded.
  void SetTarget(const ModelName& model, std::string_view version);

  /// \brief Sends the whole target state; to be called after a change and every 30 s. False if
  /// something was not sent or was refused.
  [[nodiscard]] bool Apply();

  /// \brief The number in force for this process; 0 before RaiseFence() and after a later process
  /// has raised the fence.
  [[nodiscard]] std::uint64_t FencingNumber() const noexcept { return m_fencing_number; }

 private:
  [[nodiscard]] bool HoldsFence();

  const EndpointName m_endpoint;
  endpoint::ModelEngine& m_engine;
  platform::KeyValueService& m_key_values;
  RandomSource& m_random;
  std::uint64_t m_fencing_number = 0;
  bool m_lost = false;
  /// Versions by model name.
  std::map<std::string, std::string> m_target;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ENDPOINT_ORDERS_H_
