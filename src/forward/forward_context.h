#ifndef WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
#define WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "forward/confirmation.h"
#include "forward/connection_pool.h"
#include "forward/endpoint_registry.h"
#include "forward/routing.h"
#include "forward/traffic_share.h"
#include "forward/wire_names.h"
#include "net/event_loop.h"
#include "requests/retry_budget.h"
#include "settings/forwarder_settings.h"

namespace wagtailwind::forward {

/// \brief State that all requests of a router share. Used on the loop's thread only.
struct ForwardContext {
  net::EventLoop& loop;
  const Clock& clock;
  RandomSource& random;
  MetricsRegistry& metrics;
  const WireNames& names;
  settings::ForwarderBounds bounds;
  AvailabilityZoneName zone;

  EndpointRegistry endpoints;
  ConnectionPool pool;
  /// Whether the list of endpoints has been read.
  bool endpoints_known = false;
  Confirmation confirmation;
  /// Empty until the first configuration has been read.
  std::shared_ptr<const RoutingConfiguration> configuration;
  TrafficShare traffic_share;
  /// By service.
  std::map<std::string, requests::RetryBudget, std::less<>> retry_budgets;

  /// \brief Whether the configuration was confirmed to be the newest not long ago. Then unknown
  /// routes and keys can be refused for good, and callers are served well here.
  [[nodiscard]] bool IsConfirmed() const noexcept;

  /// \brief The budget of a service; created at its first request. Its capacity follows the
  /// estimated number of routers.
  [[nodiscard]] requests::RetryBudget& RetryBudgetOf(const ServiceName& service);
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
