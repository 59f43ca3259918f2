#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

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

// Retry-After for callers that were refused because no endpoint takes a request now: until some
// requests have ended, or until the earliest time that is known. Another router, to which the retry
// may come, has shares of other endpoints' limits, and was not asked to pause.
constexpr std::chrono::milliseconds kMinRetryWhenFull = 200ms;
constexpr std::chrono::milliseconds kMaxRetryWhenFull = 2'000ms;

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

std::string SecondsText(std::chrono::milliseconds time) {
  char text[24];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(time).count());
  return text;
}

}  // namespace

void ForwardTask::FinishAnswer() {
  const router::Step step = m_decision->OnComplete(m_current.number);
  if (step.outcome != Outcome::kResult) {
    Finish(step);
    return;
  }
  if (m_sink != nullptr) {
    if (m_current.kind == AnswerKind::kEvents || m_stream_began) {
      BeginStreamToCaller();
      m_sink->StreamPart(m_current.framer.Rest());
      m_sink->EndStream();
    } else {
      m_sink->Respond(m_current.answer_head.status, CallerHeaders(m_current.answer_head),
                      m_current.answer_body);
    }
  }
  Close(m_current.answer_head.status, requests::ToText(Outcome::kResult), FailureReason::kNone);
}

std::vector<http::Header> ForwardTask::CallerHeaders(const http1::MessageHead& head) const {
  std::vector<http::Header> headers = EndToEndHeaders(head.headers);
  std::erase_if(headers, [this](const http::Header& header) {
    return http::SameName(header.name, m_context.names.load);
  });
  return headers;
}

void ForwardTask::BeginStreamToCaller() {
  if (!std::exchange(m_stream_began, true)) {
    m_sink->BeginStream(m_stream_head->status, CallerHeaders(*m_stream_head));
  }
}

void ForwardTask::Refuse(int status, FailureReason reason,
                         std::optional<std::chrono::milliseconds> retry_after) {
  if (m_done) {
    return;
  }
  if (retry_after) {
    // Randomised, so that callers that were refused together do not retry at the same time.
    const auto spread = static_cast<std::uint64_t>(retry_after->count());
    retry_after =
        *retry_after / 2 + std::chrono::milliseconds(m_context.random.NextBelow(spread + 1));
  }
  RefuseUntil(status, reason, retry_after);
}

void ForwardTask::RefuseUntil(int status, FailureReason reason,
                              std::optional<std::chrono::milliseconds> retry_after) {
  if (m_done) {
    return;
  }
  std::vector<http::Header> headers;
  if (!m_id.empty()) {
    headers.push_back({m_context.names.attempt_id, std::string(m_id)});
  }
  if (retry_after) {
    headers.push_back({"Retry-After", SecondsText(*retry_after)});
  }
  if (m_sink != nullptr) {
    m_sink->Respond(status, headers, {});
  }
  Close(status, requests::ToText(Outcome::kNotRun), reason);
}

void ForwardTask::Finish(const router::Step& step) {
  if (m_done) {
    return;
  }
  if (m_stream_began) {
    if (m_sink != nullptr) {
      m_sink->Abort();
    }
    Close(0, requests::ToText(step.outcome), step.reason);
    return;
  }
  if (step.outcome == Outcome::kNotRun && !m_failure) {
    FinishNotRun(step.reason);
    return;
  }
  if (m_failure) {
    if (m_sink != nullptr) {
      m_sink->Respond(m_failure->first.status, CallerHeaders(m_failure->first), m_failure->second);
    }
    Close(m_failure->first.status, requests::ToText(step.outcome), step.reason);
    return;
  }
  int status = step.reason == FailureReason::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  if (IsMutantEnabled("forwarder_refuses_what_may_have_run")) {
    status = detail::kStatusUnavailable;
  }
  if (m_sink != nullptr) {
    m_sink->Respond(status, {{m_context.names.attempt_id, std::string(m_id)}}, {});
  }
  Close(status, requests::ToText(step.outcome), step.reason);
}

std::chrono::milliseconds ForwardTask::RetryAfterWait(std::chrono::nanoseconds wait) {
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), kMinRetryWhenFull,
                    kMaxRetryWhenFull);
}

std::chrono::nanoseconds ForwardTask::EndpointWait() const {
  const SteadyTime now = m_context.clock.Now();
  std::optional<std::chrono::nanoseconds> shortest;
  for (const balancing::EndpointPtr& endpoint : m_context.endpoints.Usable(m_service.value())) {
    if (const auto wait = endpoint->CheckAvailability(now).wait) {
      shortest = std::min(shortest.value_or(*wait), *wait);
    }
  }
  return shortest.value_or(0ns);
}

std::optional<std::chrono::milliseconds> ForwardTask::WaitWhenFull() const {
  const std::chrono::nanoseconds time_left = TimeLeft();
  const auto capacity_wait =
      m_admission->RetryAfter(time_left, m_context.clock.Now(), m_context.random);
  const std::chrono::nanoseconds endpoint_wait = EndpointWait();
  if (!capacity_wait || endpoint_wait > time_left / balancing::kRetryTimeDivisor) {
    return std::nullopt;
  }
  return std::chrono::floor<std::chrono::milliseconds>(std::max(*capacity_wait, endpoint_wait));
}

void ForwardTask::FinishNotRun(FailureReason reason) {
  if (reason == FailureReason::kMalformedRequest) {
    Refuse(requests::HttpStatus(reason), reason);
    return;
  }
  if (reason == FailureReason::kOverBound && m_admission != nullptr) {
    RefuseUntil(detail::kStatusUnavailable, reason, WaitWhenFull());
    return;
  }
  std::optional<std::chrono::milliseconds> retry_after = RetryAfterWait(EndpointWait());
  if (reason == FailureReason::kDeadlineExceeded) {
    retry_after.reset();
  } else if (reason == QuarantineReason()) {
    retry_after = balancing::PromptQuarantine::kQuarantineTime;
  }
  Refuse(detail::kStatusUnavailable, reason, retry_after);
}

void ForwardTask::Close(int status, std::string_view outcome, FailureReason reason) {
  m_done = true;
  CancelSetAside();
  EndAdmission(outcome == requests::ToText(Outcome::kResult));
  m_context.answer_memory.Release(std::exchange(m_counted_memory, 0));
  m_deadline_timer.Cancel();
  m_silence_timer.Cancel();
  m_retry_timer.Cancel();
  const SteadyTime now = m_context.clock.Now();
  const auto duration = now - m_request.received_at;
  const bool forwarded = m_decision && m_decision->attempts() > 0;
  Log(forwarded ? kRequestForwarded : kRequestRefused,
      {{"id", m_id},
       {"route", m_route ? std::string_view(m_route->name) : std::string_view()},
       {"organisation", m_organisation.value()},
       {"service", m_service.value()},
       {"status", status},
       {"outcome", outcome},
       {"reason", requests::ToText(reason)},
       {"attempts", m_decision ? m_decision->attempts() : 0},
       {"prompt", m_prompt ? m_prompt->key : 0},
       {"prompt_tokens", m_prompt ? m_prompt->tokens : 0},
       {"parts", reason == QuarantineReason() ? balancing::ToText(m_parts) : std::string()},
       {"fetch_from", m_cached_at ? m_cached_at->record.name.value() : std::string()},
       {"endpoint", m_last_endpoint.value()},
       {"events", m_events},
       {"first_event_ms",
        m_events == 0 ? -1 : detail::ToMilliseconds(m_first_event_at - m_request.received_at)},
       {"duration_ms", detail::ToMilliseconds(duration)},
       {"configuration", m_configuration ? m_configuration->version : 0},
       {"confirmed_ms",
        m_context.confirmation.AgeMilliseconds(m_context.clock.BootNow()).value_or(-1)}});
  m_context.metrics
      .GetCounter(std::string("forward_requests_total{status=\"") + std::to_string(status) +
                  "\",reason=\"" + std::string(requests::ToText(reason)) + "\"}")
      .Add();
  m_context.metrics.GetDuration("forward_request_seconds").Record(duration);
  if (m_sink == nullptr && m_on_detached_end) {
    m_on_detached_end(*this);
  }
}

bool ForwardTask::OnCallerDisconnected() {
  if (m_done) {
    return false;
  }
  m_sink = nullptr;
  // A non-idempotent request runs to its end: cancelling it would leave its effect unknown and save
  // little work.
  const bool may_continue =
      m_route && m_route->kind == RequestKind::kNonIdempotent && m_current.sent;
  const bool goes_on = may_continue || IsMutantEnabled("forwarder_goes_on_without_caller");
  Log(kCallerLeft,
      {{"id", m_id},
       {"attempts", m_decision ? m_decision->attempts() : 0},
       {"events", m_events},
       {"goes_on", goes_on ? 1 : 0},
       {"after_ms", detail::ToMilliseconds(m_context.clock.Now() - m_request.received_at)}});
  if (goes_on) {
    ResumeReading();
  }
  return goes_on;
}

}  // namespace wagtailwind::forward
