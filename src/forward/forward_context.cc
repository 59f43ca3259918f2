#include "forward/forward_context.h"

#include <algorithm>

#include "core/mutant.h"

namespace wagtailwind::forward {

namespace {

// Part of the ratio that a router uses: retries near the end of a window count against requests
// near its beginning.
constexpr double kUsedRatio = 0.75;

// Tokens of a router's budget at least, without which it could never retry.
constexpr double kLeastCapacity = 1;

// Part of the time after which keys are refused, up to which a confirmation counts as young. A
// watch of the configuration and a slow answer fit in.
constexpr double kYoungShare = 0.6;

}  // namespace

bool ForwardContext::IsConfirmed() const noexcept {
  const auto young =
      std::chrono::duration_cast<std::chrono::nanoseconds>(bounds.key_revocation * kYoungShare);
  return confirmation.Age(clock.BootNow()) <=
         std::max<std::chrono::nanoseconds>(young, bounds.configuration);
}

requests::RetryBudget& ForwardContext::RetryBudgetOf(const ServiceName& service) {
  requests::RetryBudgetSettings settings{
      .tokens_per_request = bounds.retry_ratio * kUsedRatio,
      .capacity = std::max(kLeastCapacity, bounds.retry_slack / traffic_share.Routers())};
  if (MutantIs("forwarder_has_no_retry_budget")) {
    constexpr double kEnough = 1e6;
    settings = {.tokens_per_request = 1, .capacity = kEnough};
  }
  requests::RetryBudget& budget =
      retry_budgets.try_emplace(service.value(), settings).first->second;
  budget.SetCapacity(settings.capacity);
  return budget;
}

}  // namespace wagtailwind::forward
