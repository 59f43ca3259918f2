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

/// \brief Sends load orders to the engine of this agent. Orders carry a fencing number, raised once
/// at startup, so that only the latest process can issue them. Calls block; not thread-safe.
class EndpointOrders {
 public:
  /// \brief The engine, the service and the random source must outlive this object.
  EndpointOrders(const EndpointName& endpoint, endpoint::ModelEngine& engine,
                 platform::KeyValueService& key_values, RandomSource& random);

  /// \brief Raises the fencing number; returns false if the platform could not be reached, or if a
  /// later process has raised it. Must be retried until it succeeds; no order is sent before.
  [[nodiscard]] bool RaiseFence();

  /// \brief Sets the version of a model that the engine should have loaded.
  void SetTarget(const ModelName& model, std::string_view version);

  /// \brief Sends the complete target state; to be called after a change and every 30 s. Returns
  /// false if an order was not sent or was refused.
  [[nodiscard]] bool Apply();

  /// \brief Returns the fencing number of this process; 0 before RaiseFence() succeeds and after a
  /// later process has raised the number.
  [[nodiscard]] std::uint64_t FencingNumber() const noexcept { return m_fencing_number; }

 private:
  /// Returns whether no later process has raised the fencing number; false if that is unknown.
  [[nodiscard]] bool HoldsFence();

  const EndpointName m_endpoint;
  endpoint::ModelEngine& m_engine;
  platform::KeyValueService& m_key_values;
  RandomSource& m_random;
  std::uint64_t m_fencing_number = 0;
  bool m_lost = false;
  /// Target versions by model name.
  std::map<std::string, std::string> m_target;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ENDPOINT_ORDERS_H_
