#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_

#include <string>
#include <vector>

#include "placement/attempt_plan.h"

namespace wagtailwind::placement_model {

/// \brief How requests are placed in a run.
enum class PolicyKind { kRandom, kTwoChoices, kRendezvous, kBoundedHashing, kWagtailwind };

/// \brief A policy of the comparison; the switches are those of this project's policy.
struct Policy {
  std::string name;
  PolicyKind kind = PolicyKind::kWagtailwind;
  bool use_hint = true;
  bool use_pointer = true;
  bool use_wait = true;
  bool use_move = true;
  double load_multiple = 1.25;
  placement::AttemptLimits limits;
};

/// \brief Baselines, this project's policy, and its variants.
[[nodiscard]] std::vector<Policy> AllPolicies(double load_multiple);

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_POLICY_H_
