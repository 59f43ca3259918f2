#include "agent/service_execution.h"

#include <algorithm>
#include <utility>

#include "agent/log_events.h"
#include "core/mutant.h"

namespace wagtailwind::agent {

namespace {

using endpoint::TransferEnd;
using requests::FailureReason;
using requests::Outcome;

constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr const char* kRequestKeyHeader = "Wagtailwind-Request-Key";

AnswerEnd Failed(Outcome outcome, FailureReason reason) { return {false, outcome, reason}; }

}  // namespace

ServiceExecution::ServiceExecution(std::shared_ptr<FlowCore> core, AgentCall call,
                                   std::optional<requests::RequestKey> key,
                                   std::shared_ptr<StoredAnswer> answer)
    : m_core(std::move(core)),
      m_call(std::move(call)),
      m_key(std::move(key)),
      m_answer(std::move(answer)),
      m_deadline(m_core->parts.clock.Now() + m_call.deadline),
      m_claim_id(m_core->parts.random.NewRequestId()) {}

void ServiceExecution::Start(std::uint64_t reservation) {
  m_number = m_core->Add(shared_from_this(), reservation);
  if (!m_key) {
    OnClaim(requests::ClaimResult::kClaimed);
    return;
  }
  m_core->parts.claims->Claim(
      m_call.organisation, *m_key, m_claim_id,
      [self = shared_from_this()](requests::ClaimResult result) { self->OnClaim(result); });
}

void ServiceExecution::OnClaim(requests::ClaimResult result) {
  if (result == requests::ClaimResult::kUnavailable) {
    Refuse(FailureReason::kPlatformUnavailable, Outcome::kNotRun);
    return;
  }
  if (result == requests::ClaimResult::kTaken) {
    Refuse(FailureReason::kRequestKeyAlreadyUsed, Outcome::kUnknown);
    return;
  }
  const FailureReason stop_reason = BeginSending();
  if (stop_reason != FailureReason::kNone) {
    AbandonClaim();
    Refuse(stop_reason, Outcome::kNotRun);
    return;
  }
  Admit();
  Send();
}

FailureReason ServiceExecution::BeginSending() {
  const absl::MutexLock lock(&m_mutex);
  if (m_stop_reason == FailureReason::kNone && m_core->parts.clock.Now() >= m_deadline) {
    m_stop_reason = FailureReason::kDeadlineExceeded;
  }
  if (m_stop_reason == FailureReason::kNone) {
    // From here on the call counts as sent. Its outcome can only become kNotRun if the transfer
    // shows that no connection was made.
    m_phase = Phase::kSending;
  }
  return m_stop_reason;
}

void ServiceExecution::AbandonClaim() {
  if (m_key) {
    Log(kClaimAbandoned, {{"request", ToHex(m_call.id.request)}});
    m_core->parts.claims->Abandon(m_call.organisation, *m_key, m_claim_id);
  }
}

void ServiceExecution::Admit() {
  Admission admission;
  admission.answer = m_answer;
  admission.execution = shared_from_this();
  m_core->attempts.Decide(m_call.id, admission);
}

void ServiceExecution::Refuse(FailureReason reason, Outcome outcome) {
  Finish(Failed(outcome, reason));
  Admission admission;
  admission.refusal.reason = reason;
  admission.refusal.outcome = outcome;
  admission.refusal.retry_after =
      reason == FailureReason::kPlatformUnavailable ? kRetryAfter : std::chrono::milliseconds(0);
  m_core->attempts.Decide(m_call.id, admission);
}

void ServiceExecution::Send() {
  endpoint::ServiceCall call;
  call.method = Call().method;
  call.path = Call().path;
  call.body = Call().body;
  call.repeatable = Call().repeatable;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_core->parts.clock.Now());
  call.timeout = std::max(remaining, std::chrono::milliseconds(1));
  for (const http::Header& header : Call().headers) {
    if (http::FindHeader({header}, kRequestKeyHeader).empty()) {
      call.headers.push_back(header);
    }
  }
  if (!m_call.request_key.empty()) {
    call.headers.push_back({kRequestKeyHeader, m_key ? m_key->text : m_call.request_key});
  }
  m_core->parts.service->Send(std::move(call),
                              [self = shared_from_this()](endpoint::ServiceAnswer answer) {
                                self->OnAnswer(std::move(answer));
                              });
  FailureReason abort_reason = FailureReason::kNone;
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_phase != Phase::kSending) {
      return;
    }
    m_phase = Phase::kSent;
    abort_reason = m_stop_reason;
  }
  if (abort_reason != FailureReason::kNone) {
    Abort(abort_reason);
  }
}

void ServiceExecution::OnAnswer(endpoint::ServiceAnswer answer) {
  if (answer.end == TransferEnd::kConnectionLost &&
      IsMutantEnabled("agent_sends_lost_call_again")) {
    Send();
    return;
  }
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_phase == Phase::kFinishing) {
      return;
    }
    m_phase = Phase::kFinishing;
  }
  Finish(StoreAnswer(std::move(answer)));
}

AnswerEnd ServiceExecution::StoreAnswer(endpoint::ServiceAnswer answer) {
  if (answer.end != TransferEnd::kNotSent) {
    m_core->service_health.OnConnected();
  } else if (answer.is_sendable) {
    m_core->service_health.OnConnectFailure();
  }
  switch (answer.end) {
    case TransferEnd::kComplete:
      m_answer->SetHead({answer.status, std::move(answer.headers), 0});
      if (!m_core->answers.Append(*m_answer, answer.body)) {
        return Failed(Outcome::kUnknown, FailureReason::kAnswerTooLarge);
      }
      return {true, Outcome::kResult, FailureReason::kNone};
    case TransferEnd::kNotSent:
      AbandonClaim();
      return Failed(Outcome::kNotRun, FailureReason::kEndpointUnhealthy);
    case TransferEnd::kDeadlineExceeded:
      return Failed(Outcome::kUnknown, FailureReason::kDeadlineExceeded);
    case TransferEnd::kAnswerTooLarge:
      return Failed(Outcome::kUnknown, FailureReason::kAnswerTooLarge);
    case TransferEnd::kCancelled:
    case TransferEnd::kConnectionLost:
    case TransferEnd::kMalformedAnswer:
      break;
  }
  return Failed(Outcome::kUnknown, FailureReason::kConnectionLost);
}

void ServiceExecution::Cancel() {
  const absl::MutexLock lock(&m_mutex);
  if (m_phase == Phase::kClaiming) {
    m_stop_reason = FailureReason::kCancelled;
  }
}

void ServiceExecution::CancelIfUnread(std::chrono::milliseconds /*max_unread*/) {
  // The result is kept for a caller that retries with the same key.
}

void ServiceExecution::Abort(FailureReason reason) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_phase == Phase::kClaiming || m_phase == Phase::kSending) {
      // OnClaim() refuses the attempt and abandons its claim, or Send() aborts after sending.
      m_stop_reason = reason;
      return;
    }
    if (m_phase == Phase::kFinishing) {
      return;
    }
    m_phase = Phase::kFinishing;
  }
  Finish(Failed(Outcome::kUnknown, reason));
}

void ServiceExecution::Finish(AnswerEnd end) {
  if (end.outcome == Outcome::kUnknown) {
    Log(kCallOutcomeUnknown,
        {{"request", ToHex(m_call.id.request)}, {"reason", requests::ToText(end.reason)}});
  }
  m_core->Finish(m_number, *m_answer, end);
}

}  // namespace wagtailwind::agent
