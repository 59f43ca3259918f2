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

/// \brief Bounds of the request flow.
struct RequestFlowSettings {
  /// This router's incarnation.
  Incarnation incarnation = 0;
  /// Unread bytes of one stream that hold its agent back.
  std::size_t stream_buffer_bytes = 256U << 10U;
  /// A non-streamed answer is collected up to this size.
  std::size_t max_answer_bytes = 4U << 20U;
  requests::RetryBudgetSettings retry_budget;
  requests::CircuitBreakerSettings circuit_breaker;
};

/// \brief What the request flow works with; all of it outlives the flow.
struct RequestFlowParts {
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

/// \brief Takes callers' requests to agents and their answers back. Checks and placement run on
/// the workers; everything after that runs on the event loop, so that the events of one request
/// have one order. Safe to use from several threads.
class RequestFlow {
 public:
  RequestFlow(RequestFlowSettings settings, RequestFlowParts parts);

  /// \brief Ends all requests. Not to be called on the event loop; the workers have no job of the
  /// flow any more, or still run.
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  /// \brief Starts a request. The channel carries the answer, or a typed error.
  [[nodiscard]] std::shared_ptr<AnswerChannel> Start(http::Request request);

  /// \brief Ends all requests with a reason; their number. Not to be called on the event loop.
  std::size_t EndAll(requests::FailureReason reason);

  /// \brief Requests in progress.
  [[nodiscard]] std::size_t Active() const;

  /// \brief State as JSON text. Not to be called on the event loop.
  [[nodiscard]] std::string DumpState() const;

 private:
  struct Context;
  class Job;
  std::shared_ptr<Context> m_context;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_REQUEST_FLOW_H_
