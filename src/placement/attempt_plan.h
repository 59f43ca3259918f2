#ifndef WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_
#define WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "placement/admission_gate.h"

namespace wagtailwind::placement {

/// \brief Limits of the candidates that are asked for one request.
struct AttemptLimits {
  /// Refusals after which no further agent is asked, apart from last resorts.
  std::size_t max_candidates = 8;
  /// Refusals after which redirects go before the remaining candidates. The second candidate of a
  /// chat is its home or the next in rendezvous order, where an older part of the prefix may be.
  std::size_t redirects_after = 2;
  /// Agents that are asked for a last resort: the least loaded one may have left since it reported.
  std::size_t max_last_resorts = 3;
};

/// \brief One agent to ask.
struct PlannedAttempt {
  EndpointName endpoint;
  bool last_resort = false;
};

/// \brief Which agents a router asks for one request, given the refusals so far. Names an agent
/// twice only after it failed or redirected the request, and for last resorts. Used by one request
/// at a time.
class AttemptPlan {
 public:
  AttemptPlan(std::vector<EndpointName> candidates, AttemptLimits limits);

  /// \brief The agent to ask next; empty if the request has to be refused.
  [[nodiscard]] std::optional<PlannedAttempt> Next();

  /// \brief Takes the refusal of the agent that was named last.
  void OnRefusal(const AdmissionDecision& decision);

  /// \brief The agent that was named last did not answer. The pool may have no other one, so it is
  /// named again after all others.
  void OnFailure(requests::FailureReason reason);

  /// \brief Attempts that were planned.
  [[nodiscard]] std::size_t Asked() const noexcept { return m_count; }

  /// \brief What to tell the caller when Next() is empty.
  [[nodiscard]] requests::FailureReason FinalReason() const noexcept;

 private:
  [[nodiscard]] bool WasAsked(const EndpointName& endpoint) const;
  std::optional<EndpointName> TakeFrom(std::vector<EndpointName>& queue);
  std::optional<EndpointName> TakeNext();
  std::optional<PlannedAttempt> LastResort();

  AttemptLimits m_limits;
  /// Both are in reverse order: the next one is the last.
  std::vector<EndpointName> m_candidates;
  std::vector<EndpointName> m_redirects;
  std::vector<EndpointName> m_asked;
  /// Agents that did not answer, the first of them last.
  std::vector<EndpointName> m_failed;
  EndpointName m_current;
  std::size_t m_count = 0;
  std::optional<EndpointName> m_least_loaded;
  /// Agents that refused for their bound alone, in the order in which they were asked.
  std::vector<EndpointName> m_over_bound;
  /// In reverse order, once all candidates have refused.
  std::optional<std::vector<EndpointName>> m_last_resorts;
  requests::FailureReason m_reason = requests::FailureReason::kNoEndpoint;
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ATTEMPT_PLAN_H_
