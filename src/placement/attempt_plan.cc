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
  if (m_count >= m_limits.max_candidates) {
    return NextLastResort();
  }
  std::optional<EndpointName> endpoint = PopNext();
  if (!endpoint) {
    return NextLastResort();
  }
  if (!WasTried(*endpoint)) {
    m_tried.push_back(*endpoint);
  }
  ++m_count;
  m_current = *endpoint;
  return PlannedAttempt{.endpoint = *std::move(endpoint)};
}

std::optional<EndpointName> AttemptPlan::PopNext() {
  std::optional<EndpointName> endpoint;
  if (m_count >= m_limits.redirects_after || m_reason == FailureReason::kRedirected) {
    endpoint = PopUntried(m_redirects);
  }
  if (!endpoint) {
    endpoint = PopUntried(m_candidates);
  }
  if (!endpoint) {
    endpoint = PopUntried(m_redirects);
  }
  if (!endpoint && !m_failed.empty()) {
    endpoint = std::move(m_failed.back());
    m_failed.pop_back();
  }
  return endpoint;
}

void AttemptPlan::OnRefusal(const AdmissionDecision& decision) {
  m_reason = decision.reason;
  if (decision.reason == FailureReason::kOverBound && m_count > 0) {
    m_over_bound.push_back(m_current);
  }
  if (decision.reason == FailureReason::kRedirected) {
    // The redirecting agent stays a candidate: if the target of the redirect is gone, the request
    // returns and this agent serves it itself.
    std::erase(m_tried, m_current);
    m_candidates.push_back(m_current);
  }
  if (decision.redirects.empty()) {
    return;
  }
  // The latest refusal has the most recent view of the pool.
  m_redirects.assign(decision.redirects.rbegin(), decision.redirects.rend());
  std::erase(m_redirects, m_current);
  m_least_loaded = decision.redirects.front();
}

void AttemptPlan::OnFailure(FailureReason reason) {
  m_reason = reason;
  m_failed.insert(m_failed.begin(), m_current);
}

FailureReason AttemptPlan::FinalReason() const noexcept {
  return m_reason == FailureReason::kOverBound ? FailureReason::kFleetFull : m_reason;
}

bool AttemptPlan::WasTried(const EndpointName& endpoint) const {
  return std::find(m_tried.begin(), m_tried.end(), endpoint) != m_tried.end();
}

std::optional<EndpointName> AttemptPlan::PopUntried(std::vector<EndpointName>& queue) {
  while (!queue.empty()) {
    EndpointName endpoint = std::move(queue.back());
    queue.pop_back();
    if (!WasTried(endpoint)) {
      return endpoint;
    }
  }
  return std::nullopt;
}

std::optional<PlannedAttempt> AttemptPlan::NextLastResort() {
  if (!m_last_resorts) {
    m_last_resorts = m_over_bound;
    std::reverse(m_last_resorts->begin(), m_last_resorts->end());
    // The least loaded agent is tried only if some agent refused because of its bound. An agent
    // that drains or that limits the organisation would refuse a last resort as well.
    if (m_least_loaded && !m_over_bound.empty()) {
      std::erase(*m_last_resorts, *m_least_loaded);
      m_last_resorts->push_back(*m_least_loaded);
    }
    if (m_last_resorts->size() > m_limits.max_last_resorts) {
      m_last_resorts->erase(
          m_last_resorts->begin(),
          m_last_resorts->end() - static_cast<std::ptrdiff_t>(m_limits.max_last_resorts));
    }
  }
  if (m_last_resorts->empty()) {
    return std::nullopt;
  }
  PlannedAttempt attempt{.endpoint = std::move(m_last_resorts->back()), .last_resort = true};
  m_last_resorts->pop_back();
  return attempt;
}

}  // namespace wagtailwind::placement
