#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/forward_task.h"
#include "forward/header_rules.h"
#include "forward/log_events.h"
#include "forward/task_common.h"

namespace wagtailwind::forward {

using requests::FailureReason;

namespace {

using namespace std::chrono_literals;

// An idempotent request without a response after twice its objective, but at least this time, is
// sent to another endpoint.
constexpr std::chrono::milliseconds kMinAnswerTimeout = 250ms;

// Time without an event after which a resumable stream continues at another endpoint. Callers
// disconnect after two seconds at the earliest, and an engine with free capacity sends its first
// event within its objective.
constexpr std::chrono::milliseconds kMinFirstEventTimeout = 700ms;
constexpr std::chrono::milliseconds kMinEventTimeout = 1'200ms;

// Time after which an endpoint that was asked in place of a silent one counts as having accepted
// the request. A full endpoint refuses at once. Both may not run the request for longer than 400
// ms.
constexpr std::chrono::milliseconds kAcceptTime = 200ms;

// Minimum time left until the deadline for which an attempt is started.
constexpr std::chrono::milliseconds kMinAttemptTime = 5ms;

constexpr std::uint32_t kLowestPriority = 9;

// Time in which a connection to a crashed endpoint in another zone is refused.
constexpr std::chrono::milliseconds kCrashCheckTime = 25ms;

// Longer ids of callers are cut off in reports.
constexpr std::size_t kMaxReportedIdLength = 64;

constexpr std::string_view kLastEventId = "Last-Event-ID";

}  // namespace

std::chrono::nanoseconds ForwardTask::TimeLeft() const {
  return m_deadline - m_context.clock.Now();
}

void ForwardTask::RunStep(router::Step step) {
  // The process may have been suspended since the key was checked. Once a request has been sent,
  // its key stays accepted: the caller sent the request before the key could have been revoked.
  if (step.kind == router::Step::Kind::kAttempt && !m_any_sent && !IsKeyAccepted()) {
    RefuseUnconfirmed();
    return;
  }
  if (step.kind == router::Step::Kind::kAttempt && IsQuarantined()) {
    if (!ResumeSetAside()) {
      Finish(m_decision->OnAbort(QuarantineReason()));
    }
    return;
  }
  while (step.kind == router::Step::Kind::kAttempt) {
    const auto endpoint = std::find_if(m_ranked.begin(), m_ranked.end(),
                                       [&step](const balancing::EndpointPtr& candidate) {
                                         return candidate->record.name == step.candidate.endpoint;
                                       });
    if (endpoint != m_ranked.end() && StartAttempt(step, *endpoint)) {
      return;
    }
    step = m_decision->OnBreakerOpen(step.attempt);
  }
  if (step.kind == router::Step::Kind::kFinish && !ResumeSetAside()) {
    Finish(step);
  }
}

bool ForwardTask::StartAttempt(const router::Step& step, const balancing::EndpointPtr& endpoint) {
  const SteadyTime now = m_context.clock.Now();
  const bool is_checked =
      (step.attempt == 1 || !IsMutantEnabled("forwarder_retries_at_closed_endpoints")) &&
      (m_context.pool.IdleCount() == 0 ||
       !IsMutantEnabled("forwarder_uses_kept_connection_once_more"));
  if (TimeLeft() < kMinAttemptTime ||
      (is_checked && !endpoint->CheckAvailability(now).IsAvailable())) {
    return false;
  }
  // A failing endpoint is ranked first only if all endpoints are failing; then it is tried anyway.
  if (!endpoint->health.TryAcquire(now) && endpoint != m_ranked.front()) {
    return false;
  }
  endpoint->OnSent(now);
  m_last_endpoint = endpoint->record.name;
  m_current = Attempt{.number = step.attempt, .sent_at = now};
  m_current.connection = m_context.pool.Acquire(endpoint);
  if (step.attempt > 1) {
    Log(kRetryDecided, {{"id", m_id},
                        {"attempt", step.attempt},
                        {"endpoint", endpoint->record.name.value()},
                        {"after_event", m_last_event_id.value_or(0)},
                        {"budget", m_context.RetryBudgetFor(m_service).Tokens()}});
    m_context.metrics.GetCounter("forward_retries_total").Add();
  }
  Log(kAttemptStarted,
      {{"id", m_id},
       {"attempt", step.attempt},
       {"endpoint", endpoint->record.name.value()},
       {"load", endpoint->load.Requests(now, m_typical_load)},
       {"mean_load", m_mean_load},
       {"slowness",
        m_typical_performance ? endpoint->performance.Slowness(now, *m_typical_performance) : -1},
       {"at_home", m_at_home ? 1 : 0},
       {"limit", endpoint->quota.limit().value_or(-1)},
       {"reused", m_current.connection->reused ? 1 : 0}});
  m_current.connection->connection->Send(RequestText(endpoint), m_request.head.method == "HEAD",
                                         *this);
  RestartSilenceTimer();
  return true;
}

std::string ForwardTask::RequestText(const balancing::EndpointPtr& endpoint) const {
  const WireNames& names = m_context.names;
  std::string text = m_request.head.method + " " + m_request.head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  const auto is_reserved = [&names](std::string_view name) {
    return http::SameName(name, names.api_key) || http::SameName(name, names.organisation) ||
           http::SameName(name, names.deadline) || http::SameName(name, names.expected_endpoint) ||
           http::SameName(name, names.priority) || http::SameName(name, names.fetch_from) ||
           std::any_of(names.reserved.begin(), names.reserved.end(),
                       [name](const std::string& field) { return http::SameName(field, name); });
  };
  for (const http::Header& header : EndToEndHeaders(m_request.head.headers)) {
    const bool replaced = m_last_event_id && http::SameName(header.name, kLastEventId);
    const bool is_kept =
        !is_reserved(header.name) || IsMutantEnabled("forwarder_passes_on_reserved_fields");
    if (!replaced && is_kept) {
      add(header.name, header.value);
    }
  }
  if (m_last_event_id && !IsMutantEnabled("forwarder_resumes_from_the_start")) {
    add(kLastEventId, std::to_string(*m_last_event_id));
  }
  if (!IsMutantEnabled("forwarder_sends_no_deadline")) {
    add(names.deadline,
        std::to_string(std::max<std::int64_t>(detail::ToMilliseconds(TimeLeft()), 1)));
  }
  add(names.expected_endpoint, endpoint->record.name.value());
  if (!m_organisation.empty() && !IsMutantEnabled("forwarder_sends_no_organisation")) {
    add(names.organisation, m_organisation.value());
  }
  if (m_route->has_prompt) {
    add(names.priority, std::to_string(std::min(m_priority, kLowestPriority)));
  }
  if (m_cached_at && m_cached_at != endpoint) {
    add(names.fetch_from, m_cached_at->record.address);
  }
  const bool has_body =
      !m_request.body.empty() || m_request.head.content_length || m_request.head.chunked;
  if (has_body) {
    add("Content-Length", std::to_string(m_request.body.size()));
  }
  return text.append("\r\n").append(m_request.body);
}

void ForwardTask::CancelAttempt(Attempt& attempt) {
  balancing::EndpointHealth& health = attempt.connection->endpoint->health;
  attempt.sent ? health.OnInconclusive() : health.OnNotSent();
  EndAttempt(attempt);
}

void ForwardTask::EndAttempt(Attempt& attempt) {
  if (&attempt == &m_current) {
    m_silence_timer.Cancel();
  }
  if (attempt.connection) {
    attempt.connection->endpoint->load.OnEnded();
    // A graceful close would still transmit a request that waits on a busy link, and the endpoint
    // would run it for nobody.
    attempt.connection->connection->ResetOnClose();
    m_context.pool.Discard(std::move(*attempt.connection));
    attempt.connection.reset();
  }
}

void ForwardTask::CountAttempt(std::string_view result) {
  m_context.metrics.GetCounter("forward_attempts_total{result=\"" + std::string(result) + "\"}")
      .Add();
}

void ForwardTask::LogFailedAttempt(const balancing::EndpointPtr& endpoint, std::string_view reason,
                                   const LogField& what, std::string_view detail) const {
  const LogField id("id", m_id);
  const LogField attempt("attempt", m_current.number);
  const LogField name("endpoint", endpoint->record.name.value());
  const LogField why("reason", reason);
  if (detail.empty()) {
    Log(kAttemptFailed, {id, attempt, name, why, what});
  } else {
    Log(kAttemptFailed, {id, attempt, name, why, what, LogField("detail", detail)});
  }
}

void ForwardTask::EndLostAttempt(Attempt& attempt, FailureReason reason, std::string_view detail) {
  const balancing::EndpointPtr endpoint = attempt.connection->endpoint;
  Log(kAttemptFailed,
      {{"id", m_id},
       {"attempt", attempt.number},
       {"endpoint", endpoint->record.name.value()},
       {"reason", requests::ToText(reason)},
       {"detail", detail},
       {"sent", attempt.sent ? 1 : 0},
       {"status", attempt.kind == AnswerKind::kNone ? 0 : attempt.answer_head.status},
       {"answer_began", attempt.last_event_at ? 1 : 0},
       {"events", m_events},
       {"parts", m_prompt ? ToText(m_prompt->parts) : std::string()},
       {"content", balancing::ToText(HashContent())},
       {"after_ms", detail::ToMilliseconds(m_context.clock.Now() - attempt.sent_at)}});
  CountAttempt("lost");
  endpoint->health.OnFailure(balancing::AttemptFailure::kConnectionLost, m_context.clock.Now());
  EndAttempt(attempt);
}

void ForwardTask::FailAttempt(FailureReason reason, std::string_view detail,
                              std::chrono::milliseconds retry_delay) {
  if (m_current.sent) {
    LoseSetAside();
  }
  EndLostAttempt(m_current, reason, detail);
  router::Step step = m_decision->OnLost(m_current.number, reason);
  if (retry_delay > 0ms && step.kind == router::Step::Kind::kAttempt) {
    m_delayed_step = std::move(step);
    m_retry_timer.Start(retry_delay);
    return;
  }
  RunStep(std::move(step));
}

std::chrono::milliseconds ForwardTask::ReportLostRequest(const Attempt& attempt,
                                                         http1::ConnectionEnd end) {
  const bool is_lost = end == http1::ConnectionEnd::kClosed || end == http1::ConnectionEnd::kReset;
  const bool is_answering = attempt.kind == AnswerKind::kEvents;
  const bool is_waiting =
      attempt.kind == AnswerKind::kNone || attempt.kind == AnswerKind::kBuffered;
  if (!is_lost || m_parts.empty() || !attempt.sent || attempt.last_event_at ||
      !(is_answering || is_waiting)) {
    return 0ms;
  }
  // The first repeat of a request that waited is not delayed, since most are cut by chance.
  const bool is_checked = is_answering || m_context.quarantine.IsSuspected(m_parts);
  m_context.crashes.OnConnectionLost(attempt.connection->endpoint,
                                     {.request = std::string(m_id.substr(0, kMaxReportedIdLength)),
                                      .parts = m_parts,
                                      .answering = is_answering});
  return is_checked ? kCrashCheckTime : 0ms;
}

void ForwardTask::OnRetryTimer() { RunStep(std::move(m_delayed_step)); }

void ForwardTask::RestartSilenceTimer() {
  // While reading is paused for a slow caller, silence says nothing about the endpoint.
  if (!m_route->IsRepeatable() || m_is_pinned || m_current.reading_paused) {
    m_silence_timer.Cancel();
    return;
  }
  if (m_set_aside && m_current.sent) {
    m_silence_timer.Start(kAcceptTime);
    return;
  }
  std::chrono::milliseconds timeout = std::max(2 * m_route->objective, kMinAnswerTimeout);
  if (m_route->kind == RequestKind::kStream) {
    timeout = m_events == 0 ? std::max(2 * m_route->objective, kMinFirstEventTimeout)
                            : std::max(4 * m_route->max_pause, kMinEventTimeout);
  }
  m_silence_timer.Start(timeout);
}

void ForwardTask::OnSilenceTimeout() {
  if (!m_current.connection) {
    return;
  }
  if (HasTooManyUnreadBytes()) {
    Abort(FailureReason::kCancelled);
    return;
  }
  if (IsErrorAnswer()) {
    EndErrorAnswer();
    return;
  }
  if (m_set_aside) {
    if (m_current.sent) {
      LoseSetAside();
    }
    RestartSilenceTimer();
  } else if (!HasAlternative()) {
    // An endpoint or a retry may become available while the endpoint stays silent.
    RestartSilenceTimer();
  } else if (m_current.sent && !IsMutantEnabled("forwarder_gives_up_silent_attempts")) {
    AskOtherEndpoint();
  } else {
    FailAttempt(FailureReason::kEngineLost, "silent");
  }
}

bool ForwardTask::HasAlternative() const {
  return m_decision->attempts() < m_route->max_attempts &&
         m_context.RetryBudgetFor(m_service).Tokens() >= 1 &&
         std::any_of(m_ranked.begin(), m_ranked.end(),
                     [this](const balancing::EndpointPtr& endpoint) {
                       return endpoint != m_current.connection->endpoint &&
                              endpoint->CheckAvailability(m_context.clock.Now()).IsAvailable();
                     });
}

void ForwardTask::AskOtherEndpoint() {
  router::Step step;
  if (!IsQuarantined()) {
    step = m_decision->OnSilent(m_current.number);
  }
  if (step.kind == router::Step::Kind::kContinue) {
    RestartSilenceTimer();
    return;
  }
  // What the endpoint sends meanwhile waits in the connection. If it were passed on, the other
  // endpoint could repeat it.
  http1::ClientConnection& connection = *m_current.connection->connection;
  connection.StopReading();
  connection.SetObserver(&m_set_aside_observer);
  m_set_aside_observer.ended = false;
  Log(kAttemptSetAside,
      {{"id", m_id},
       {"attempt", m_current.number},
       {"endpoint", m_current.connection->endpoint->record.name.value()},
       {"events", m_events},
       {"after_ms", detail::ToMilliseconds(m_context.clock.Now() - m_current.sent_at)}});
  m_set_aside.emplace(std::move(m_current));
  m_current = {};
  RunStep(std::move(step));
}

bool ForwardTask::ResumeSetAside() {
  if (!m_set_aside) {
    return false;
  }
  m_decision->OnSetAsideResumed();
  m_current = std::move(*m_set_aside);
  m_set_aside.reset();
  const balancing::EndpointPtr& endpoint = m_current.connection->endpoint;
  m_last_endpoint = endpoint->record.name;
  Log(kAttemptResumed,
      {{"id", m_id}, {"attempt", m_current.number}, {"endpoint", m_last_endpoint.value()}});
  if (m_set_aside_observer.ended) {
    FailAttempt(FailureReason::kConnectionLost, "ended while another endpoint was asked");
    return true;
  }
  m_current.connection->connection->SetObserver(this);
  m_current.connection->connection->StartReading();
  RestartSilenceTimer();
  return true;
}

void ForwardTask::LoseSetAside() {
  if (m_set_aside) {
    m_decision->OnSetAsideLost();
    // Its connection isn't read, so that its end has not been reported.
    if (m_set_aside->connection->connection->HasEnded() &&
        !IsMutantEnabled("forwarder_forgets_crashes_of_silent_endpoints")) {
      ReportLostRequest(*m_set_aside, http1::ConnectionEnd::kClosed);
    }
    EndLostAttempt(*m_set_aside, FailureReason::kEngineLost, "silent");
    m_set_aside.reset();
  }
}

void ForwardTask::CancelSetAside() {
  if (m_set_aside) {
    CancelAttempt(*m_set_aside);
    m_set_aside.reset();
  }
}

void ForwardTask::OnDeadlineTimer() {
  if (m_done) {
    return;
  }
  if (!m_decision) {
    Start();
    return;
  }
  Abort(FailureReason::kDeadlineExceeded);
}

void ForwardTask::Abort(FailureReason reason) {
  const router::Step step = m_decision->OnAbort(reason);
  if (m_current.connection) {
    CancelAttempt(m_current);
  }
  Finish(step);
}

}  // namespace wagtailwind::forward
