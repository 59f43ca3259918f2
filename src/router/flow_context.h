#ifndef WAGTAILWIND_ROUTER_FLOW_CONTEXT_H_
#define WAGTAILWIND_ROUTER_FLOW_CONTEXT_H_

#include <kj/async.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <unordered_set>
#include <vector>

#include "router/request_decision.h"
#include "router/request_flow.h"

namespace wagtailwind::router {

class ActiveRequest;
class TaskErrorLogger;

/// \brief Metrics of the request flow.
struct FlowMetrics {
  explicit FlowMetrics(MetricsRegistry& registry);

  Counter& results;
  Counter& not_run;
  Counter& unknown;
  Counter& attempts;
  Counter& refusals;
  Counter& retries;
  Counter& lost;
  Counter& caller_disconnects;
  Counter& unmatched_events;
  Gauge& active;
  DurationSummary& time_to_first_byte;
  DurationSummary& total_duration;
};

/// \brief State that the requests of one flow share.
struct FlowContext {
  FlowContext(RequestFlowSettings flow_settings, RequestFlowDependencies flow_dependencies);

  /// \brief Runs a function on the event loop after a delay. Must be called on the event loop.
  void RunAfter(std::chrono::microseconds delay, std::function<void()> function);

  void Add(const std::shared_ptr<ActiveRequest>& request);
  void Remove(const std::shared_ptr<ActiveRequest>& request);

  /// \brief Returns the members that advertise these endpoints, in the given order.
  [[nodiscard]] std::vector<Candidate> FindEndpoints(std::span<const EndpointName> names) const;

  const RequestFlowSettings settings;
  const RequestFlowDependencies dependencies;
  FlowMetrics metrics;
  requests::RetryBudget budget;
  requests::CircuitBreakerTable breakers;
  std::atomic<std::size_t> active_count{0};
  /// Used on the event loop only.
  std::unordered_set<std::shared_ptr<ActiveRequest>> active;
  std::shared_ptr<TaskErrorLogger> task_error_logger;
  /// Null once the flow has ended; used on the event loop only.
  std::unique_ptr<kj::TaskSet> tasks;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_FLOW_CONTEXT_H_
