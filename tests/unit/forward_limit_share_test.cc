// How routers divide the request limits of endpoints, without a network.

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "balancing/request_cost.h"
#include "balancing/request_limit.h"
#include "core/random_source.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::DivideLimit;
using balancing::LimitShare;
using balancing::RequestQuota;
using balancing::RouterInfo;

std::vector<RouterInfo> Routers(int count, int zones) {
  std::vector<RouterInfo> routers;
  routers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    routers.push_back({.name = InstanceName("router-" + std::to_string(i)),
                       .zone = AvailabilityZoneName("zone-" + std::to_string(i % zones))});
  }
  return routers;
}

const AvailabilityZoneName& Zone0() {
  static const AvailabilityZoneName zone("zone-0");
  return zone;
}

/// Requests at one endpoint with a limit, from a fleet whose routers send one whenever they may.
struct Arrivals {
  /// Most requests in 4 s.
  int most = 0;
  int total = 0;
};

/// Each router wants to send `demand(second)` requests a second, for `seconds`.
template <typename Demand>
Arrivals Simulate(int count, double limit, int seconds, Demand demand) {
  constexpr int kStepsPerSecond = 200;
  constexpr int kWindowSteps = 4 * kStepsPerSecond;
  SeededRandomSource random(11);
  const std::vector<RouterInfo> routers = Routers(count, 6);
  std::vector<RequestQuota> quotas(routers.size());
  SteadyTime now{1h};
  for (std::size_t i = 0; i < routers.size(); ++i) {
    const LimitShare share =
        DivideLimit({.name = "e", .zone = Zone0(), .limit = limit}, routers[i], routers);
    quotas[i].SetLimit(limit, share, now);
  }
  Arrivals arrivals;
  std::deque<int> window;
  int in_window = 0;
  for (int step = 0; step < seconds * kStepsPerSecond; ++step) {
    now += 1'000ms / kStepsPerSecond;
    int sent = 0;
    for (RequestQuota& quota : quotas) {
      const double probability = demand(step / kStepsPerSecond) / kStepsPerSecond;
      sent += random.NextFraction() < probability && quota.TryTake(now) ? 1 : 0;
    }
    window.push_back(sent);
    in_window += sent;
    if (window.size() > kWindowSteps) {
      in_window -= window.front();
      window.pop_front();
    }
    arrivals.most = std::max(arrivals.most, in_window);
    arrivals.total += sent;
  }
  return arrivals;
}

/// What the platform tolerates in 4 s.
int Tolerated(double limit) { return static_cast<int>(1.5 * limit * 4 + 5); }

}  // namespace

// Load: many more requests than the limit, at all sizes of fleets. Guards against shares that add
// up to more than the limit, and against a limit that is left unused.
Test(limit_share, adds_up_to_the_limit) {
  for (const int routers : {1, 6, 12, 46, 68, 440}) {
    for (const double limit : {0.4, 2.5, 5.0, 12.0}) {
      const Arrivals arrivals = Simulate(routers, limit, 40, [](int) { return 20.0; });
      cr_assert_leq(arrivals.most, Tolerated(limit), "%d routers, limit %f", routers, limit);
      cr_assert_geq(arrivals.total, static_cast<int>(0.85 * limit * 40), "%d routers, limit %f: %d",
                    routers, limit, arrivals.total);
    }
  }
}

// Load: hardly any requests, then a flood at all routers in the same second. Guards against tokens
// that all routers of a large fleet have saved up.
Test(limit_share, holds_when_all_routers_send_at_once) {
  for (const int routers : {6, 46, 68, 440}) {
    for (const double limit : {0.4, 2.5, 5.0, 12.0}) {
      const Arrivals arrivals =
          Simulate(routers, limit, 40, [](int second) { return second < 30 ? 0.0 : 100.0; });
      cr_assert_leq(arrivals.most, Tolerated(limit), "%d routers, limit %f: %d", routers, limit,
                    arrivals.most);
    }
  }
}

// Guards against shares that exceed the limit while routers know different numbers of others: some
// have just started, or are gone.
Test(limit_share, tolerates_a_router_more_or_less) {
  for (const double limit : {0.4, 2.5, 5.0}) {
    const std::vector<RouterInfo> all = Routers(12, 3);
    const std::span<const RouterInfo> fewer(all.data(), all.size() - 2);
    double rate = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const std::span<const RouterInfo> known = i % 2 == 0 ? std::span(all) : fewer;
      rate += DivideLimit({.name = "e", .zone = Zone0(), .limit = limit}, all[i], known).rate;
    }
    cr_assert_leq(rate, 1.5 * limit);
  }
}

// Load: a shared prompt arrives at the routers of all zones. Guards against as many cached copies
// as there are routers.
Test(limit_share, goes_to_the_routers_of_the_zone) {
  const std::vector<RouterInfo> routers = Routers(66, 6);
  for (const RouterInfo& router : routers) {
    const LimitShare share =
        DivideLimit({.name = "e", .zone = Zone0(), .limit = 6.0}, router, routers);
    cr_assert_eq(share.rate > 0, router.zone == Zone0());
  }
}

// Guards against the end of a limit that no router notices because those with a share are gone, and
// against many routers that check at once.
Test(limit_share, lets_one_router_at_a_time_check) {
  const std::vector<RouterInfo> routers = Routers(68, 6);
  std::vector<int> turns(routers.size());
  constexpr int kTurns = 2'000;
  for (int turn = 0; turn < kTurns; ++turn) {
    const WallTime now{std::chrono::hours(1) + turn * 20s + 5s};
    cr_assert_eq(balancing::CheckTurn(now + 10s), balancing::CheckTurn(now));
    int checking = 0;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      const bool is_turn = balancing::MayCheck("e", routers[i], routers, balancing::CheckTurn(now));
      checking += is_turn ? 1 : 0;
      turns[i] += is_turn ? 1 : 0;
    }
    cr_assert_eq(checking, 1);
  }
  cr_assert_gt(*std::min_element(turns.begin(), turns.end()), 0);
}

// Guards against a permit to check that is used twice or kept beyond its turn, and against checks
// by a router that has a share.
Test(limit_share, permits_one_request_a_check) {
  SteadyTime now{1h};
  RequestQuota quota;
  quota.SetLimit(3, {}, now);
  cr_assert_not(quota.TryTake(now));
  quota.SetCheckPermit(true);
  cr_assert(quota.TryTake(now));
  cr_assert_not(quota.TryTake(now + 1h));
  quota.SetCheckPermit(true);
  quota.SetCheckPermit(false);
  cr_assert_not(quota.IsAvailable(now + 1h));
  quota.SetLimit(3, {.rate = 0.5}, now);
  quota.SetCheckPermit(true);
  cr_assert_not(quota.IsAvailable(now));
  cr_assert(quota.IsAvailable(now + 2s));
}

// Guards against values that are no limit.
Test(limit_share, parses_only_numbers) {
  cr_assert(balancing::ParseRequestLimit("4.5") == std::optional(4.5));
  cr_assert(balancing::ParseRequestLimit("0") == std::optional(0.0));
  for (const char* text : {"", "-1", "nan", "inf", "4.5x", "none", " 4"}) {
    cr_assert_not(balancing::ParseRequestLimit(text).has_value(), "%s", text);
  }
}

// Load: a few large prompts among many small ones. Guards against a limit that counts requests
// being used up by the small ones.
Test(request_cost, tells_large_prompts_from_small_ones) {
  balancing::RequestCosts costs;
  for (int i = 0; i < 1'000; ++i) {
    const bool is_large = i % 5 == 0;
    const bool is_costly = costs.IsCostly(is_large ? 15'000 : 3'000);
    cr_assert(i < 100 || is_costly == is_large);
  }
  balancing::RequestCosts equal;
  for (int i = 0; i < 1'000; ++i) {
    cr_assert(equal.IsCostly(0.1));
  }
  cr_assert(balancing::ParseRequestCost("1460,80") == std::optional(1460 + 800.0));
  for (const char* text : {"", "1460", "1460,", ",80", "1460,80,1", "a,b", "-1,2"}) {
    cr_assert_not(balancing::ParseRequestCost(text).has_value(), "%s", text);
  }
}
