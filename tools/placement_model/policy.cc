#include "placement_model/policy.h"

namespace wagtailwind::placement_model {

std::vector<Policy> MakePolicies(double load_multiple) {
  Policy base;
  base.name = "wagtailwind";
  base.load_multiple = load_multiple;
  std::vector<Policy> policies;
  const auto add = [&](const char* name, const auto& change) {
    Policy policy = base;
    policy.name = name;
    change(policy);
    policies.push_back(policy);
  };
  add("random", [](Policy& policy) { policy.kind = PolicyKind::kRandom; });
  add("least loaded of two", [](Policy& policy) { policy.kind = PolicyKind::kTwoChoices; });
  add("rendezvous", [](Policy& policy) { policy.kind = PolicyKind::kRendezvous; });
  add("bounded hashing", [](Policy& policy) { policy.kind = PolicyKind::kBoundedHashing; });
  policies.push_back(base);
  add("- no hint", [](Policy& policy) { policy.use_hint = false; });
  add("- no pointer", [](Policy& policy) { policy.use_home_pointer = false; });
  add("- no hint, no pointer",
      [](Policy& policy) { policy.use_hint = policy.use_home_pointer = false; });
  add("- no wait", [](Policy& policy) { policy.use_prefix_wait = false; });
  add("- no move", [](Policy& policy) { policy.use_prefix_transfer = false; });
  add("- no wait, no move",
      [](Policy& policy) { policy.use_prefix_wait = policy.use_prefix_transfer = false; });
  add("- redirects at once", [](Policy& policy) { policy.limits.redirects_after = 1; });
  return policies;
}

}  // namespace wagtailwind::placement_model
