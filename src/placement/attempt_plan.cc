#include "placement/attempt_plan.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::placement {

using requests::FailureReason;

AttemptPlan::AttemptPlan(std::vector<EndpointName> candidates, AttemptLimits limits)
    : m_limits(limits), m_candidates(std::move(candidates)) {
  std::reverse(m_candidates.begin(), m_candidates.end());
}

std::optional<PlannedAttempt> AttemptPlan::Next() {
  if (m_asked.size() >= m_limits.max_candidates) {
    return LastResort();
  }
  std::optional<EndpointName> endpoint;
  if (m_asked.size() >= m_limits.redirects_after || m_reason == FailureReason::kRedirected) {
    endpoint = TakeFrom(m_redirects);
  }
  if (!endpoint) {
    endpoint = TakeFrom(m_candidates);
  }
  if (!endpoint) {
    endpoint = TakeFrom(m_redirects);
  }
  if (!endpoint) {
    return LastResort();
  }
  m_asked.push_back(*endpoint);
  return PlannedAttempt{.endpoint = *std::move(endpoint)};
}

void AttemptPlan::OnRefusal(const AdmissionDecision& decision) {
  m_reason = decision.reason;
  if (decision.reason == FailureReason::kOverBound && !m_over_bound && !m_asked.empty()) {
    m_over_bound = m_asked.back();
  }
  if (decision.redirects.empty()) {
    return;
  }
  // The latest refusal has the freshest view of the pool.
  m_redirects.assign(decision.redirects.rbegin(), decision.redirects.rend());
  m_least_loaded = decision.redirects.front();
}

FailureReason AttemptPlan::FinalReason() const noexcept {
  return m_reason == FailureReason::kOverBound ? FailureReason::kFleetFull : m_reason;
}

bool AttemptPlan::WasAsked(const EndpointName& endpoint) const {
  return std::find(m_asked.begin(), m_asked.end(), endpoint) != m_asked.end();
}

std::optional<EndpointName> AttemptPlan::TakeFrom(std::vector<EndpointName>& queue) {
  while (!queue.empty()) {
    EndpointName endpoint = std::move(queue.back());
    queue.pop_back();
    if (!WasAsked(endpoint)) {
      return endpoint;
    }
  }
  return std::nullopt;
}

std::optional<PlannedAttempt> AttemptPlan::LastResort() {
  // Only agents at their bound are asked again: a draining one or one that limits the
  // organisation refuses in any case.
  if (m_tried_last_resort || !m_over_bound) {
    return std::nullopt;
  }
  m_tried_last_resort = true;
  return PlannedAttempt{.endpoint = m_least_loaded.value_or(*m_over_bound), .last_resort = true};
}

}  // namespace wagtailwind::placement
