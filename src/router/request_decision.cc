#include "router/request_decision.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

// Whether a refusal ends the request, because another agent would refuse it too or because asking
// another agent would do harm: an organisation over its share would take the next agent's capacity,
// and if a platform failure left a claim open, only its agent may use that claim again.
bool IsFinalRefusal(FailureReason reason) noexcept {
  switch (reason) {
    case FailureReason::kMalformedRequest:
    case FailureReason::kUnknownOrganisation:
    case FailureReason::kBodyTooLarge:
    case FailureReason::kMissingRequestKey:
    case FailureReason::kInvalidRequestKey:
    case FailureReason::kRequestKeyExpired:
    case FailureReason::kRequestKeyAlreadyUsed:
    case FailureReason::kOrganisationOverShare:
    case FailureReason::kPlatformUnavailable:
    case FailureReason::kDeadlineExceeded:
      return true;
    default:
      return false;
  }
}

std::vector<EndpointName> EndpointNames(const std::vector<Candidate>& candidates) {
  std::vector<EndpointName> names;
  names.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    names.push_back(candidate.endpoint);
  }
  return names;
}

}  // namespace

RequestDecision::RequestDecision(RequestPolicy policy, std::vector<Candidate> candidates,
                                 requests::RetryBudget& budget)
    : m_policy(policy),
      m_budget(budget),
      m_plan(EndpointNames(candidates), policy.candidates),
      m_candidates(std::move(candidates)) {}

Step RequestDecision::Begin() {
  m_budget.OnRequest();
  return StartNext(0);
}

bool RequestDecision::IsCurrent(std::uint32_t attempt) noexcept {
  const bool current =
      attempt == m_attempt && m_phase != Phase::kIdle && m_phase != Phase::kFinished;
  m_unmatched_events += current ? 0U : 1U;
  return current;
}

bool RequestDecision::WasHandedOver() const noexcept {
  return m_phase == Phase::kHandedOver || m_phase == Phase::kAdmitted || m_phase == Phase::kHead;
}

Step RequestDecision::OnBreakerOpen(std::uint32_t attempt) {
  if (!IsCurrent(attempt) || m_phase != Phase::kStarting) {
    return {};
  }
  m_last_reason = FailureReason::kEndpointUnhealthy;
  m_plan.OnFailure(m_last_reason);
  return StartNext(0);
}

Step RequestDecision::OnNotHandedOver(std::uint32_t attempt) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  // After a reported hand-over, the attempt may have run.
  if (m_phase != Phase::kStarting) {
    return AfterUnknown(FailureReason::kConnectionLost);
  }
  return AfterFailure(FailureReason::kNoEndpoint, false);
}

void RequestDecision::OnHandedOver(std::uint32_t attempt) {
  if (IsCurrent(attempt) && m_phase == Phase::kStarting) {
    m_phase = Phase::kHandedOver;
    ++m_sent;
  }
}

Step RequestDecision::OnRefused(std::uint32_t attempt, const RefusalEvent& refusal) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  // An admitted attempt can no longer be refused, and one that was not handed over was not read.
  if (m_phase != Phase::kHandedOver) {
    ++m_unmatched_events;
    return {};
  }
  if (refusal.outcome != Outcome::kNotRun) {
    m_may_have_run = true;
    m_unknown_reason = refusal.reason;
    return Finish(refusal.reason);
  }
  m_last_reason = refusal.reason;
  m_retry_after = refusal.retry_after;
  m_phase = Phase::kIdle;
  if (IsFinalRefusal(refusal.reason)) {
    return Finish(refusal.reason);
  }
  UpdateCandidates(refusal.redirects);
  placement::AdmissionDecision decision;
  decision.reason = refusal.reason;
  decision.redirects = EndpointNames(refusal.redirects);
  m_plan.OnRefusal(decision);
  if (m_policy.charge_only_arrived_attempts && m_sent < m_policy.max_sent &&
      !m_budget.TryConsume()) {
    return Finish(refusal.reason);
  }
  return StartNext(0);
}

void RequestDecision::OnAdmitted(std::uint32_t attempt) {
  if (IsCurrent(attempt) && m_phase == Phase::kHandedOver) {
    m_phase = Phase::kAdmitted;
  }
}

void RequestDecision::OnHead(std::uint32_t attempt) {
  if (IsCurrent(attempt) && m_phase == Phase::kAdmitted) {
    m_phase = Phase::kHead;
  }
}

Step RequestDecision::OnComplete(std::uint32_t attempt) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  if (m_phase != Phase::kHead) {
    return AfterUnknown(FailureReason::kAgentLost);
  }
  m_phase = Phase::kFinished;
  Step step;
  step.kind = Step::Kind::kFinish;
  step.outcome = Outcome::kResult;
  return step;
}

Step RequestDecision::OnIncomplete(std::uint32_t attempt, Outcome outcome, FailureReason reason) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  // "Not run" is ignored once the answer has started, because it contradicts the answer.
  const bool not_run =
      outcome == Outcome::kNotRun && (m_phase == Phase::kHandedOver || m_phase == Phase::kAdmitted);
  return not_run ? AfterFailure(reason) : AfterUnknown(reason);
}

Step RequestDecision::OnLost(std::uint32_t attempt, FailureReason reason) {
  return IsCurrent(attempt) ? AfterUnknown(reason) : Step{};
}

Step RequestDecision::OnSilent(std::uint32_t attempt) {
  const bool may_move = IsCurrent(attempt) && WasHandedOver() && !m_set_aside &&
                        m_policy.repeatable && !m_bytes_to_caller;
  if (!may_move || m_failures + 1 >= m_policy.max_admitted || m_sent >= m_policy.max_sent ||
      !m_budget.TryConsume()) {
    return {};
  }
  m_set_aside = SetAside{.attempt = m_attempt, .phase = m_phase};
  m_last_reason = FailureReason::kEngineLost;
  m_phase = Phase::kIdle;
  return StartNext(m_failures + 1);
}

void RequestDecision::OnSetAsideResumed() {
  if (m_set_aside) {
    m_attempt = m_set_aside->attempt;
    m_phase = m_set_aside->phase;
    m_set_aside.reset();
  }
}

void RequestDecision::OnSetAsideLost() {
  if (m_set_aside) {
    m_set_aside.reset();
    m_may_have_run = true;
    m_unknown_reason = FailureReason::kEngineLost;
    ++m_failures;
  }
}

Step RequestDecision::OnAbort(FailureReason reason) {
  if (m_phase == Phase::kFinished) {
    ++m_unmatched_events;
    return {};
  }
  if (WasHandedOver()) {
    m_may_have_run = true;
    m_unknown_reason = reason;
  }
  m_last_reason = reason;
  return Finish(reason);
}

Step RequestDecision::AfterUnknown(FailureReason reason) {
  m_may_have_run = !IsMutantEnabled("lost_attempt_is_not_run");
  m_unknown_reason = reason;
  const bool may_repeat = m_policy.repeatable || IsMutantEnabled("router_retries_once_only_calls");
  if (!may_repeat || m_bytes_to_caller) {
    return Finish(reason);
  }
  return AfterFailure(reason);
}

Step RequestDecision::AfterFailure(FailureReason reason, bool was_handed_over) {
  m_last_reason = reason;
  m_phase = Phase::kIdle;
  ++m_failures;
  m_plan.OnFailure(reason);
  const bool needs_token = was_handed_over || !m_policy.charge_only_arrived_attempts;
  if (m_failures >= m_policy.max_admitted || m_sent >= m_policy.max_sent ||
      (needs_token && !m_budget.TryConsume())) {
    return Finish(reason);
  }
  return StartNext(m_failures);
}

Step RequestDecision::StartNext(std::uint32_t backoff) {
  std::optional<placement::PlannedAttempt> planned;
  if (m_sent < m_policy.max_sent) {
    planned = m_plan.Next();
  }
  if (!planned) {
    return Finish(m_last_reason == FailureReason::kOverBound ? FailureReason::kFleetFull
                                                             : m_last_reason);
  }
  m_phase = Phase::kStarting;
  Step step;
  step.kind = Step::Kind::kAttempt;
  m_attempt = ++m_attempts;
  step.attempt = m_attempt;
  step.candidate = *std::find_if(
      m_candidates.begin(), m_candidates.end(),
      [&planned](const Candidate& known) { return known.endpoint == planned->endpoint; });
  step.last_resort = planned->last_resort;
  step.backoff = backoff;
  return step;
}

Step RequestDecision::Finish(FailureReason reason) {
  m_phase = Phase::kFinished;
  const bool may_have_run = m_may_have_run || m_set_aside;
  Step step;
  step.kind = Step::Kind::kFinish;
  step.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  step.reason = m_may_have_run ? m_unknown_reason : reason;
  step.retry_after = m_retry_after;
  return step;
}

void RequestDecision::UpdateCandidates(const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    // Data from a redirect is newer than the stored data, such as the incarnation of a restarted
    // agent.
    std::erase_if(m_candidates, [&candidate](const Candidate& known) {
      return known.endpoint == candidate.endpoint;
    });
    m_candidates.push_back(candidate);
  }
}

}  // namespace wagtailwind::router
