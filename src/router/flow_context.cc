#include "router/flow_context.h"

#include <algorithm>
#include <string>
#include <utility>

#include "router/active_request.h"
#include "rpc/log_events.h"

// Cap'n Proto classes are owned by kj::Own and never deleted through a base pointer.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace wagtailwind::router {

/// \brief Logs failures of the tasks on the event loop.
class TaskErrorLogger final : public kj::TaskSet::ErrorHandler {
 public:
  virtual ~TaskErrorLogger() = default;
  void taskFailed(kj::Exception&& exception) override {
    Log(rpc::kRpcTaskFailed, {{"error", exception.getDescription().cStr()}});
  }
};

FlowMetrics::FlowMetrics(MetricsRegistry& registry)
    : results(registry.GetCounter("requests_total{outcome=\"result\"}")),
      not_run(registry.GetCounter("requests_total{outcome=\"not-run\"}")),
      unknown(registry.GetCounter("requests_total{outcome=\"unknown\"}")),
      attempts(registry.GetCounter("attempts_total")),
      refusals(registry.GetCounter("attempts_refused_total")),
      retries(registry.GetCounter("attempts_retried_total")),
      lost(registry.GetCounter("attempts_lost_total")),
      caller_disconnects(registry.GetCounter("callers_gone_total")),
      unmatched_events(registry.GetCounter("attempt_events_unmatched_total")),
      active(registry.GetGauge("requests_active")),
      time_to_first_byte(registry.GetDuration("request_first_byte_seconds")),
      total_duration(registry.GetDuration("request_seconds")) {}

FlowContext::FlowContext(RequestFlowSettings flow_settings,
                         RequestFlowDependencies flow_dependencies)
    : settings(flow_settings),
      dependencies(flow_dependencies),
      metrics(flow_dependencies.metrics),
      budget(flow_settings.retry_budget),
      breakers(flow_settings.circuit_breaker),
      task_error_logger(std::make_shared<TaskErrorLogger>()) {
  dependencies.loop.Run([this] { tasks = std::make_unique<kj::TaskSet>(*task_error_logger); });
}

void FlowContext::RunAfter(std::chrono::microseconds delay, std::function<void()> function) {
  tasks->add(dependencies.loop.Timer()
                 .afterDelay(delay.count() * kj::MICROSECONDS)
                 .then([function = std::move(function)] { function(); }));
}

void FlowContext::Add(const std::shared_ptr<ActiveRequest>& request) { active.insert(request); }

void FlowContext::Remove(const std::shared_ptr<ActiveRequest>& request) {
  if (active.erase(request) > 0) {
    metrics.active.Set(static_cast<double>(--active_count));
  }
}

std::vector<Candidate> FlowContext::FindEndpoints(std::span<const EndpointName> names) const {
  std::vector<Candidate> candidates;
  if (names.empty()) {
    return candidates;
  }
  const gossip::MemberSnapshot snapshot = dependencies.members.Members();
  for (const EndpointName& name : names) {
    const auto found =
        std::find_if(snapshot->begin(), snapshot->end(), [&name](const gossip::Member& member) {
          return member.endpoint.has_value() && member.endpoint->endpoint == name;
        });
    if (found != snapshot->end()) {
      candidates.push_back({name, found->rpc_address, found->incarnation});
    }
  }
  return candidates;
}

}  // namespace wagtailwind::router
