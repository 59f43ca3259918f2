#include "forward/forward_context.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

// Fraction of the allowed retry ratio that a router uses: retries near the end of a measurement
// window count against the requests near its beginning.
constexpr double kRetryRatioShare = 0.75;

// Minimum capacity of a router's budget in tokens; with less, it could never retry.
constexpr double kMinRetryCapacity = 1;

// Fraction of the key revocation bound up to which a confirmation counts as recent. It covers one
// watch of the configuration and a slow response.
constexpr double kRecentConfirmationShare = 0.6;

}  // namespace

bool ForwardContext::IsConfirmed() const noexcept {
  const auto recent = std::chrono::duration_cast<std::chrono::nanoseconds>(
      bounds.key_revocation * kRecentConfirmationShare);
  return confirmation.Age(clock.BootNow()) <=
         std::max<std::chrono::nanoseconds>(recent, bounds.configuration);
}

void ForwardContext::SetRequestLimit(balancing::Endpoint& endpoint, std::optional<double> limit) {
  const std::optional<double> before = endpoint.quota.limit();
  if (limit == before) {
    return;
  }
  if (!limit) {
    endpoint.quota.RemoveLimit();
    endpoint.load.OnLimitEnded(clock.Now());
  } else {
    endpoint.quota.SetLimit(*limit, ShareOf(endpoint, *limit), clock.Now());
  }
  if (limit.has_value() != before.has_value()) {
    Log(kEndpointLimitChanged, {{"endpoint", endpoint.record.name.value()},
                                {"limited", limit ? 1 : 0},
                                {"limit", limit.value_or(0)},
                                {"rate", endpoint.quota.share().rate},
                                {"routers", routers.size()}});
  }
}

std::size_t ForwardContext::OtherRouters() const noexcept {
  return std::max<std::size_t>(routers.size(), 1) - 1;
}

balancing::LimitShare ForwardContext::ShareOf(const balancing::Endpoint& endpoint,
                                              double limit) const {
  return balancing::DivideLimit(
      {.name = endpoint.record.name.value(), .zone = endpoint.record.zone, .limit = limit},
      {.name = self, .zone = zone}, routers);
}

void ForwardContext::SetRouters(std::vector<balancing::RouterInfo> all) {
  routers = std::move(all);
  endpoints.ForEach([this](balancing::Endpoint& endpoint) {
    if (const std::optional<double> limit = endpoint.quota.limit()) {
      endpoint.quota.SetLimit(*limit, ShareOf(endpoint, *limit), clock.Now());
    }
  });
}

requests::RetryBudget& ForwardContext::RetryBudgetFor(const ServiceName& service) {
  requests::RetryBudgetSettings settings{
      .tokens_per_request = bounds.retry_ratio * kRetryRatioShare,
      .capacity =
          std::max(kMinRetryCapacity, bounds.retry_slack / traffic_share.EstimatedRouters())};
  if (IsMutantEnabled("forwarder_has_no_retry_budget")) {
    constexpr double kUnlimitedCapacity = 1e6;
    settings = {.tokens_per_request = 1, .capacity = kUnlimitedCapacity};
  }
  requests::RetryBudget& budget =
      retry_budgets.try_emplace(service.value(), settings).first->second;
  budget.SetCapacity(settings.capacity);
  return budget;
}

}  // namespace wagtailwind::forward
