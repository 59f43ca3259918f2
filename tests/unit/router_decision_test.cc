#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "requests/retry_budget.h"
#include "router/request_decision.h"

namespace {

using wagtailwind::EndpointName;
using wagtailwind::requests::FailureReason;
using wagtailwind::requests::Outcome;
using wagtailwind::requests::RetryBudget;
using wagtailwind::router::Candidate;
using wagtailwind::router::RefusalEvent;
using wagtailwind::router::RequestDecision;
using wagtailwind::router::RequestPolicy;
using wagtailwind::router::Step;

std::vector<Candidate> Candidates(int count) {
  std::vector<Candidate> candidates;
  candidates.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    candidates.push_back({EndpointName("e" + std::to_string(i)), "", 1});
  }
  return candidates;
}

enum class Event : std::uint8_t {
  kBreakerOpen,
  kNotHandedOver,
  kHandedOver,
  kRefusedForBound,
  kRedirected,
  kRefusedForKey,
  kRefusedForPlatform,
  kAdmitted,
  kHead,
  kBytes,
  kComplete,
  kEndedNotRun,
  kEndedUnknown,
  kLost,
  kDeadline,
  kLateRefusal,
  kLateComplete,
  kCount,
};

/// Tracks the events of one request and checks the attempts and the outcome that are decided.
class Checker {
 public:
  Checker(RequestPolicy policy, int candidates)
      : m_policy(policy), m_decision(policy, Candidates(candidates), m_budget) {
    Check(m_decision.Begin());
  }

  void Feed(Event event) {
    const bool was_finished = m_finished;
    const Step step = Apply(event);
    if (was_finished) {
      cr_assert_eq(step.kind, Step::Kind::kContinue, "a finished request must stay finished");
      return;
    }
    Check(step);
  }

  [[nodiscard]] bool finished() const { return m_finished; }

 private:
  Step Apply(Event event) {
    const std::uint32_t current = m_attempt;
    switch (event) {
      case Event::kBreakerOpen:
        return m_decision.OnBreakerOpen(current);
      case Event::kNotHandedOver:
        return m_decision.OnNotHandedOver(current);
      case Event::kHandedOver:
        m_decision.OnHandedOver(current);
        m_may_run = m_may_run || !m_finished;
        return {};
      case Event::kRefusedForBound:
        return Refuse(Outcome::kNotRun, FailureReason::kOverBound, {});
      case Event::kRedirected:
        return Refuse(Outcome::kNotRun, FailureReason::kRedirected, Candidates(3));
      case Event::kRefusedForKey:
        return Refuse(Outcome::kUnknown, FailureReason::kRequestKeyAlreadyUsed, {});
      case Event::kRefusedForPlatform:
        return Refuse(Outcome::kNotRun, FailureReason::kPlatformUnavailable, {});
      case Event::kAdmitted:
        m_decision.OnAdmitted(current);
        m_admitted = m_admitted || m_may_run;
        return {};
      case Event::kHead:
        m_decision.OnHead(current);
        m_head = m_head || m_admitted;
        return {};
      case Event::kBytes:
        if (m_head) {
          m_bytes = true;
          m_decision.OnBytesToCaller();
        }
        return {};
      case Event::kComplete:
        return m_decision.OnComplete(current);
      case Event::kEndedNotRun:
        m_may_run = m_may_run && m_head;
        return m_decision.OnIncomplete(current, Outcome::kNotRun, FailureReason::kEngineLost);
      case Event::kEndedUnknown:
        m_lost = true;
        return m_decision.OnIncomplete(current, Outcome::kUnknown, FailureReason::kEngineLost);
      case Event::kLost:
        m_lost = true;
        return m_decision.OnLost(current, FailureReason::kConnectionLost);
      case Event::kDeadline:
        return m_decision.OnAbort(FailureReason::kDeadlineExceeded);
      case Event::kLateRefusal:
        return m_decision.OnRefused(current - 1, {});
      default:
        return m_decision.OnComplete(current - 1);
    }
  }

  Step Refuse(Outcome outcome, FailureReason reason, std::vector<Candidate> redirects) {
    // Only an attempt that was handed over and is not admitted can be refused.
    if (m_may_run && !m_admitted && outcome == Outcome::kNotRun) {
      m_may_run = false;
    }
    return m_decision.OnRefused(m_attempt, RefusalEvent{outcome, reason, {}, std::move(redirects)});
  }

  void Check(const Step& step) {
    if (step.kind == Step::Kind::kAttempt) {
      CheckAttempt(step);
    } else if (step.kind == Step::Kind::kFinish) {
      CheckFinish(step);
    }
  }

  void CheckAttempt(const Step& step) {
    cr_assert_not(m_bytes, "an attempt after bytes to the caller would join two answers");
    cr_assert(m_policy.repeatable || !(m_may_run || m_lost),
              "a call that is not repeatable was attempted twice");
    cr_assert_eq(step.attempt, m_attempt + 1);
    cr_assert_leq(step.attempt,
                  m_policy.candidates.max_candidates + m_policy.candidates.max_last_resorts);
    m_attempt = step.attempt;
    m_unknown_before = m_unknown_before || m_may_run || m_lost;
    m_may_run = m_admitted = m_head = m_lost = false;
  }

  void CheckFinish(const Step& step) {
    m_finished = true;
    if (step.outcome == Outcome::kNotRun) {
      cr_assert_not(m_may_run || m_lost || m_unknown_before,
                    "a lost attempt was reported as not run");
    }
    if (step.outcome == Outcome::kResult) {
      cr_assert(m_head, "a result without an answer");
    }
  }

  const RequestPolicy m_policy;
  RetryBudget m_budget;
  RequestDecision m_decision;
  std::uint32_t m_attempt = 0;
  bool m_may_run = false;
  bool m_admitted = false;
  bool m_head = false;
  bool m_bytes = false;
  bool m_lost = false;
  bool m_unknown_before = false;
  bool m_finished = false;
};

void TryAllSequences(const RequestPolicy& policy, int candidates, std::vector<Event>& events,
                     std::size_t depth) {
  Checker checker(policy, candidates);
  for (const Event event : events) {
    checker.Feed(event);
  }
  if (depth == 0) {
    return;
  }
  for (int i = 0; i < static_cast<int>(Event::kCount); ++i) {
    events.push_back(static_cast<Event>(i));
    TryAllSequences(policy, candidates, events, depth - 1);
    events.pop_back();
  }
}

Step RefuseUntilLastResort(RequestDecision& decision, FailureReason reason,
                           std::uint32_t& attempt_count) {
  Step step = decision.Begin();
  while (step.kind == Step::Kind::kAttempt && !step.last_resort) {
    ++attempt_count;
    decision.OnHandedOver(step.attempt);
    step = decision.OnRefused(step.attempt, {Outcome::kNotRun, reason, {}, {}});
  }
  return step;
}

}  // namespace

// Guards against "not run" after an attempt that may have run, and against a second attempt of a
// call that is not repeatable, under every order of four events.
Test(request_decision, keeps_the_outcome_rules_under_every_order_of_events) {
  for (const bool repeatable : {false, true}) {
    for (const int candidates : {0, 1, 3}) {
      std::vector<Event> events;
      TryAllSequences({.repeatable = repeatable}, candidates, events, 4);
    }
  }
}

// Guards against the same faults in long runs, and against requests that never end.
Test(request_decision, is_bounded_in_random_runs) {
  wagtailwind::SeededRandomSource random(11);
  for (int run = 0; run < 20'000; ++run) {
    Checker checker({.repeatable = run % 2 == 0}, run % 12);
    for (int i = 0; i < 60; ++i) {
      checker.Feed(static_cast<Event>(random.NextBelow(static_cast<std::uint64_t>(Event::kCount))));
    }
  }
}

// Guards against attempts at every endpoint of the fleet, and against last-resort attempts far from
// the prefix: without redirects, the first candidates are tried again.
Test(request_decision, asks_eight_candidates_then_three_last_resorts) {
  RetryBudget budget({0, 0});
  RequestDecision decision({}, Candidates(12), budget);
  std::uint32_t attempt_count = 0;
  Step step = RefuseUntilLastResort(decision, FailureReason::kOverBound, attempt_count);
  cr_assert_eq(attempt_count, 8U);
  for (const char* endpoint : {"e0", "e1", "e2"}) {
    cr_assert_eq(step.kind, Step::Kind::kAttempt);
    cr_assert(step.last_resort);
    cr_assert_eq(step.candidate.endpoint, EndpointName(endpoint));
    decision.OnHandedOver(step.attempt);
    step = decision.OnRefused(step.attempt, {Outcome::kNotRun, FailureReason::kOverBound, {}, {}});
  }
  cr_assert_eq(step.kind, Step::Kind::kFinish);
  cr_assert_eq(step.outcome, Outcome::kNotRun);
  cr_assert_eq(step.reason, FailureReason::kFleetFull);
}

// Guards against a last-resort attempt after refusals for reasons other than kOverBound.
Test(request_decision, has_no_last_resort_for_other_refusals) {
  RetryBudget budget;
  RequestDecision decision({}, Candidates(2), budget);
  std::uint32_t attempt_count = 0;
  const Step end = RefuseUntilLastResort(decision, FailureReason::kDraining, attempt_count);
  cr_assert_eq(attempt_count, 2U);
  cr_assert_eq(end.kind, Step::Kind::kFinish);
  cr_assert_eq(end.reason, FailureReason::kDraining);
}

// Guards against ignored redirects and against a redirect loop.
Test(request_decision, follows_redirects_first_and_never_back) {
  RetryBudget budget;
  RequestDecision decision({}, Candidates(2), budget);
  const Step first = decision.Begin();
  decision.OnHandedOver(first.attempt);
  const Candidate elsewhere{EndpointName("elsewhere"), "", 1};
  const Step second = decision.OnRefused(
      first.attempt,
      {Outcome::kNotRun, FailureReason::kRedirected, {}, {first.candidate, elsewhere}});
  cr_assert_eq(second.candidate.endpoint, elsewhere.endpoint);
  cr_assert_eq(second.backoff, 0U);
  // If the other endpoint is unreachable, the home agent is tried again before any third one.
  const Step third = decision.OnNotHandedOver(second.attempt);
  cr_assert_eq(third.candidate.endpoint, first.candidate.endpoint);
}

// Guards against retries without budget: an outage must not multiply the load.
Test(request_decision, retries_failures_within_the_budget_and_three_times_at_most) {
  RetryBudget empty_budget({0, 0});
  RequestDecision without_budget({}, Candidates(3), empty_budget);
  cr_assert_eq(without_budget.OnNotHandedOver(without_budget.Begin().attempt).outcome,
               Outcome::kNotRun);
  RetryBudget budget;
  RequestDecision decision({}, Candidates(9), budget);
  Step step = decision.Begin();
  std::uint32_t attempts = 0;
  while (step.kind == Step::Kind::kAttempt) {
    ++attempts;
    decision.OnHandedOver(step.attempt);
    decision.OnAdmitted(step.attempt);
    step = decision.OnLost(step.attempt, FailureReason::kConnectionLost);
  }
  cr_assert_eq(attempts, 3U);
  cr_assert_eq(step.outcome, Outcome::kUnknown);
}

/// A silent first attempt and a second one that was sent, to two of two endpoints.
struct SilentRequest {
  explicit SilentRequest(bool answer_began) {
    first = decision.Begin();
    decision.OnHandedOver(first.attempt);
    if (answer_began) {
      decision.OnAdmitted(first.attempt);
      decision.OnHead(first.attempt);
    }
    second = decision.OnSilent(first.attempt);
    cr_assert_eq(second.kind, Step::Kind::kAttempt);
    cr_assert_eq(second.attempt, 2U);
    decision.OnHandedOver(second.attempt);
  }

  static RequestPolicy Policy() {
    RequestPolicy policy;
    policy.max_sent = 2;
    policy.candidates = {.max_candidates = 4, .max_last_resorts = 0};
    policy.charge_only_arrived_attempts = true;
    return policy;
  }

  RetryBudget budget;
  RequestDecision decision{Policy(), Candidates(2), budget};
  Step first;
  Step second;
};

// Guards against losing the answer of a silent attempt because another endpoint refused the
// request, and against calling a request not run while the silent attempt may run it.
Test(request_decision, silent_attempt_can_go_on) {
  SilentRequest request(true);
  const Step refused =
      request.decision.OnRefused(request.second.attempt, {.reason = FailureReason::kOverBound});
  cr_assert_eq(refused.kind, Step::Kind::kFinish);
  cr_assert_eq(refused.outcome, Outcome::kUnknown);
  request.decision.OnSetAsideResumed();
  cr_assert_eq(request.decision.OnSilent(request.first.attempt).kind, Step::Kind::kContinue);
  const Step complete = request.decision.OnComplete(request.first.attempt);
  cr_assert_eq(complete.kind, Step::Kind::kFinish);
  cr_assert_eq(complete.outcome, Outcome::kResult);
}

// Guards against an unknown outcome where both endpoints say that they have not run the request.
Test(request_decision, silent_attempt_can_still_be_refused) {
  SilentRequest request(false);
  (void)request.decision.OnRefused(request.second.attempt, {.reason = FailureReason::kOverBound});
  request.decision.OnSetAsideResumed();
  const Step step =
      request.decision.OnRefused(request.first.attempt, {.reason = FailureReason::kOverBound});
  cr_assert_eq(step.kind, Step::Kind::kFinish);
  cr_assert_eq(step.outcome, Outcome::kNotRun);
}

// Guards against calling a request not run that a silent attempt, which was given up, may have run.
Test(request_decision, silent_attempt_that_is_given_up_may_have_run) {
  SilentRequest request(false);
  request.decision.OnSetAsideLost();
  const Step step =
      request.decision.OnRefused(request.second.attempt, {.reason = FailureReason::kOverBound});
  cr_assert_eq(step.kind, Step::Kind::kFinish);
  cr_assert_eq(step.outcome, Outcome::kUnknown);
}
