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
    return LastResort();
  }
  std::optional<EndpointName> endpoint = TakeNext();
  if (!endpoint) {
    return LastResort();
  }
  if (!WasAsked(*endpoint)) {
    m_asked.push_back(*endpoint);
  }
  ++m_count;
  m_current = *endpoint;
  return PlannedAttempt{.endpoint = *std::move(endpoint)};
}

std::optional<EndpointName> AttemptPlan::TakeNext() {
  std::optional<EndpointName> endpoint;
  if (m_count >= m_limits.redirects_after || m_reason == FailureReason::kRedirected) {
    endpoint = TakeFrom(m_redirects);
  }
  if (!endpoint) {
    endpoint = TakeFrom(m_candidates);
  }
  if (!endpoint) {
    endpoint = TakeFrom(m_redirects);
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
    // The agent serves the request itself if it comes back, should the other one be gone.
    std::erase(m_asked, m_current);
    m_candidates.push_back(m_current);
  }
  if (decision.redirects.empty()) {
    return;
  }
  // The latest refusal has the freshest view of the pool.
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
  if (!m_last_resorts) {
    m_last_resorts = m_over_bound;
    std::reverse(m_last_resorts->begin(), m_last_resorts->end());
    // Only if an agent was at its bound: a draining one or one that limits the organisation
    // refuses in any case.
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
