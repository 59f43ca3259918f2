#include "forward/forward_context.h"

namespace wagtailwind::forward {

namespace {

// Part of the ratio that a router uses: retries near the end of a window count against requests
// near its beginning.
constexpr double kUsedRatio = 0.75;

// Routers among which the slack is divided. The settings don't tell their number; this is twice the
// larger deployment of today.
constexpr double kRoutersSharingSlack = 16;

}  // namespace

requests::RetryBudget& ForwardContext::RetryBudgetOf(const ServiceName& service) {
  const requests::RetryBudgetSettings settings{
      .tokens_per_request = bounds.retry_ratio * kUsedRatio,
      .capacity = bounds.retry_slack / kRoutersSharingSlack};
  return retry_budgets.try_emplace(service.value(), settings).first->second;
}

}  // namespace wagtailwind::forward
