#ifndef WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_
#define WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "placement/admission_gate.h"

namespace wagtailwind::placement {

/// \brief Limits of the attempts for one request.
struct AttemptLimits {
  /// Attempts after which no further agent is tried, apart from last resorts.
  std::size_t max_candidates = 8;
  /// Attempts after which redirects are tried before the remaining candidates. The second candidate
  /// of a chat is its home agent or the next one in rendezvous order, which may have an older part
  /// of the prefix.
  std::size_t redirects_after = 2;
  /// Agents that are tried as a last resort. More than one, because the least loaded agent may have
  /// left since it reported its load.
  std::size_t max_last_resorts = 3;
};

/// \brief The next attempt of a request.
struct PlannedAttempt {
  EndpointName endpoint;
  /// The agent is asked to admit up to its capacity instead of its bound.
  bool last_resort = false;
};

/// \brief Chooses the agents that a router tries for one request, given the refusals so far.
/// Repeats an agent only after it failed or redirected the request, and as a last resort. Each
/// request has its own plan.
class AttemptPlan {
 public:
  AttemptPlan(std::vector<EndpointName> candidates, AttemptLimits limits);

  /// \brief Returns the next attempt; empty if the request has to be refused.
  [[nodiscard]] std::optional<PlannedAttempt> Next();

  /// \brief Records that the agent of the latest attempt refused the request.
  void OnRefusal(const AdmissionDecision& decision);

  /// \brief Records that the agent of the latest attempt did not answer. It is tried again after
  /// all others, because the pool may have no other agent.
  void OnFailure(requests::FailureReason reason);

  /// \brief Number of attempts so far, without last resorts.
  [[nodiscard]] std::size_t AttemptCount() const noexcept { return m_count; }

  /// \brief Reason for the caller when Next() is empty.
  [[nodiscard]] requests::FailureReason FinalReason() const noexcept;

 private:
  [[nodiscard]] bool WasTried(const EndpointName& endpoint) const;
  /// Removes endpoints from the back of the list up to the first that was not tried yet.
  std::optional<EndpointName> PopUntried(std::vector<EndpointName>& queue);
  std::optional<EndpointName> PopNext();
  std::optional<PlannedAttempt> NextLastResort();

  AttemptLimits m_limits;
  /// The candidates and redirects are stored in reverse order: the next one is at the back.
  std::vector<EndpointName> m_candidates;
  std::vector<EndpointName> m_redirects;
  std::vector<EndpointName> m_tried;
  /// Agents that did not answer, in reverse order of their attempts.
  std::vector<EndpointName> m_failed;
  EndpointName m_current;
  std::size_t m_count = 0;
  std::optional<EndpointName> m_least_loaded;
  /// Agents that refused because of their bound, in the order of the attempts.
  std::vector<EndpointName> m_over_bound;
  /// Agents for last resorts in reverse order; empty until all candidates have refused.
  std::optional<std::vector<EndpointName>> m_last_resorts;
  requests::FailureReason m_reason = requests::FailureReason::kNoEndpoint;
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_
