#include "forward/forward_context.h"

#include <algorithm>

#include "core/mutant.h"

namespace wagtailwind::forward {

namespace {

// Part of the ratio that a router uses: retries near the end of a window count against requests
// near its beginning.
constexpr double kUsedRatio = 0.75;

// Routers among which the slack is divided. The settings don't tell their number; this is twice the
// larger deployment of today.
constexpr double kRoutersSharingSlack = 16;

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
  const requests::RetryBudgetSettings settings{
      .tokens_per_request = bounds.retry_ratio * kUsedRatio,
      .capacity = bounds.retry_slack / kRoutersSharingSlack};
  if (MutantIs("forwarder_has_no_retry_budget")) {
    constexpr double kEnough = 1e6;
    return retry_budgets
        .try_emplace(service.value(),
                     requests::RetryBudgetSettings{.tokens_per_request = 1, .capacity = kEnough})
        .first->second;
  }
  return retry_budgets.try_emplace(service.value(), settings).first->second;
}

}  // namespace wagtailwind::forward
