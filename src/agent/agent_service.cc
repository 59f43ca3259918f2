#include "agent/agent_service.h"

#include <map>
#include <string>
#include <utility>

#include "agent/call_reader.h"

namespace wagtailwind::agent {

namespace {

class CallHandle final : public rpc::schema::CallHandle::Server {
 public:
  CallHandle(std::shared_ptr<Execution> execution, std::shared_ptr<DeliveryTable> deliveries,
             std::uint64_t delivery)
      : m_execution(std::move(execution)),
        m_deliveries(std::move(deliveries)),
        m_delivery(delivery) {}
  virtual ~CallHandle() = default;

 protected:
  kj::Promise<void> cancel(CancelContext /*context*/) override {
    m_deliveries->Stop(m_delivery);
    if (m_execution) {
      m_execution->Cancel();
    }
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<Execution> m_execution;
  std::shared_ptr<DeliveryTable> m_deliveries;
  std::uint64_t m_delivery;
};

std::string ToString(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

}  // namespace

/// Promises of attempts that have not been decided yet, by number.
struct AgentService::PendingDecisions {
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Admission>>> fulfillers;
  std::uint64_t next_number = 1;

  void Fulfill(std::uint64_t number, const Admission& admission) {
    const auto found = fulfillers.find(number);
    if (found != fulfillers.end()) {
      found->second->fulfill(Admission(admission));
      fulfillers.erase(found);
    }
  }
};

AgentService::AgentService(rpc::EventLoopThread& loop, ExecutionFlow& flow,
                           std::shared_ptr<DeliveryTable> deliveries)
    : m_loop(loop),
      m_flow(flow),
      m_deliveries(std::move(deliveries)),
      m_pending_decisions(std::make_shared<PendingDecisions>()) {}

kj::Promise<Admission> AgentService::RequestAdmission(AgentCall call) {
  auto decision = kj::newPromiseAndFulfiller<Admission>();
  const std::uint64_t number = m_pending_decisions->next_number++;
  m_pending_decisions->fulfillers[number] = kj::mv(decision.fulfiller);
  const std::weak_ptr<PendingDecisions> weak = m_pending_decisions;
  const AttemptId id = call.id;
  m_flow.Execute(std::move(call), [weak, &loop = m_loop, number](const Admission& admission) {
    loop.Post([weak, number, admission] {
      if (const std::shared_ptr<PendingDecisions> pending = weak.lock()) {
        pending->Fulfill(number, admission);
      }
    });
  });
  // A call that the router drops before the decision must not be sent.
  auto cancel_if_dropped = kj::defer([weak, &flow = m_flow, id, number] {
    const std::shared_ptr<PendingDecisions> pending = weak.lock();
    if (pending && pending->fulfillers.erase(number) > 0) {
      flow.CancelUndecided(id);
    }
  });
  return decision.promise.attach(kj::mv(cancel_if_dropped));
}

kj::Promise<void> AgentService::execute(ExecuteContext context) {
  const auto parameters = context.getParams();
  std::optional<AgentCall> call = ReadCall(parameters.getCall());
  if (!call) {
    auto refused = context.getResults().initAdmission().initRefused();
    refused.setReason(static_cast<std::uint8_t>(requests::FailureReason::kMalformedRequest));
    refused.setOutcome(rpc::schema::Outcome::NOT_RUN);
    return kj::READY_NOW;
  }
  const AttemptId id = call->id;
  auto sink = parameters.getSink();
  context.releaseParams();
  // Lets the router drop the call while its decision is pending.
  context.allowCancellation();
  return RequestAdmission(std::move(*call))
      .then([this, id, context, sink = kj::mv(sink)](const Admission& admission) mutable {
        auto results = context.getResults();
        WriteAdmission(id, m_flow.AgentIncarnation(), admission, results.initAdmission());
        if (admission.answer) {
          const std::uint64_t delivery = m_deliveries->Start(admission.answer, id, 0, kj::mv(sink));
          results.setHandle(kj::heap<CallHandle>(admission.execution, m_deliveries, delivery));
        }
      });
}

kj::Promise<void> AgentService::resume(ResumeContext context) {
  const auto parameters = context.getParams();
  const std::shared_ptr<StoredAnswer> answer = m_flow.FindAnswer(
      ToString(parameters.getAnswerId()), OrganisationName(ToString(parameters.getOrganisation())));
  const std::uint64_t offset = parameters.getOffset();
  auto results = context.getResults();
  // An offset beyond the stored bytes is invalid: no reader can have received more.
  const bool found = answer && offset <= answer->Size();
  results.setFound(found);
  if (found) {
    const std::uint64_t delivery =
        m_deliveries->Start(answer, AttemptId{}, offset, parameters.getSink());
    // Several callers may resume the same answer, so a disconnect of one only ends its own
    // delivery.
    results.setHandle(kj::heap<CallHandle>(nullptr, m_deliveries, delivery));
  }
  return kj::READY_NOW;
}

kj::Promise<void> AgentService::chatMoved(ChatMovedContext context) {
  const auto moved = context.getParams().getMoved();
  m_flow.ChatMoved(OrganisationName(ToString(moved.getOrganisation())),
                   ChatId(ToString(moved.getChat())), EndpointName(ToString(moved.getEndpoint())));
  return kj::READY_NOW;
}

}  // namespace wagtailwind::agent
