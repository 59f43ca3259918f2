#include "router/active_request.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "requests/backoff.h"
#include "router/log_events.h"
#include "router/response_headers.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

ActiveRequest::ActiveRequest(std::shared_ptr<FlowContext> context, PreparedRequest prepared,
                             std::shared_ptr<AnswerChannel> channel)
    : m_context(std::move(context)),
      m_prepared(std::move(prepared)),
      m_channel(std::move(channel)),
      m_decision({.repeatable = m_prepared.request.repeatable}, std::move(m_prepared.candidates),
                 m_context->budget) {}

void ActiveRequest::Begin() {
  const std::weak_ptr<ActiveRequest> weak = weak_from_this();
  m_context->RunAfter(std::max(Remaining(), std::chrono::milliseconds(0)), [weak] {
    if (const std::shared_ptr<ActiveRequest> self = weak.lock()) {
      self->Abort(FailureReason::kDeadlineExceeded);
    }
  });
  rpc::EventLoopThread& loop = m_context->dependencies.loop;
  m_channel->SetOnAbandoned([weak, &loop] {
    loop.Post([weak] {
      if (const std::shared_ptr<ActiveRequest> self = weak.lock()) {
        self->Abort(FailureReason::kCancelled);
      }
    });
  });
  Apply(m_decision.Begin());
}

void ActiveRequest::Abort(FailureReason reason) {
  if (m_done) {
    return;
  }
  if (reason == FailureReason::kCancelled) {
    m_context->metrics.caller_disconnects.Add();
    Log(kCallerDisconnected, {{"request", ToHex(m_prepared.request.call.request_id)}});
  }
  Apply(m_decision.OnAbort(reason));
}

std::chrono::milliseconds ActiveRequest::Remaining() const {
  const auto elapsed = m_context->dependencies.clock.Now() - m_prepared.received;
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_prepared.request.deadline -
                                                               elapsed);
}

void ActiveRequest::Apply(const Step& step) {
  switch (step.kind) {
    case Step::Kind::kContinue:
      return;
    case Step::Kind::kFinish:
      Finish(step);
      return;
    case Step::Kind::kAttempt:
      break;
  }
  if (step.backoff == 0) {
    StartAttempt(step);
    return;
  }
  m_context->metrics.retries.Add();
  const std::weak_ptr<ActiveRequest> weak = weak_from_this();
  m_context->RunAfter(requests::BackoffDelay(step.backoff - 1, m_context->dependencies.random),
                      [weak, step] {
                        const std::shared_ptr<ActiveRequest> self = weak.lock();
                        if (self != nullptr && !self->m_done) {
                          self->StartAttempt(step);
                        }
                      });
}

rpc::AttemptCall ActiveRequest::MakeCall(const Step& step) const {
  rpc::AttemptCall call = m_prepared.request.call;
  call.attempt = step.attempt;
  call.deadline = std::max(Remaining(), std::chrono::milliseconds(1));
  if (auto* chat = std::get_if<rpc::ChatCall>(&call.call)) {
    chat->last_resort = step.last_resort;
  }
  return call;
}

void ActiveRequest::StartAttempt(const Step& step) {
  const SteadyTime now = m_context->dependencies.clock.Now();
  if (!m_context->breakers.TryAcquire(step.candidate.endpoint, now)) {
    Apply(m_decision.OnBreakerOpen(step.attempt));
    return;
  }
  m_breaker_pending = true;
  m_context->metrics.attempts.Add();
  m_attempt_number = step.attempt;
  m_candidate = step.candidate;
  m_answer_id.clear();
  m_head.reset();
  m_event_ids.reset();
  m_body.clear();
  const rpc::AgentAddress address{m_candidate.address, m_candidate.incarnation};
  rpc::AgentClient& agents = m_context->dependencies.agents;
  const std::optional<ResumePoint>& resume = m_prepared.request.resume;
  if (resume) {
    m_attempt = agents.Resume(
        address, {resume->answer_id, m_prepared.request.call.organisation, resume->offset},
        shared_from_this());
  } else {
    m_attempt = agents.Execute(address, MakeCall(step), shared_from_this());
  }
}

void ActiveRequest::ReportToBreaker(BreakerResult result) {
  if (!std::exchange(m_breaker_pending, false)) {
    return;
  }
  switch (result) {
    case BreakerResult::kSuccess:
      m_context->breakers.OnSuccess(m_candidate.endpoint);
      break;
    case BreakerResult::kFailure:
      m_context->breakers.OnFailure(m_candidate.endpoint, m_context->dependencies.clock.Now());
      break;
    case BreakerResult::kNeutral:
      m_context->breakers.OnInconclusive(m_candidate.endpoint);
      break;
  }
}

void ActiveRequest::OnHandedOver() { m_decision.OnHandedOver(m_attempt_number); }

void ActiveRequest::OnNotHandedOver() {
  ReportToBreaker(BreakerResult::kFailure);
  Apply(m_decision.OnNotHandedOver(m_attempt_number));
}

void ActiveRequest::OnAdmitted(std::string_view answer_id) {
  m_answer_id = answer_id;
  m_decision.OnAdmitted(m_attempt_number);
}

void ActiveRequest::OnRefused(const rpc::AttemptRefusal& refusal) {
  m_context->metrics.refusals.Add();
  ReportToBreaker(BreakerResult::kNeutral);
  RefusalEvent event;
  event.outcome = refusal.outcome;
  event.reason = refusal.reason;
  event.retry_after = refusal.retry_after;
  event.redirects = m_context->FindEndpoints(refusal.redirects);
  Apply(m_decision.OnRefused(m_attempt_number, event));
}

void ActiveRequest::OnHead(const rpc::AnswerHead& head) {
  m_head = head;
  m_decision.OnHead(m_attempt_number);
  if (IsEventStream()) {
    const std::optional<ResumePoint>& resume = m_prepared.request.resume;
    m_event_ids.emplace(m_answer_id, resume ? resume->offset : 0);
  }
}

bool ActiveRequest::IsEventStream() const {
  const std::string_view type = http::FindHeader(m_head->headers, "Content-Type");
  return absl::StartsWithIgnoreCase({type.data(), type.size()}, "text/event-stream");
}

void ActiveRequest::OnChunk(std::string_view data, std::function<void()> consumed) {
  if (!m_head) {
    // Only resumed answers have no head, and only streams can be resumed.
    OnHead({200, {{"Content-Type", "text/event-stream"}}, 0});
  }
  if (!m_event_ids) {
    if (m_body.size() + data.size() > m_context->settings.max_answer_bytes) {
      Abort(FailureReason::kAnswerTooLarge);
      return;
    }
    m_body.append(data);
    consumed();
    return;
  }
  const std::string events = m_event_ids->Push(data);
  if (events.empty()) {
    consumed();
    return;
  }
  SendStreamHead();
  m_channel->Append(events);
  if (m_channel->IsWritable()) {
    // Called directly, because posting it to the loop would cost two system calls for each token.
    consumed();
    return;
  }
  // The callback runs on the reader's HTTP thread, but flow control must run on the event loop.
  rpc::EventLoopThread& loop = m_context->dependencies.loop;
  m_channel->WhenWritable(
      [&loop, consumed = std::move(consumed)]() mutable { loop.Post(std::move(consumed)); });
}

void ActiveRequest::SendStreamHead() {
  if (m_head_sent) {
    return;
  }
  m_head_sent = true;
  m_decision.OnBytesToCaller();
  m_context->metrics.time_to_first_byte.Record(m_context->dependencies.clock.Now() -
                                               m_prepared.received);
  m_channel->SetHead(MakeHead(true));
}

ResponseHead ActiveRequest::MakeHead(bool streamed) const {
  ResponseHead head;
  // Informational and invalid status codes can't be final.
  const bool is_final = m_head->status >= 200 && m_head->status <= 599;
  head.status = is_final ? m_head->status : 502;
  head.headers = EndToEndHeaders(m_head->headers);
  head.headers.push_back({"Wagtailwind-Outcome", "result"});
  head.headers.push_back({"Wagtailwind-Answer", m_answer_id});
  head.headers.push_back({"Wagtailwind-Served-By", m_candidate.endpoint.value()});
  head.headers.push_back({"Wagtailwind-Cached-Tokens", std::to_string(m_head->cached_tokens)});
  head.headers.push_back(
      {"Wagtailwind-Placement-Hint", PlacementHint(m_candidate.endpoint, m_candidate.incarnation)});
  AddConfigurationAge(m_context->dependencies.configuration, head.headers);
  head.streamed = streamed;
  return head;
}

void ActiveRequest::OnEnd(const rpc::AnswerEnd& end) {
  if (end.complete) {
    if (!m_head && m_prepared.request.resume) {
      OnHead({200, {{"Content-Type", "text/event-stream"}}, 0});
    }
    ReportToBreaker(BreakerResult::kSuccess);
    Apply(m_decision.OnComplete(m_attempt_number));
    return;
  }
  ReportToBreaker(BreakerResult::kFailure);
  Apply(m_decision.OnIncomplete(m_attempt_number, end.outcome, end.reason));
}

void ActiveRequest::OnLost(FailureReason reason) {
  m_context->metrics.lost.Add();
  Log(kAttemptLost, {{"request", ToHex(m_prepared.request.call.request_id)},
                     {"attempt", m_attempt_number},
                     {"endpoint", m_candidate.endpoint.value()},
                     {"reason", requests::ToText(reason)}});
  ReportToBreaker(BreakerResult::kFailure);
  Apply(m_decision.OnLost(m_attempt_number, reason));
}

void ActiveRequest::Finish(const Step& step) {
  const std::shared_ptr<ActiveRequest> self = shared_from_this();
  m_done = true;
  if (m_attempt) {
    m_attempt->Cancel();
    m_attempt.reset();
  }
  // A cancelled attempt, such as the probe of a half-open breaker, reports no result of its own.
  ReportToBreaker(BreakerResult::kNeutral);
  CountOutcome(step);
  if (step.outcome == Outcome::kResult) {
    NotifyHomeAgent();
    SendCompleteAnswer();
  } else {
    const bool is_resume = m_prepared.request.resume.has_value();
    const Outcome outcome = is_resume ? Outcome::kUnknown : step.outcome;
    FinishWithError({step.reason, outcome, step.retry_after, {}});
  }
  m_context->Remove(self);
}

void ActiveRequest::SendCompleteAnswer() {
  if (m_event_ids) {
    SendStreamHead();
    m_channel->Append(m_event_ids->TakeRemaining());
  } else {
    m_channel->SetHead(MakeHead(false));
    m_channel->Append(m_body);
  }
  m_channel->End();
}

void ActiveRequest::FinishWithError(const CallerError& error) {
  Log(kRequestFailed, {{"request", ToHex(m_prepared.request.call.request_id)},
                       {"outcome", requests::ToText(error.outcome)},
                       {"reason", requests::ToText(error.reason)}});
  if (!m_head_sent) {
    SendError(error, &m_context->dependencies.configuration, *m_channel);
    return;
  }
  m_channel->Append(ErrorEvent(error));
  m_channel->End();
}

void ActiveRequest::NotifyHomeAgent() {
  const auto* chat = std::get_if<rpc::ChatCall>(&m_prepared.request.call.call);
  const std::optional<Candidate>& home_agent = m_prepared.home_agent;
  if (chat == nullptr || chat->chat.empty() || !home_agent ||
      home_agent->endpoint == m_candidate.endpoint) {
    return;
  }
  m_context->dependencies.agents.NotifyChatMoved({home_agent->address, home_agent->incarnation},
                                                 m_prepared.request.call.organisation, chat->chat,
                                                 m_candidate.endpoint);
}

void ActiveRequest::CountOutcome(const Step& step) {
  FlowMetrics& metrics = m_context->metrics;
  metrics.unmatched_events.Add(m_decision.unmatched_events());
  metrics.total_duration.Record(m_context->dependencies.clock.Now() - m_prepared.received);
  switch (step.outcome) {
    case Outcome::kResult:
      metrics.results.Add();
      break;
    case Outcome::kNotRun:
      metrics.not_run.Add();
      break;
    case Outcome::kUnknown:
      metrics.unknown.Add();
      break;
  }
}

}  // namespace wagtailwind::router
