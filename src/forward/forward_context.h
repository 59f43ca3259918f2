#ifndef WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
#define WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "balancing/admission_control.h"
#include "balancing/endpoint_registry.h"
#include "balancing/performance_estimate.h"
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
  settings::BalancingSettings balancing;
  /// Region of each availability zone.
  std::vector<settings::ZoneRegion> regions;
  AvailabilityZoneName zone;
  /// Name of this router.
  InstanceName self;
  /// All routers, including this one.
  std::vector<balancing::RouterInfo> routers;
  /// Time at which the records of routers were first read; empty before.
  std::optional<SteadyTime> routers_read_at{};

  balancing::EndpointRegistry endpoints;
  ConnectionPool pool;
  /// Whether the list of endpoints has been read at least once.
  bool endpoints_known = false;
  Confirmation confirmation;
  /// Empty until the first configuration has been read.
  std::shared_ptr<const RoutingConfiguration> configuration;
  balancing::TrafficShare traffic_share;
  /// By service: the endpoints that are expected to cache the shared parts of prompts.
  std::map<std::string, balancing::PromptCacheEstimate, std::less<>> cached_prompts{};
  /// Costs of the requests by service.
  std::map<std::string, balancing::RequestCosts, std::less<>> request_costs;
  /// Whether requests are refused while their service can't serve all in time.
  bool has_admission_control = false;
  /// By service; empty without admission control.
  std::map<std::string, balancing::AdmissionControl, std::less<>> admission{};
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

  /// \brief Returns whether the configuration was confirmed recently enough to accept keys.
  [[nodiscard]] bool AreKeysConfirmed() const noexcept;

  /// \brief Sets the request limit that an endpoint has named; empty if it has none.
  void SetRequestLimit(balancing::Endpoint& endpoint, std::optional<double> limit);

  /// \brief Replaces the list of routers, and divides all request limits anew.
  void SetRouters(std::vector<balancing::RouterInfo> all);

  /// \brief Sets the availability zones that the operators have evacuated. Endpoints of a zone that
  /// is taken back may have become cold meanwhile.
  void SetEvacuatedZones(std::vector<AvailabilityZoneName> zones);

  /// \brief The endpoint is cold for at least `time` from now on.
  void SetCold(balancing::Endpoint& endpoint, std::chrono::nanoseconds time);

  /// \brief The endpoint refused a connection: it may come back cold before its entry says so.
  void OnUnreachable(balancing::Endpoint& endpoint);

  /// \brief Divides the limits of cold endpoints anew, after a change of what they depend on.
  void UpdateColdShares();

  /// \brief Returns the availability zones in which a request may run whose route and organisation
  /// have these homes; empty if they have none.
  [[nodiscard]] std::optional<std::vector<AvailabilityZoneName>> HomeZones(
      std::span<const RegionName> route_homes,
      std::span<const RegionName> organisation_homes) const;

  /// \brief Returns the number of other routers that are known.
  [[nodiscard]] std::size_t OtherRouters() const noexcept;

  /// \brief Returns the settings of a service; null if the configuration has none.
  [[nodiscard]] const ServiceSpec* FindService(const ServiceName& service) const;

  /// \brief Returns this router's share of what an endpoint takes while it is cold; empty if there
  /// is no limit.
  [[nodiscard]] std::optional<balancing::LimitShare> ColdShareOf(
      const balancing::Endpoint& endpoint) const;

  /// \brief Returns this router's share of an endpoint's request limit.
  [[nodiscard]] balancing::LimitShare ShareOf(const balancing::Endpoint& endpoint,
                                              double limit) const;

  /// \brief Returns the retry budget of a service, creating it at the first request. Its capacity
  /// is adjusted to the estimated number of routers.
  [[nodiscard]] requests::RetryBudget& RetryBudgetFor(const ServiceName& service);
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_FORWARD_CONTEXT_H_
