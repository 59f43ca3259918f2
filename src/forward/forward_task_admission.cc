// Refusals of requests for which the endpoints of their service have no capacity in time.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "forward/forward_task.h"
#include "forward/log_events.h"
#include "forward/task_common.h"

namespace wagtailwind::forward {

using requests::FailureReason;

bool ForwardTask::CheckAdmission(const balancing::Ranking& ranked, double cost) {
  if (!m_context.has_admission_control) {
    return true;
  }
  m_admission = &m_context.admission[m_service.value()];
  double slots = 0;
  for (const balancing::EndpointPtr& endpoint : m_context.endpoints.Usable(m_service.value())) {
    slots += endpoint->record.slots;
  }
  const double occupancy = (ranked.own_load + ranked.others_load) / std::max(slots, 1.0);
  const double cached = m_prompt && m_at_home ? static_cast<double>(m_prompt->tokens) : 0.0;
  const double work = std::max(cost - cached, 1.0);
  const SteadyTime now = m_context.clock.Now();
  const bool was_limiting = m_admission->IsLimiting();
  const balancing::AdmissionDecision decision =
      m_admission->Decide({.priority = m_priority,
                           .organisation = m_organisation,
                           .route = m_route->name,
                           .work = work,
                           .objective = m_route->objective,
                           .time_left = TimeLeft()},
                          occupancy, now, m_context.random);
  ReportShortage(was_limiting, now);
  if (decision.IsAdmitted()) {
    m_admission_ticket = decision.ticket;
    return true;
  }
  RefuseAdmission(decision, work, occupancy);
  return false;
}

void ForwardTask::RefuseAdmission(const balancing::AdmissionDecision& decision, double work,
                                  double occupancy) {
  const SteadyTime now = m_context.clock.Now();
  std::optional<std::chrono::milliseconds> retry_after;
  if (decision.retry_after) {
    retry_after = std::chrono::floor<std::chrono::milliseconds>(*decision.retry_after);
  }
  const std::string_view why = balancing::ToText(decision.reason);
  Log(kAdmissionRefused, {{"id", m_id},
                          {"service", m_service.value()},
                          {"organisation", m_organisation.value()},
                          {"route", m_route->name},
                          {"priority", m_priority},
                          {"reason", why},
                          {"work", work},
                          {"returning", decision.is_returning ? 1 : 0},
                          {"admitted_fraction", m_admission->AdmittedFraction(now)},
                          {"lateness", m_admission->Lateness(now)},
                          {"occupancy", occupancy},
                          {"retry_after_ms", retry_after ? retry_after->count() : -1}});
  m_context.metrics
      .GetCounter("forward_admission_refused_total{priority=\"" + std::to_string(m_priority) +
                  "\",reason=\"" + std::string(why) + "\"}")
      .Add();
  RefuseUntil(detail::kStatusUnavailable,
              decision.reason == balancing::AdmissionReason::kOrganisationShare
                  ? FailureReason::kOrganisationOverShare
                  : FailureReason::kOverBound,
              retry_after);
}

void ForwardTask::ReportShortage(bool was_limiting, SteadyTime now) {
  const bool is_limiting = m_admission->IsLimiting();
  if (!was_limiting && !is_limiting) {
    return;
  }
  m_context.metrics
      .GetGauge("forward_admitted_fraction{service=\"" + std::string(m_service.value()) + "\"}")
      .Set(m_admission->AdmittedFraction(now));
  if (is_limiting != was_limiting) {
    Log(is_limiting ? kShortageBegan : kShortageEnded,
        {{"service", m_service.value()},
         {"lateness", m_admission->Lateness(now)},
         {"admitted_fraction", m_admission->AdmittedFraction(now)}});
  }
}

void ForwardTask::EndAdmission(bool is_served) {
  if (const auto ticket = std::exchange(m_admission_ticket, std::nullopt)) {
    m_admission->OnEnded(*ticket, is_served, m_context.clock.Now());
  }
}

}  // namespace wagtailwind::forward
