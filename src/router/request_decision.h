#ifndef WAGTAILWIND_ROUTER_REQUEST_DECISION_H_
#define WAGTAILWIND_ROUTER_REQUEST_DECISION_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "placement/attempt_plan.h"
#include "requests/outcome.h"
#include "requests/retry_budget.h"

namespace wagtailwind::router {

/// \brief An agent or endpoint that may serve a request.
struct Candidate {
  EndpointName endpoint;
  /// Where attempts are sent: `ip:port`.
  std::string address;
  Incarnation incarnation = 0;
};

/// \brief Limits on the attempts of one request.
struct RequestPolicy {
  /// A call that is not repeatable is never attempted again once an attempt may have run.
  bool repeatable = true;
  /// Maximum number of attempts that failed or that an agent admitted.
  std::uint32_t max_admitted = 3;
  placement::AttemptLimits candidates{};
  /// Maximum number of attempts that are handed over, including refused ones.
  std::uint32_t max_sent = std::numeric_limits<std::uint32_t>::max();
  /// If true, the retry budget limits the attempts that arrive at endpoints: a refused attempt
  /// costs a token, and one that was not handed over costs none.
  bool charge_only_arrived_attempts = false;
};

/// \brief Refusal of an attempt by its agent.
struct RefusalEvent {
  requests::Outcome outcome = requests::Outcome::kNotRun;
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  /// Agents that the refusing agent suggests, best first.
  std::vector<Candidate> redirects{};
};

/// \brief The action to take after an event.
struct Step {
  enum class Kind : std::uint8_t {
    /// No action.
    kContinue,
    /// Start `attempt` at `candidate`. If `backoff` is above 0, wait for the backoff of that retry
    /// number first.
    kAttempt,
    /// The request has ended. Cancel the running attempt, if any.
    kFinish,
  };

  Kind kind = Kind::kContinue;
  std::uint32_t attempt = 0;
  Candidate candidate;
  bool last_resort = false;
  std::uint32_t backoff = 0;
  requests::Outcome outcome = requests::Outcome::kUnknown;
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
};

/// \brief Decides for one request which attempt comes next and which outcome is reported to the
/// caller. Performs no I/O and reads no clock. Events of an attempt that is no longer the current
/// one are ignored and counted.
class RequestDecision {
 public:
  /// \brief `budget` must outlive the object.
  RequestDecision(RequestPolicy policy, std::vector<Candidate> candidates,
                  requests::RetryBudget& budget);

  /// \brief Returns the first attempt, or kFinish if there is no candidate.
  [[nodiscard]] Step Begin();

  /// \name Events of an attempt
  /// @{

  /// \brief The endpoint's circuit breaker is open; the attempt was not started.
  [[nodiscard]] Step OnBreakerOpen(std::uint32_t attempt);

  /// \brief No connection was established.
  [[nodiscard]] Step OnNotHandedOver(std::uint32_t attempt);

  /// \brief The attempt is about to be written to a connection.
  void OnHandedOver(std::uint32_t attempt);

  [[nodiscard]] Step OnRefused(std::uint32_t attempt, const RefusalEvent& refusal);
  void OnAdmitted(std::uint32_t attempt);

  /// \brief The endpoint's answer has started.
  void OnHead(std::uint32_t attempt);

  /// \brief The complete answer has arrived.
  [[nodiscard]] Step OnComplete(std::uint32_t attempt);

  /// \brief The agent ended the attempt without a complete answer.
  [[nodiscard]] Step OnIncomplete(std::uint32_t attempt, requests::Outcome outcome,
                                  requests::FailureReason reason);

  /// \brief The attempt was lost after it was handed over.
  [[nodiscard]] Step OnLost(std::uint32_t attempt, requests::FailureReason reason);
  /// @}

  /// \name Attempts that are set aside
  /// A silent attempt may still be answered. It is set aside while another endpoint is asked, so
  /// that it can go on if that endpoint refuses.
  /// @{

  /// \brief The attempt is silent. Returns the attempt that asks another endpoint, and sets this
  /// one aside; kContinue if no other attempt is allowed; or kFinish if no endpoint is left.
  [[nodiscard]] Step OnSilent(std::uint32_t attempt);

  /// \brief The attempt that was set aside is the current one again.
  void OnSetAsideResumed();

  /// \brief The attempt that was set aside is given up.
  void OnSetAsideLost();
  /// @}

  /// \name Events of the request
  /// @{

  /// \brief At least one byte of the answer has been sent to the caller.
  void OnBytesToCaller() noexcept { m_bytes_to_caller = true; }

  /// \brief The request ends early: at its deadline, because the caller disconnected, at a
  /// shutdown, or because the answer is over a limit.
  [[nodiscard]] Step OnAbort(requests::FailureReason reason);
  /// @}

  /// \brief Number of events that did not belong to the current attempt.
  [[nodiscard]] std::uint32_t unmatched_events() const noexcept { return m_unmatched_events; }
  [[nodiscard]] std::uint32_t attempts() const noexcept { return m_attempts; }
  [[nodiscard]] bool finished() const noexcept { return m_phase == Phase::kFinished; }

 private:
  enum class Phase : std::uint8_t { kIdle, kStarting, kHandedOver, kAdmitted, kHead, kFinished };

  [[nodiscard]] bool IsCurrent(std::uint32_t attempt) noexcept;
  [[nodiscard]] bool WasHandedOver() const noexcept;
  [[nodiscard]] Step StartNext(std::uint32_t backoff);
  [[nodiscard]] Step AfterFailure(requests::FailureReason reason, bool was_handed_over = true);
  [[nodiscard]] Step AfterUnknown(requests::FailureReason reason);
  [[nodiscard]] Step Finish(requests::FailureReason reason);
  void UpdateCandidates(const std::vector<Candidate>& candidates);

  const RequestPolicy m_policy;
  requests::RetryBudget& m_budget;
  placement::AttemptPlan m_plan;
  /// The endpoints that the plan may choose, with their addresses.
  std::vector<Candidate> m_candidates;
  Phase m_phase = Phase::kIdle;
  /// Number of attempts that were started.
  std::uint32_t m_attempts = 0;
  /// Number of the current attempt.
  std::uint32_t m_attempt = 0;
  struct SetAside {
    std::uint32_t attempt = 0;
    Phase phase = Phase::kIdle;
  };
  std::optional<SetAside> m_set_aside;
  std::uint32_t m_failures = 0;
  std::uint32_t m_sent = 0;
  std::uint32_t m_unmatched_events = 0;
  bool m_bytes_to_caller = false;
  /// Whether an attempt may have run. If so, the outcome is never "not run".
  bool m_may_have_run = false;
  requests::FailureReason m_unknown_reason = requests::FailureReason::kNone;
  requests::FailureReason m_last_reason = requests::FailureReason::kNoEndpoint;
  std::chrono::milliseconds m_retry_after{0};
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_REQUEST_DECISION_H_
