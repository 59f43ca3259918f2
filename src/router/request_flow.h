#ifndef WAGTAILWIND_ROUTER_REQUEST_FLOW_H_
#define WAGTAILWIND_ROUTER_REQUEST_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "core/worker_pool.h"
#include "gossip/member_view.h"
#include "http/message.h"
#include "placement/candidate_selector.h"
#include "records/configuration_view.h"
#include "requests/circuit_breaker.h"
#include "requests/retry_budget.h"
#include "router/answer_channel.h"
#include "rpc/agent_client.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::router {

/// \brief Settings of the request flow.
struct RequestFlowSettings {
  /// This router's incarnation.
  Incarnation incarnation = 0;
  /// An agent must wait while more than this many bytes of its stream are unread.
  std::size_t stream_buffer_bytes = 256U << 10U;
  /// Maximum size of a non-streamed answer, which is buffered until it is complete.
  std::size_t max_answer_bytes = 4U << 20U;
  requests::RetryBudgetSettings retry_budget;
  requests::CircuitBreakerSettings circuit_breaker;
};

/// \brief Dependencies of the request flow, which must all outlive it.
struct RequestFlowDependencies {
  rpc::EventLoopThread& loop;
  rpc::AgentClient& agents;
  WorkerPool& workers;
  const records::ConfigurationView& configuration;
  const gossip::MemberView& members;
  const placement::CandidateSelector& selector;
  const Clock& clock;
  RandomSource& random;
  MetricsRegistry& metrics;
};

/// \brief Forwards requests of callers to agents and returns the answers. Validation and placement
/// run on the workers. Everything after that runs on the event loop, so that the events of one
/// request are ordered. Safe to use from several threads.
class RequestFlow {
 public:
  RequestFlow(RequestFlowSettings settings, RequestFlowDependencies dependencies);

  /// \brief Ends all requests. Must not be called on the event loop. The workers must either still
  /// run or have no job of this flow left.
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  /// \brief Starts a request and returns the channel that carries its answer or a typed error.
  [[nodiscard]] std::shared_ptr<AnswerChannel> Start(http::Request request);

  /// \brief Ends all requests with `reason` and returns their number. Must not be called on the
  /// event loop.
  std::size_t EndAll(requests::FailureReason reason);

  /// \brief Returns the number of requests in progress.
  [[nodiscard]] std::size_t Active() const;

  /// \brief Returns the state as JSON text. Must not be called on the event loop.
  [[nodiscard]] std::string DumpState() const;

 private:
  struct Context;
  class Job;
  std::shared_ptr<Context> m_context;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_REQUEST_FLOW_H_
