#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_

#include <string>
#include <vector>

#include "placement/attempt_plan.h"

namespace wagtailwind::placement_model {

/// \brief Algorithm that places the requests of a run.
enum class PolicyKind { kRandom, kTwoChoices, kRendezvous, kBoundedHashing, kWagtailwind };

/// \brief A policy to compare. The `use_` switches apply to kWagtailwind only.
struct Policy {
  std::string name;
  PolicyKind kind = PolicyKind::kWagtailwind;
  /// Requests carry a hint to the endpoint that served the chat last.
  bool use_hint = true;
  /// The chat's home agent redirects to the endpoint that served the chat last.
  bool use_home_pointer = true;
  /// A request may wait for the engine that has its prefix.
  bool use_prefix_wait = true;
  /// A prefix may be transferred to another engine.
  bool use_prefix_transfer = true;
  /// Bound of an engine's load as a multiple of the mean load.
  double load_multiple = 1.25;
  placement::AttemptLimits limits;
};

/// \brief Returns the baselines, the policy of wagtailwind and variants of it.
[[nodiscard]] std::vector<Policy> MakePolicies(double load_multiple);

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_
