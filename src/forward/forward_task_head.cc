// What the head of an endpoint's answer tells about the request and about the endpoint.

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/mutant.h"
#include "forward/forward_task.h"
#include "forward/header_rules.h"
#include "forward/log_events.h"
#include "forward/task_common.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

constexpr int kOkFirst = 200;
constexpr int kOkLast = 299;

// Routers that were refused together return at different times: each adds up to a tenth of the
// pause that the endpoint has named, but at most this time.
constexpr int kPauseSpreadDivisor = 10;
constexpr std::chrono::milliseconds kMaxPauseSpread = 500ms;

// Longer values of malformed fields are cut off in log lines.
constexpr std::size_t kMaxLoggedValue = 64;

// Value of the field by which an endpoint announces that it leaves.
constexpr std::string_view kLeaving = "1";

}  // namespace

ForwardTask::AnswerKind ForwardTask::Classify(const http1::MessageHead& head) const {
  const WireNames& names = m_context.names;
  if (head.status == detail::kStatusMisdirected) {
    return AnswerKind::kOtherProcess;
  }
  if (!http::FindHeader(head.headers, names.not_run).empty()) {
    return AnswerKind::kRefusal;
  }
  if (head.status < kOkFirst || head.status > kOkLast) {
    return AnswerKind::kFailure;
  }
  if (http::FindHeader(head.headers, names.signature).empty() ||
      !http::FindHeader(head.headers, "Content-Encoding").empty()) {
    return AnswerKind::kInvalid;
  }
  return http::FindHeader(head.headers, "Content-Type").starts_with("text/event-stream")
             ? AnswerKind::kEvents
             : AnswerKind::kBuffered;
}

void ForwardTask::RecordLoadReport(const http1::MessageHead& head) {
  const std::string_view field = http::FindHeader(head.headers, m_context.names.load);
  const auto report = ParseLoad(field);
  if (!report) {
    return;
  }
  balancing::Endpoint& endpoint = *m_current.connection->endpoint;
  endpoint.load.OnReport(*report, m_context.clock.Now());
  if (m_admission != nullptr) {
    m_admission->OnReport(*report, m_context.clock.Now());
  }
  if (report->pace) {
    endpoint.performance.OnPace(*report->pace, m_context.clock.Now());
    m_context.metrics.GetCounter("forward_pace_reports_total{result=\"used\"}").Add();
  } else if (HasMalformedPace(field)) {
    m_context.metrics.GetCounter("forward_pace_reports_total{result=\"malformed\"}").Add();
    if (endpoint.performance.OnMalformedPace()) {
      Log(kPaceIgnored, {{"id", m_id},
                         {"endpoint", endpoint.record.name.value()},
                         {"value", field.substr(0, kMaxLoggedValue)}});
    }
  }
}

bool ForwardTask::IsEndpointsOwn(const http1::MessageHead& head) const {
  const WireNames& names = m_context.names;
  return head.status != detail::kStatusMisdirected &&
         (!http::FindHeader(head.headers, names.signature).empty() ||
          !http::FindHeader(head.headers, names.not_run).empty());
}

void ForwardTask::RecordRequestLimit(const http1::MessageHead& head) {
  // Bytes of another process, or none that the endpoint meant, say nothing of its limit.
  if (IsEndpointsOwn(head)) {
    m_context.on_request_limit(m_current.connection->endpoint,
                               balancing::ParseRequestLimit(
                                   http::FindHeader(head.headers, m_context.names.request_limit)));
  }
}

void ForwardTask::RecordPause(const http1::MessageHead& head) {
  const bool is_refusal = (head.status == detail::kStatusUnavailable ||
                           head.status == detail::kStatusTooManyRequests) &&
                          IsEndpointsOwn(head);
  if (!is_refusal) {
    return;
  }
  const balancing::EndpointPtr& endpoint = m_current.connection->endpoint;
  std::optional<std::chrono::nanoseconds> longest;
  for (const http::Header& header : head.headers) {
    if (!http::SameName(header.name, "Retry-After")) {
      continue;
    }
    const auto time = balancing::ParsePauseTime(header.value);
    if (time) {
      longest = std::max(longest.value_or(0ns), *time);
    } else {
      Log(kPauseIgnored, {{"id", m_id},
                          {"endpoint", endpoint->record.name.value()},
                          {"value", std::string_view(header.value).substr(0, kMaxLoggedValue)}});
    }
  }
  if (!longest || *longest == 0ns) {
    return;
  }
  const SteadyTime now = m_context.clock.Now();
  const auto spread =
      std::min<std::chrono::nanoseconds>(*longest / kPauseSpreadDivisor, kMaxPauseSpread);
  endpoint->pause.Extend(
      *longest + std::chrono::nanoseconds(static_cast<std::int64_t>(
                     m_context.random.NextFraction() * static_cast<double>(spread.count()))),
      endpoint->record.slots / static_cast<double>(m_context.OtherRouters() + 1), now);
  Log(kEndpointPaused, {{"id", m_id},
                        {"endpoint", endpoint->record.name.value()},
                        {"asked_ms", detail::ToMilliseconds(*longest)},
                        {"left_ms", detail::ToMilliseconds(endpoint->pause.WaitTime(now))}});
  m_context.metrics.GetCounter("forward_endpoint_pauses_total").Add();
}

void ForwardTask::RecordLeaving(const http1::MessageHead& head) {
  const balancing::EndpointPtr& endpoint = m_current.connection->endpoint;
  const bool is_success = head.status >= kOkFirst && head.status <= kOkLast;
  if (http::FindHeader(head.headers, m_context.names.leaving) != kLeaving ||
      IsMutantEnabled("forwarder_ignores_announced_leaving") ||
      (!is_success && IsMutantEnabled("forwarder_reads_leaving_from_successes_only")) ||
      !m_context.endpoints.OnLeaving(*endpoint)) {
    return;
  }
  Log(kEndpointLeaving, {{"endpoint", endpoint->record.name.value()},
                         {"service", endpoint->record.service.value()},
                         {"incarnation", endpoint->record.incarnation},
                         {"id", m_id},
                         {"status", head.status}});
  m_context.metrics.GetCounter("forward_endpoints_leaving_total").Add();
  if (!IsMutantEnabled("forwarder_uses_kept_connection_once_more")) {
    m_context.pool.CloseIdle(*endpoint);
  }
}

}  // namespace wagtailwind::forward
