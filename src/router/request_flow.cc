#include "router/request_flow.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "router/active_request.h"
#include "router/flow_context.h"
#include "router/response_headers.h"
#include "router/validated_request.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

// More candidates than one request may try, so that those with open circuit breakers can be
// skipped.
constexpr std::size_t kCandidateLimit = 16;

std::vector<Candidate> SelectCandidates(const RequestFlowDependencies& dependencies,
                                        const placement::PlacementRequest& request,
                                        std::size_t limit) {
  const gossip::MemberSnapshot members = dependencies.members.Members();
  std::vector<Candidate> candidates;
  for (const gossip::Member* member :
       dependencies.selector.Select(request, *members, dependencies.clock.Now(), limit)) {
    if (member->endpoint) {
      candidates.push_back({member->endpoint->endpoint, member->rpc_address, member->incarnation});
    }
  }
  return candidates;
}

void FindCandidates(const FlowContext& context, PreparedRequest& prepared) {
  const ValidatedRequest& request = prepared.request;
  if (request.resume) {
    const EndpointName endpoint = request.resume->endpoint;
    prepared.candidates = context.FindEndpoints({&endpoint, 1});
    return;
  }
  prepared.candidates = SelectCandidates(context.dependencies, request.placement, kCandidateLimit);
  if (request.placement.chat.empty()) {
    return;
  }
  placement::PlacementRequest without_hint = request.placement;
  without_hint.hint = EndpointName();
  std::vector<Candidate> home_agent = SelectCandidates(context.dependencies, without_hint, 1);
  if (!home_agent.empty()) {
    prepared.home_agent = std::move(home_agent.front());
  }
}

}  // namespace

struct RequestFlow::Context : FlowContext {
  using FlowContext::FlowContext;
};

/// \brief Validates a request and selects its candidates on a worker, then starts it on the event
/// loop.
class RequestFlow::Job {
 public:
  Job(std::shared_ptr<Context> context, http::Request request,
      std::shared_ptr<AnswerChannel> channel)
      : m_context(std::move(context)),
        m_request(std::move(request)),
        m_channel(std::move(channel)),
        m_received(m_context->dependencies.clock.Now()) {}

  void Run() {
    const RequestFlowDependencies& dependencies = m_context->dependencies;
    auto validated = ValidateRequest(m_request, *dependencies.configuration.Current(),
                                     dependencies.clock.WallNow());
    if (const auto* error = std::get_if<CallerError>(&validated)) {
      Reject(*error);
      return;
    }
    PreparedRequest prepared;
    prepared.received = m_received;
    prepared.request = std::move(std::get<ValidatedRequest>(validated));
    prepared.request.call.request_id = dependencies.random.NewRequestId();
    prepared.request.call.router_incarnation = m_context->settings.incarnation;
    FindCandidates(*m_context, prepared);
    if (prepared.request.resume && prepared.candidates.empty()) {
      Reject({FailureReason::kAnswerNotFound, Outcome::kUnknown, {}, {}});
      return;
    }
    auto active = std::make_shared<ActiveRequest>(m_context, std::move(prepared), m_channel);
    dependencies.loop.Post([context = m_context, active, channel = m_channel] {
      if (!context->tasks) {
        SendError({FailureReason::kNotReady, Outcome::kNotRun, {}, {}}, nullptr, *channel);
        return;
      }
      context->Add(active);
      active->Begin();
    });
  }

  void Reject(const CallerError& error) {
    Counter& counter =
        error.outcome == Outcome::kNotRun ? m_context->metrics.not_run : m_context->metrics.unknown;
    counter.Add();
    m_context->metrics.active.Set(static_cast<double>(--m_context->active_count));
    SendError(error, &m_context->dependencies.configuration, *m_channel);
  }

 private:
  std::shared_ptr<Context> m_context;
  http::Request m_request;
  std::shared_ptr<AnswerChannel> m_channel;
  SteadyTime m_received;
};

RequestFlow::RequestFlow(RequestFlowSettings settings, RequestFlowDependencies dependencies)
    : m_context(std::make_shared<Context>(settings, dependencies)) {}

RequestFlow::~RequestFlow() {
  EndAll(FailureReason::kShutdownTimeout);
  m_context->dependencies.loop.Run([this] { m_context->tasks.reset(); });
}

std::shared_ptr<AnswerChannel> RequestFlow::Start(http::Request request) {
  auto channel = std::make_shared<AnswerChannel>(m_context->settings.stream_buffer_bytes);
  m_context->metrics.active.Set(static_cast<double>(++m_context->active_count));
  const auto job = std::make_shared<Job>(m_context, std::move(request), channel);
  if (!m_context->dependencies.workers.Submit([job] { job->Run(); })) {
    job->Reject({FailureReason::kFleetFull, Outcome::kNotRun, std::chrono::seconds(1), {}});
  }
  return channel;
}

std::size_t RequestFlow::EndAll(FailureReason reason) {
  std::size_t count = 0;
  m_context->dependencies.loop.Run([this, reason, &count] {
    const auto requests = m_context->active;
    for (const std::shared_ptr<ActiveRequest>& request : requests) {
      request->Abort(reason);
    }
    count = requests.size();
  });
  return count;
}

std::size_t RequestFlow::Active() const { return m_context->active_count; }

std::string RequestFlow::DumpState() const {
  nlohmann::ordered_json state;
  state["active_requests"] = Active();
  state["retry_budget_tokens"] = m_context->budget.Tokens();
  std::size_t connections = 0;
  m_context->dependencies.loop.Run(
      [this, &connections] { connections = m_context->dependencies.agents.Connections(); });
  state["agent_connections"] = connections;
  state["circuit_breakers"] = nlohmann::ordered_json::object();
  for (const auto& [endpoint, breaker] : m_context->breakers.States()) {
    constexpr const char* kStateNames[] = {"closed", "open", "half_open"};
    state["circuit_breakers"][endpoint.value()] = kStateNames[static_cast<std::size_t>(breaker)];
  }
  return state.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace wagtailwind::router
