#include "balancing/traffic_share.h"
#include "requests/retry_budget.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

using wagtailwind::balancing::TrafficShare;
using wagtailwind::requests::RetryBudget;

namespace {
constexpr int kManyRequests = 2'000;
}  // namespace

// Guards against a fleet that exceeds its retry bound when a whole service refuses: each router
// gets a part of the retry slack, and the parts must add up to the slack for any number of routers.
Test(traffic_share, counts_the_routers_of_a_large_fleet) {
  for (const int routers : {46, 300}) {
    TrafficShare share;
    for (int i = 0; i < kManyRequests; ++i) {
      // This router has one request in flight at every second arrival.
      const double own = i % 2;
      share.OnRequest(own, 0.5 * (routers - 1));
    }
    cr_assert(share.EstimatedRouters() > 0.9 * routers && share.EstimatedRouters() < 1.1 * routers);
  }
}

// Guards against a part of the retry slack that is too large while the estimate is poor, or when
// most requests in flight happen to be from this router.
Test(traffic_share, assumes_a_least_number_of_routers) {
  TrafficShare share;
  const double least = share.EstimatedRouters();
  cr_assert(least >= 8);
  for (int i = 0; i < kManyRequests; ++i) {
    share.OnRequest(10, 1);
  }
  cr_assert_eq(share.EstimatedRouters(), least);
}

// Guards against keeping tokens above a capacity that was lowered.
Test(retry_budget, loses_tokens_above_a_lowered_capacity) {
  RetryBudget budget({.tokens_per_request = 0, .capacity = 5});
  budget.SetCapacity(2);
  cr_assert(budget.TryConsume());
  cr_assert(budget.TryConsume());
  cr_assert(!budget.TryConsume());
}
