#include "rpc/active_attempt.h"

#include <algorithm>
#include <utility>

#include "rpc/call_codec.h"
#include "rpc/log_events.h"

// Cap'n Proto classes have no virtual destructor. kj::Own owns the objects and never deletes them
// through a base pointer.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace wagtailwind::rpc {

using requests::FailureReason;

namespace {

/// \brief Capability that receives the answer from the agent.
class SinkServer final : public schema::AnswerSink::Server {
 public:
  explicit SinkServer(std::shared_ptr<ActiveAttempt> attempt) : m_attempt(std::move(attempt)) {}
  virtual ~SinkServer() noexcept(false) { m_attempt->HandleSinkReleased(); }
  KJ_DISALLOW_COPY(SinkServer);

  kj::Promise<void> head(HeadContext context) override {
    return m_attempt->WhenAdmitted().then([this, context]() mutable {
      const auto params = context.getParams();
      m_attempt->HandleHead(params.getRequestId(), params.getAttempt(), params.getHead());
    });
  }

  kj::Promise<void> chunk(ChunkContext context) override {
    return m_attempt->WhenAdmitted().then([this, context]() mutable {
      const auto params = context.getParams();
      return m_attempt->HandleChunk(params.getOffset(), params.getData());
    });
  }

  kj::Promise<void> end(EndContext context) override {
    return m_attempt->WhenAdmitted().then(
        [this, context]() mutable { m_attempt->HandleEnd(context.getParams().getEnd()); });
  }

 private:
  std::shared_ptr<ActiveAttempt> m_attempt;
};

}  // namespace

ActiveAttempt::ActiveAttempt(AttemptContext& context, Incarnation agent_incarnation,
                             std::variant<AttemptCall, ResumeCall> call,
                             std::shared_ptr<AttemptListener> listener)
    : m_context(context),
      m_agent_incarnation(agent_incarnation),
      m_call(std::move(call)),
      m_listener(std::move(listener)),
      m_admitted(nullptr) {
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  m_admitted_fulfiller = kj::mv(pair.fulfiller);
  m_admitted = pair.promise.fork();
}

ActiveAttempt::~ActiveAttempt() noexcept = default;

kj::Promise<void> ActiveAttempt::WhenAdmitted() { return m_admitted.addBranch(); }

std::shared_ptr<AttemptListener> ActiveAttempt::End() {
  m_phase = Phase::kEnded;
  m_handle = nullptr;
  // End() may run in the handler of a message from the connection, where the connection must not be
  // destroyed.
  if (m_connection) {
    m_context.tasks.add(kj::evalLater([kept = std::move(m_connection)] {}));
  }
  // Resumes the sink messages that still wait for the admission; their handlers drop them.
  m_admitted_fulfiller->fulfill();
  return std::move(m_listener);
}

void ActiveAttempt::Cancel() {
  if (m_phase == Phase::kEnded) {
    return;
  }
  KJ_IF_MAYBE (handle, m_handle) {
    m_context.tasks.add(handle->cancelRequest().send().ignoreResult());
  }
  const std::shared_ptr<AttemptListener> released = End();
}

void ActiveAttempt::FailBeforeHandOver() {
  if (m_phase == Phase::kConnecting) {
    End()->OnNotHandedOver();
  }
}

void ActiveAttempt::Send(const std::shared_ptr<AgentConnection>& connection) {
  if (m_phase != Phase::kConnecting) {
    return;
  }
  m_phase = Phase::kHandedOver;
  m_connection = connection;
  m_listener->OnHandedOver();
  if (const auto* call = std::get_if<AttemptCall>(&m_call)) {
    SendExecute(connection, *call);
  } else {
    SendResume(connection, std::get<ResumeCall>(m_call));
  }
  StartAdmissionTimer();
}

void ActiveAttempt::SendExecute(const std::shared_ptr<AgentConnection>& connection,
                                const AttemptCall& call) {
  auto request = connection->Agent().executeRequest();
  WriteCall(call, m_agent_incarnation, request.initCall());
  request.setSink(kj::heap<SinkServer>(shared_from_this()));
  auto reply = request.send();
  m_handle = reply.getHandle();
  const std::shared_ptr<ActiveAttempt> self = shared_from_this();
  m_context.tasks.add(
      reply.then([self](auto&& response) { self->HandleAdmission(response.getAdmission()); },
                 [self](kj::Exception&&) { self->ReportLost(FailureReason::kConnectionLost); }));
}

void ActiveAttempt::SendResume(const std::shared_ptr<AgentConnection>& connection,
                               const ResumeCall& call) {
  m_next_offset = call.offset;
  auto request = connection->Agent().resumeRequest();
  request.setAnswerId(call.answer_id);
  request.setOrganisation(call.organisation.value());
  request.setOffset(call.offset);
  request.setSink(kj::heap<SinkServer>(shared_from_this()));
  auto reply = request.send();
  m_handle = reply.getHandle();
  const std::shared_ptr<ActiveAttempt> self = shared_from_this();
  m_context.tasks.add(
      reply.then([self](auto&& response) { self->HandleResumed(response.getFound()); },
                 [self](kj::Exception&&) { self->ReportLost(FailureReason::kConnectionLost); }));
}

void ActiveAttempt::StartAdmissionTimer() {
  const std::weak_ptr<ActiveAttempt> weak = shared_from_this();
  m_context.tasks.add(
      m_context.timer.afterDelay(m_context.admission_timeout.count() * kj::MILLISECONDS)
          .then([weak] {
            const std::shared_ptr<ActiveAttempt> self = weak.lock();
            if (self != nullptr && self->m_phase == Phase::kHandedOver) {
              KJ_IF_MAYBE (handle, self->m_handle) {
                self->m_context.tasks.add(handle->cancelRequest().send().ignoreResult());
              }
              self->ReportLost(FailureReason::kAgentLost);
            }
          }));
}

bool ActiveAttempt::IsMatch(kj::ArrayPtr<const kj::byte> request_id, std::uint32_t attempt) const {
  const auto* call = std::get_if<AttemptCall>(&m_call);
  // A resumed answer belongs to an earlier request, whose id is not known here.
  if (call == nullptr) {
    return true;
  }
  return attempt == call->attempt && std::equal(request_id.begin(), request_id.end(),
                                                call->request_id.begin(), call->request_id.end());
}

void ActiveAttempt::HandleAdmission(schema::Admission::Reader admission) {
  if (m_phase != Phase::kHandedOver) {
    if (m_phase != Phase::kEnded) {
      CountDroppedReply("admission");
    }
    return;
  }
  if (!IsMatch(admission.getRequestId(), admission.getAttempt())) {
    CountDroppedReply("admission");
    ReportLost(FailureReason::kAgentLost);
    return;
  }
  // A refusal is valid even from another incarnation than the addressed one, because it comes from
  // the process that received the attempt.
  if (admission.isRefused()) {
    End()->OnRefused(ReadRefusal(admission.getRefused()));
    return;
  }
  if (admission.getAgentIncarnation() != m_agent_incarnation) {
    CountDroppedReply("admission");
    ReportLost(FailureReason::kAgentLost);
    return;
  }
  const auto answer_id = admission.getAdmitted();
  Admit({answer_id.cStr(), answer_id.size()});
}

void ActiveAttempt::HandleResumed(bool found) {
  if (m_phase != Phase::kHandedOver) {
    return;
  }
  if (!found) {
    AttemptRefusal refusal;
    refusal.outcome = requests::Outcome::kUnknown;
    refusal.reason = FailureReason::kAnswerNotFound;
    End()->OnRefused(refusal);
    return;
  }
  Admit(std::get<ResumeCall>(m_call).answer_id);
}

void ActiveAttempt::Admit(std::string_view answer_id) {
  m_phase = Phase::kAdmitted;
  const std::shared_ptr<AttemptListener> listener = m_listener;
  listener->OnAdmitted(answer_id);
  if (m_phase != Phase::kAdmitted) {
    return;
  }
  m_admitted_fulfiller->fulfill();
  if (m_sink_released) {
    ReportLost(FailureReason::kAgentLost);
  }
}

void ActiveAttempt::HandleHead(kj::ArrayPtr<const kj::byte> request_id, std::uint32_t attempt,
                               schema::AnswerHead::Reader head) {
  if (m_phase != Phase::kAdmitted || !IsMatch(request_id, attempt)) {
    CountDroppedReply("head");
    return;
  }
  m_phase = Phase::kAnswering;
  const std::shared_ptr<AttemptListener> listener = m_listener;
  listener->OnHead(ReadHead(head));
}

kj::Promise<void> ActiveAttempt::HandleChunk(std::uint64_t offset,
                                             kj::ArrayPtr<const kj::byte> data) {
  const bool is_resumed_without_head =
      m_phase == Phase::kAdmitted && std::holds_alternative<ResumeCall>(m_call);
  if (is_resumed_without_head) {
    m_phase = Phase::kAnswering;
  }
  const bool is_duplicate = offset < m_next_offset && data.size() <= m_next_offset - offset;
  if (m_phase == Phase::kEnded || (m_phase == Phase::kAnswering && is_duplicate)) {
    CountDroppedReply("chunk");
    return kj::READY_NOW;
  }
  if (m_phase != Phase::kAnswering || offset != m_next_offset) {
    FailOnProtocolError("chunk out of order");
    return kj::READY_NOW;
  }
  m_next_offset += data.size();
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  // std::function requires a copyable closure.
  const auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
  const std::shared_ptr<AttemptListener> listener = m_listener;
  listener->OnChunk({reinterpret_cast<const char*>(data.begin()), data.size()},
                    [fulfiller] { (*fulfiller)->fulfill(); });
  return kj::mv(pair.promise);
}

void ActiveAttempt::HandleEnd(schema::AnswerEnd::Reader end) {
  if (m_phase != Phase::kAdmitted && m_phase != Phase::kAnswering) {
    CountDroppedReply("end");
    return;
  }
  const AnswerEnd answer_end = ReadEnd(end);
  if (answer_end.complete && end.getTotalBytes() != m_next_offset) {
    FailOnProtocolError("answer length differs from the announced total");
    return;
  }
  End()->OnEnd(answer_end);
}

void ActiveAttempt::HandleSinkReleased() {
  m_sink_released = true;
  if (m_phase != Phase::kAdmitted && m_phase != Phase::kAnswering) {
    return;
  }
  // The RPC system releases the sink; no new call may start inside this callback.
  m_context.tasks.add(
      kj::evalLater([self = shared_from_this()] { self->ReportLost(FailureReason::kAgentLost); }));
}

void ActiveAttempt::CountDroppedReply(std::string_view message) {
  m_context.dropped_replies.Add();
  Log(kReplyDropped, {{"message", message}});
}

void ActiveAttempt::ReportLost(FailureReason reason) {
  if (m_phase != Phase::kEnded) {
    End()->OnLost(reason);
  }
}

void ActiveAttempt::FailOnProtocolError(std::string_view error) {
  Log(kAgentProtocolError, {{"error", error}});
  KJ_IF_MAYBE (handle, m_handle) {
    m_context.tasks.add(handle->cancelRequest().send().ignoreResult());
  }
  ReportLost(FailureReason::kAgentLost);
}

}  // namespace wagtailwind::rpc
