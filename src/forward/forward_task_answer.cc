#include <algorithm>
#include <utility>

#include "balancing/request_limit.h"
#include "core/mutant.h"
#include "forward/forward_task.h"
#include "forward/header_rules.h"
#include "forward/log_events.h"
#include "forward/task_common.h"

namespace wagtailwind::forward {

using requests::FailureReason;
using requests::Outcome;

namespace {

using namespace std::chrono_literals;

// Bytes queued for a slow caller above which reading from the endpoint pauses.
constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

// Responses up to this size are buffered, so that an incomplete one can be replaced by another
// attempt.
constexpr std::size_t kMaxBufferedBytes = 512U << 10U;

// An answer whose caller has disconnected is read on, so that the endpoint can end its work, but
// not without end.
constexpr std::size_t kMaxUnreadBytes = kMaxBufferedBytes;

// Limit of queued bytes while the process holds too many answers.
constexpr std::size_t kMinQueuedBytes = 16U << 10U;

// A stalled answer that sends single bytes must not count as progressing: the silence timer
// restarts only after this many bytes of a buffered answer.
constexpr std::size_t kProgressBytes = 4U << 10U;

// A resumed stream may repeat what the caller has received; this is more than any answer has.
constexpr std::size_t kMaxRepeatedBytes = 1U << 20U;

// Error answers are short. What exceeds these limits is not an answer, and its head already tells
// what to do next.
constexpr std::size_t kMaxErrorBytes = 64U << 10U;
constexpr std::chrono::milliseconds kErrorBodyTimeout = 500ms;

constexpr std::string_view kUnusableAnswer =
    "response is unsigned, encoded, or no continuation of the stream";

// A full endpoint gets no new request for about the duration of a short request.
constexpr std::chrono::milliseconds kFullBackoff = 100ms;

constexpr int kRequestTimeout = 408;
constexpr int kServerErrorFirst = 500;

/// Returns whether a status tells the caller that its request has not run.
bool ImpliesNotRun(int status) noexcept {
  return status == kRequestTimeout || status == detail::kStatusMisdirected ||
         status == detail::kStatusTooManyRequests || status == detail::kStatusUnavailable;
}

}  // namespace

bool ForwardTask::UpdateRequest(std::string& request) {
  const balancing::Endpoint& endpoint = *m_current.connection->endpoint;
  m_current.withdrawn = (!endpoint.CheckClosed(m_context.clock.Now()).IsAvailable() &&
                         !IsMutantEnabled("forwarder_sends_on_opened_connections_anyway")) ||
                        TimeLeft() <= 0ns || !IsKeyAccepted();
  if (m_current.withdrawn) {
    return false;
  }
  // The time left has changed while the connection was established.
  request = RequestText(m_current.connection->endpoint);
  return true;
}

void ForwardTask::OnSending() {
  m_current.sent = true;
  m_any_sent = true;
  m_current.connection->endpoint->health.OnSent(m_context.clock.Now());
  m_decision->OnHandedOver(m_current.number);
  if (m_set_aside) {
    RestartSilenceTimer();
  }
}

bool ForwardTask::OnResponseHead(http1::MessageHead head) {
  m_current.connection->endpoint->health.OnBytesReceived(m_context.clock.Now());
  const std::string_view id = http::FindHeader(head.headers, m_context.names.attempt_id);
  // Without an id, only the first response on a connection certainly belongs to this request.
  const bool belongs = (id.empty() ? !m_current.connection->reused : id == m_id) ||
                       IsMutantEnabled("forwarder_accepts_late_copies");
  if (!belongs) {
    Log(kAnswerSkipped, {{"id", m_id},
                         {"answer_id", id},
                         {"endpoint", m_current.connection->endpoint->record.name.value()},
                         {"status", head.status}});
    return false;
  }
  RecordLoadReport(head);
  RecordRequestLimit(head);
  RecordPause(head);
  RecordLeaving(head);
  m_current.kind = Classify(head);
  if (m_current.kind != AnswerKind::kRefusal && m_current.kind != AnswerKind::kOtherProcess) {
    LoseSetAside();
  }
  if (m_current.kind == AnswerKind::kBuffered && m_stream_began) {
    // The caller has received events of an earlier attempt, which only further events may follow.
    m_current.kind = AnswerKind::kInvalid;
  }
  if (m_current.kind == AnswerKind::kBuffered || m_current.kind == AnswerKind::kEvents) {
    m_decision->OnAdmitted(m_current.number);
    m_decision->OnHead(m_current.number);
  }
  if (m_current.kind == AnswerKind::kEvents && !m_stream_head) {
    m_stream_head = head;
  }
  if (IsErrorAnswer()) {
    m_current.invalid_reason = kUnusableAnswer;
    m_silence_timer.Start(kErrorBodyTimeout);
  } else if (m_current.kind == AnswerKind::kBuffered) {
    RestartSilenceTimer();
  }
  m_current.answer_head = std::move(head);
  return true;
}

bool ForwardTask::IsErrorAnswer() const noexcept {
  return m_current.kind == AnswerKind::kRefusal || m_current.kind == AnswerKind::kOtherProcess ||
         m_current.kind == AnswerKind::kFailure || m_current.kind == AnswerKind::kInvalid;
}

void ForwardTask::OnResponseBody(std::string_view part) {
  m_current.connection->endpoint->health.OnBytesReceived(m_context.clock.Now());
  if (m_current.kind == AnswerKind::kBuffered) {
    ReadBuffered(part);
  } else if (m_current.kind == AnswerKind::kEvents) {
    ReadEvents(part);
  } else {
    ReadErrorBody(part);
  }
  if (m_sink == nullptr) {
    CountUnreadBytes(part.size());
  }
  CountMemory();
}

void ForwardTask::CountUnreadBytes(std::size_t count) {
  m_unread_bytes += count;
  if (m_unread_bytes > kMaxUnreadBytes) {
    // The connection can't be closed while it reports bytes.
    m_current.connection->connection->StopReading();
    m_silence_timer.Start(0ns);
  }
}

void ForwardTask::ReadEvents(std::string_view part) {
  const bool is_valid = m_current.framer.Feed(
      part,
      [this](std::string_view event, std::optional<std::uint64_t> id) { OnEvent(event, id); });
  if (!is_valid) {
    AbandonAnswer("event exceeds the limit");
  } else if (m_current.repeated_bytes > kMaxRepeatedBytes) {
    AbandonAnswer("stream only repeats events");
  }
}

void ForwardTask::ReadBuffered(std::string_view part) {
  if (m_sink == nullptr) {
    return;
  }
  if (m_stream_began) {
    PassOn(part);
    return;
  }
  m_current.answer_body.append(part);
  if (m_current.answer_body.size() - m_current.counted_progress >= kProgressBytes) {
    m_current.counted_progress = m_current.answer_body.size();
    RestartSilenceTimer();
  }
  if (m_current.answer_body.size() <= kMaxBufferedBytes && !m_context.answer_memory.IsExhausted()) {
    return;
  }
  m_stream_head = m_current.answer_head;
  BeginStreamToCaller();
  PinAttempt();
  m_silence_timer.Cancel();
  PassOn(m_current.answer_body);
  std::string().swap(m_current.answer_body);
}

void ForwardTask::ReadErrorBody(std::string_view part) {
  m_current.error_bytes += part.size();
  if (m_current.error_bytes > kMaxErrorBytes) {
    AbandonAnswer("error response exceeds the limit");
  } else if (m_current.kind == AnswerKind::kFailure) {
    m_current.answer_body.append(part);
  }
}

void ForwardTask::AbandonAnswer(std::string_view reason) {
  if (m_current.kind != AnswerKind::kRefusal && m_current.kind != AnswerKind::kOtherProcess) {
    m_current.kind = AnswerKind::kInvalid;
    m_current.invalid_reason = reason;
  }
  m_current.answer_body.clear();
  m_current.framer.Reset();
  // The connection can't be closed while it reports bytes.
  m_current.connection->connection->StopReading();
  m_silence_timer.Start(0ns);
}

void ForwardTask::EndErrorAnswer() {
  if (m_current.kind == AnswerKind::kFailure) {
    m_current.kind = AnswerKind::kInvalid;
    m_current.invalid_reason = "incomplete error response";
  }
  OnResponseEnd(false);
}

void ForwardTask::PassOn(std::string_view bytes) {
  std::size_t limit = kMaxQueuedBytes;
  if (m_context.answer_memory.IsExhausted()) {
    limit = kMinQueuedBytes;
    m_sink->SaveMemory();
  }
  m_sink->StreamPart(bytes);
  if (m_sink->QueuedBytes() > limit && !m_current.reading_paused &&
      !IsMutantEnabled("forwarder_ignores_slow_callers")) {
    m_current.reading_paused = true;
    m_context.metrics.GetCounter("forward_reading_pauses_total").Add();
    m_current.connection->connection->StopReading();
    m_silence_timer.Cancel();
  }
}

void ForwardTask::CountMemory() {
  const std::size_t held = m_current.answer_body.size() + m_current.framer.Rest().size() +
                           (m_set_aside ? m_set_aside->answer_body.size() : 0) +
                           (m_sink != nullptr ? m_sink->HeldBytes() : 0) +
                           HeldRequestBytes(m_current) +
                           (m_set_aside ? HeldRequestBytes(*m_set_aside) : 0);
  m_context.answer_memory.Resize(std::exchange(m_counted_memory, held), held);
}

std::size_t ForwardTask::HeldRequestBytes(const Attempt& attempt) noexcept {
  return attempt.connection ? attempt.connection->connection->HeldBytes() : 0;
}

void ForwardTask::PinAttempt() {
  m_is_pinned = true;
  m_decision->OnBytesToCaller();
}

void ForwardTask::OnEvent(std::string_view event, std::optional<std::uint64_t> id) {
  // A resumed stream may repeat events that the caller has already received.
  if (id && m_last_event_id && *id <= *m_last_event_id &&
      !IsMutantEnabled("forwarder_resumes_from_the_start")) {
    m_current.repeated_bytes += event.size();
    return;
  }
  const SteadyTime now = m_context.clock.Now();
  balancing::Endpoint& endpoint = *m_current.connection->endpoint;
  if (m_current.last_event_at) {
    endpoint.pace.OnGap(now - *m_current.last_event_at, now);
    endpoint.performance.OnEventGap(now - *m_current.last_event_at,
                                    endpoint.load.Requests(now, m_typical_load),
                                    endpoint.record.slots, now);
    m_context.metrics.GetDuration("forward_event_gap_seconds")
        .Record(now - *m_current.last_event_at);
  }
  if (!m_current.last_event_at) {
    m_context.quarantine.OnAnswerBegan(m_parts, now);
  }
  if (!m_current.last_event_at && m_prompt) {
    // Only long prompts at the endpoint that is expected to cache their parts tell whether it does.
    if (m_at_home && m_current.number == 1 && balancing::IsLongPrompt(*m_prompt)) {
      m_context.cached_prompts[m_service.value()].OnFirstEvent(m_prompt->key, endpoint.record,
                                                               now - m_current.sent_at, now);
    }
  }
  m_current.last_event_at = now;
  if (m_events == 0) {
    m_first_event_at = now;
    if (m_admission_ticket) {
      m_admission->OnFirstEvent(*m_admission_ticket, now);
    }
    m_context.metrics.GetDuration("forward_first_event_seconds")
        .Record(m_first_event_at - m_request.received_at);
  }
  ++m_events;
  if (id) {
    m_last_event_id = id;
  } else {
    PinAttempt();
  }
  RestartSilenceTimer();
  if (m_sink == nullptr) {
    return;
  }
  BeginStreamToCaller();
  PassOn(event);
}

void ForwardTask::OnSinkDrained() {
  CountMemory();
  ResumeReading();
}

void ForwardTask::ResumeReading() {
  if (std::exchange(m_current.reading_paused, false) && m_current.connection) {
    m_current.connection->connection->StartReading();
    RestartSilenceTimer();
  }
}

bool ForwardTask::HasTooManyUnreadBytes() const noexcept {
  return m_sink == nullptr && m_unread_bytes > kMaxUnreadBytes;
}

bool ForwardTask::IsBrokenStream() const noexcept {
  if (m_current.kind != AnswerKind::kEvents || m_request.head.method == "HEAD") {
    return false;
  }
  const bool has_end = m_current.answer_head.chunked || m_current.answer_head.content_length;
  const bool has_event = m_current.last_event_at || m_current.repeated_bytes > 0;
  return m_current.framer.IsInsideEvent() || (!has_end && !has_event);
}

void ForwardTask::OnResponseEnd(bool reusable) {
  if (IsBrokenStream() && !IsMutantEnabled("forwarder_takes_cut_answer_as_whole")) {
    OnConnectionEnd(http1::ConnectionEnd::kClosed,
                    "stream ended inside an event or before the first one");
    return;
  }
  m_silence_timer.Cancel();
  EndpointConnection connection = std::move(*m_current.connection);
  m_current.connection.reset();
  const double load = connection.endpoint->load.Requests(m_context.clock.Now(), m_typical_load);
  connection.endpoint->load.OnEnded();
  const balancing::EndpointPtr endpoint = connection.endpoint;
  if (m_current.reading_paused && !IsMutantEnabled("forwarder_keeps_finished_answers_paused")) {
    // The last part of the answer exceeded the limit; the next call on the connection is read.
    connection.connection->StartReading();
  }
  if (reusable) {
    m_context.pool.Release(
        std::move(connection),
        KeepAliveTimeout(http::FindHeader(m_current.answer_head.headers, "Keep-Alive")));
  } else {
    m_context.pool.Discard(std::move(connection));
  }
  const SteadyTime now = m_context.clock.Now();
  switch (m_current.kind) {
    case AnswerKind::kBuffered:
    case AnswerKind::kEvents:
      CountAttempt("answered");
      endpoint->health.OnSuccess(now);
      if (m_current.kind == AnswerKind::kBuffered) {
        m_context.quarantine.OnAnswerBegan(m_parts, now);
      }
      if (m_current.kind == AnswerKind::kBuffered && !m_prompt) {
        // The load report of this answer is exact, unlike the estimate when the call began.
        endpoint->performance.OnCall(now - m_current.sent_at, load, endpoint->record.slots, now);
      }
      FinishAnswer();
      return;
    case AnswerKind::kOtherProcess:
      CountAttempt("other_process");
      endpoint->health.OnInconclusive();
      m_context.endpoints.OnAddressReused(*endpoint);
      RunStep(m_decision->OnRefused(m_current.number, {.reason = FailureReason::kDraining}));
      return;
    case AnswerKind::kRefusal:
      CountAttempt("refused");
      endpoint->health.OnInconclusive();
      endpoint->full_until = now + kFullBackoff;
      if (m_admission != nullptr && m_current.answer_head.status != detail::kStatusBadRequest) {
        m_admission->OnEndpointFull(now);
      }
      LogFailedAttempt(endpoint, requests::ToText(FailureReason::kOverBound),
                       {"status", m_current.answer_head.status});
      RunStep(m_decision->OnRefused(
          m_current.number, {.reason = m_current.answer_head.status == detail::kStatusBadRequest
                                           ? FailureReason::kMalformedRequest
                                           : FailureReason::kOverBound}));
      return;
    case AnswerKind::kFailure:
      CountAttempt("failed");
      FinishFailure(endpoint);
      return;
    case AnswerKind::kInvalid:
    case AnswerKind::kNone:
      CountAttempt("invalid");
      endpoint->health.OnFailure(balancing::AttemptFailure::kErrorResponse, now);
      LogFailedAttempt(endpoint, requests::ToText(FailureReason::kConnectionLost),
                       {"detail", m_current.invalid_reason});
      RunStep(m_decision->OnLost(m_current.number, FailureReason::kConnectionLost));
      return;
  }
}

void ForwardTask::FinishFailure(const balancing::EndpointPtr& endpoint) {
  const SteadyTime now = m_context.clock.Now();
  const int status = m_current.answer_head.status;
  // Unless the endpoint marks the response as a refusal, the request may have run, and this status
  // would wrongly tell the caller that it has not.
  const bool is_unmarked_refusal = ImpliesNotRun(status);
  if (!is_unmarked_refusal) {
    m_failure.emplace(std::move(m_current.answer_head), std::move(m_current.answer_body));
  }
  if (!is_unmarked_refusal && status < kServerErrorFirst) {
    endpoint->health.OnSuccess(now);
    Finish(m_decision->OnAbort(FailureReason::kEngineLost));
    return;
  }
  endpoint->health.OnFailure(balancing::AttemptFailure::kErrorResponse, now);
  LogFailedAttempt(endpoint, requests::ToText(FailureReason::kEngineLost), {"status", status},
                   is_unmarked_refusal ? "status of a refusal without the refusal header" : "");
  RunStep(m_decision->OnLost(m_current.number, FailureReason::kEngineLost));
}

void ForwardTask::OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) {
  if (!m_current.connection) {
    return;
  }
  if (m_current.kind == AnswerKind::kRefusal || m_current.kind == AnswerKind::kOtherProcess) {
    // The head alone shows that the request has not run.
    OnResponseEnd(false);
    return;
  }
  if (m_current.kind != AnswerKind::kNone &&
      IsMutantEnabled("forwarder_takes_cut_answer_as_whole")) {
    OnResponseEnd(false);
    return;
  }
  if (end == http1::ConnectionEnd::kNotConnected) {
    const balancing::EndpointPtr endpoint = m_current.connection->endpoint;
    LogFailedAttempt(endpoint, http1::ToText(end), {"detail", detail});
    CountAttempt(m_current.withdrawn ? "withdrawn" : "not_connected");
    if (m_current.withdrawn) {
      endpoint->health.OnNotSent();
    } else {
      endpoint->health.OnFailure(balancing::AttemptFailure::kNotConnected, m_context.clock.Now());
      m_context.OnUnreachable(*endpoint);
    }
    EndAttempt(m_current);
    RunStep(m_decision->OnNotHandedOver(m_current.number));
    return;
  }
  FailAttempt(FailureReason::kConnectionLost, detail, ReportLostRequest(m_current, end));
}

}  // namespace wagtailwind::forward
