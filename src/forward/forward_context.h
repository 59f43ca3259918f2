#ifndef WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
#define WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancing/endpoint_registry.h"
#include "balancing/prompt_quarantine.h"
#include "balancing/request_cost.h"
#include "balancing/traffic_share.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "forward/confirmation.h"
#include "forward/connection_pool.h"
#include "forward/crash_detector.h"
#include "forward/memory_budget.h"
#include "forward/routing.h"
#include "forward/wire_names.h"
#include "net/event_loop.h"
#include "requests/retry_budget.h"
#include "settings/forwarder_settings.h"

namespace wagtailwind::forward {

/// \brief Times of a planned stop.
struct StopSchedule {
  /// Time from which a request is refused if it may outlast the stop.
  SteadyTime refuse_long_from{};
  /// Time at which the requests that still run are cut.
  SteadyTime end{};
};

/// \brief State that is shared by all requests of a router. Used only on the thread of the event
/// loop.
struct ForwardContext {
  net::EventLoop& loop;
  const Clock& clock;
  RandomSource& random;
  MetricsRegistry& metrics;
  const WireNames& names;
  settings::ForwarderBounds bounds;
  AvailabilityZoneName zone;
  /// Name of this router.
  InstanceName self;
  /// All routers, including this one.
  std::vector<balancing::RouterInfo> routers;

  balancing::EndpointRegistry endpoints;
  ConnectionPool pool;
  /// Whether the list of endpoints has been read at least once.
  bool endpoints_known = false;
  Confirmation confirmation;
  /// Empty until the first configuration has been read.
  std::shared_ptr<const RoutingConfiguration> configuration;
  balancing::TrafficShare traffic_share;
  /// Costs of the requests by service.
  std::map<std::string, balancing::RequestCosts, std::less<>> request_costs;
  /// Retry budgets by service.
  std::map<std::string, requests::RetryBudget, std::less<>> retry_budgets;
  CrashDetector crashes;
  balancing::PromptQuarantine quarantine;
  /// Receives the request limit in each answer of an endpoint.
  std::function<void(const balancing::EndpointPtr& endpoint, std::optional<double> limit)>
      on_request_limit;
  /// Answers that have been received and not yet been sent to their callers.
  MemoryBudget answer_memory;
  /// Empty until a planned stop begins.
  std::optional<StopSchedule> stop{};

  /// \brief Returns whether the configuration was confirmed recently to be the newest. If so,
  /// unknown routes and keys can be refused permanently, and the router is ready for callers.
  [[nodiscard]] bool IsConfirmed() const noexcept;

  /// \brief Sets the request limit that an endpoint has named; empty if it has none.
  void SetRequestLimit(balancing::Endpoint& endpoint, std::optional<double> limit);

  /// \brief Replaces the list of routers, and divides all request limits anew.
  void SetRouters(std::vector<balancing::RouterInfo> all);

  /// \brief Returns the number of other routers that are known.
  [[nodiscard]] std::size_t OtherRouters() const noexcept;

  /// \brief Returns this router's share of an endpoint's request limit.
  [[nodiscard]] balancing::LimitShare ShareOf(const balancing::Endpoint& endpoint,
                                              double limit) const;

  /// \brief Returns the retry budget of a service, creating it at the first request. Its capacity
  /// is adjusted to the estimated number of routers.
  [[nodiscard]] requests::RetryBudget& RetryBudgetFor(const ServiceName& service);
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
