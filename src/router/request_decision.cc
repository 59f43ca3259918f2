#include "router/request_decision.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

bool IsBoundRefusal(FailureReason reason) noexcept {
  return reason == FailureReason::kOverBound || reason == FailureReason::kRedirected;
}

// Refusals that another agent would repeat, or that asking another agent would make worse: an
// organisation over its share would take the next agent's capacity, and an agent whose claim was
// left open by a platform failure is the only one that may use that claim again.
bool EndsRequest(FailureReason reason) noexcept {
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

bool Contains(const std::vector<Candidate>& candidates, const EndpointName& endpoint) {
  return std::any_of(candidates.begin(), candidates.end(), [&endpoint](const Candidate& candidate) {
    return candidate.endpoint == endpoint;
  });
}

}  // namespace

RequestDecision::RequestDecision(RequestPolicy policy, std::vector<Candidate> candidates,
                                 requests::RetryBudget& budget)
    : m_policy(policy),
      m_budget(budget),
      m_waiting(std::make_move_iterator(candidates.begin()),
                std::make_move_iterator(candidates.end())) {}

Step RequestDecision::Begin() {
  m_budget.OnRequest();
  return StartNext(false);
}

bool RequestDecision::IsCurrent(std::uint32_t attempt) noexcept {
  const bool current =
      attempt == m_attempt && m_phase != Phase::kIdle && m_phase != Phase::kFinished;
  m_unmatched += current ? 0U : 1U;
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
  m_only_bound_refusals = false;
  return StartNext(false);
}

Step RequestDecision::OnNotHandedOver(std::uint32_t attempt) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  // A hand-over that was reported is not taken back.
  if (m_phase != Phase::kStarting) {
    return AfterUnknown(FailureReason::kConnectionLost);
  }
  return AfterFailure(FailureReason::kNoEndpoint);
}

void RequestDecision::OnHandedOver(std::uint32_t attempt) {
  if (IsCurrent(attempt) && m_phase == Phase::kStarting) {
    m_phase = Phase::kHandedOver;
  }
}

Step RequestDecision::OnRefused(std::uint32_t attempt, const RefusalEvent& refusal) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  // An admitted attempt can't be refused any more, and one that was not handed over was not read.
  if (m_phase != Phase::kHandedOver) {
    ++m_unmatched;
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
  if (EndsRequest(refusal.reason)) {
    return Finish(refusal.reason);
  }
  m_only_bound_refusals = m_only_bound_refusals && IsBoundRefusal(refusal.reason);
  m_refused.push_back(m_current);
  Prepend(refusal.redirects);
  return StartNext(false);
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
  // "Not run" after the answer has begun contradicts itself and is not believed.
  const bool not_run =
      outcome == Outcome::kNotRun && (m_phase == Phase::kHandedOver || m_phase == Phase::kAdmitted);
  return not_run ? AfterFailure(reason) : AfterUnknown(reason);
}

Step RequestDecision::OnLost(std::uint32_t attempt, FailureReason reason) {
  return IsCurrent(attempt) ? AfterUnknown(reason) : Step{};
}

Step RequestDecision::OnAbort(FailureReason reason) {
  if (m_phase == Phase::kFinished) {
    ++m_unmatched;
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
  m_may_have_run = !MutantIs("lost_attempt_is_not_run");
  m_unknown_reason = reason;
  const bool may_run_twice = m_policy.repeatable || MutantIs("router_retries_once_only_calls");
  if (!may_run_twice || m_bytes_to_caller) {
    return Finish(reason);
  }
  return AfterFailure(reason);
}

Step RequestDecision::AfterFailure(FailureReason reason) {
  m_last_reason = reason;
  m_only_bound_refusals = false;
  m_phase = Phase::kIdle;
  ++m_failures;
  // The pool may have no other endpoint, so the failed one is tried again after all others.
  m_waiting.push_back(m_current);
  if (m_failures >= m_policy.max_admitted || m_asked >= m_policy.max_candidates ||
      !m_budget.TryTake()) {
    return Finish(reason);
  }
  return StartNext(true);
}

Step RequestDecision::StartNext(bool after_failure) {
  if (m_waiting.empty() || m_asked >= m_policy.max_candidates) {
    return WhenExhausted();
  }
  Candidate next = std::move(m_waiting.front());
  m_waiting.pop_front();
  return StartAt(std::move(next), false, after_failure ? m_failures : 0);
}

Step RequestDecision::StartAt(Candidate candidate, bool last_resort, std::uint32_t backoff) {
  m_current = std::move(candidate);
  m_phase = Phase::kStarting;
  ++m_asked;
  Step step;
  step.kind = Step::Kind::kAttempt;
  step.attempt = ++m_attempt;
  step.candidate = m_current;
  step.last_resort = last_resort;
  step.backoff = backoff;
  return step;
}

Step RequestDecision::WhenExhausted() {
  if (m_refused.empty() || !m_only_bound_refusals) {
    return Finish(m_last_reason);
  }
  if (m_last_resort_used) {
    return Finish(FailureReason::kFleetFull);
  }
  m_last_resort_used = true;
  const auto least = std::min_element(
      m_refused.begin(), m_refused.end(),
      [](const Candidate& a, const Candidate& b) { return a.load_ratio < b.load_ratio; });
  return StartAt(*least, true, 0);
}

Step RequestDecision::Finish(FailureReason reason) {
  m_phase = Phase::kFinished;
  Step step;
  step.kind = Step::Kind::kFinish;
  step.outcome = m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  step.reason = m_may_have_run ? m_unknown_reason : reason;
  step.retry_after = m_retry_after;
  return step;
}

void RequestDecision::Prepend(const std::vector<Candidate>& redirects) {
  for (auto redirect = redirects.rbegin(); redirect != redirects.rend(); ++redirect) {
    if (Contains(m_refused, redirect->endpoint)) {
      continue;
    }
    std::erase_if(m_waiting, [redirect](const Candidate& candidate) {
      return candidate.endpoint == redirect->endpoint;
    });
    m_waiting.push_front(*redirect);
  }
}

}  // namespace wagtailwind::router
