#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancing/endpoint_ranking.h"
#include "core/random_source.h"
#include "support/fake_clock.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::EndpointPtr;
using balancing::Ranking;
using balancing::RankingRequest;
using balancing::SharedPrompt;

constexpr std::uint64_t kLongPromptTokens = 10'000;
constexpr std::uint64_t kShortPromptTokens = 700;

struct Pool {
  explicit Pool(int size) {
    for (int i = 0; i < size; ++i) {
      Add("engine-" + std::to_string(i), 1h);
    }
  }

  EndpointPtr Add(const std::string& name, std::chrono::milliseconds age) {
    auto endpoint = std::make_shared<balancing::Endpoint>();
    endpoint->record.name = EndpointName(name);
    endpoint->record.slots = 32;
    endpoint->record.started_at = clock.WallNow() - age;
    endpoints.push_back(endpoint);
    return endpoint;
  }

  void SetLoad(const EndpointPtr& endpoint, std::uint32_t requests) const {
    endpoint->load.OnReport({.running = requests, .waiting = 0, .slots = 32}, clock.Now());
  }

  void SetAllLoads(std::uint32_t requests) const {
    for (const EndpointPtr& endpoint : endpoints) {
      SetLoad(endpoint, requests);
    }
  }

  Ranking Rank(std::uint64_t key, std::uint64_t tokens = kLongPromptTokens) {
    RankingRequest request;
    request.prompt = SharedPrompt{.key = key, .tokens = tokens};
    request.wall_now = clock.WallNow();
    return balancing::RankEndpoints(endpoints, draining, request, clock.Now(), random, 4);
  }

  Ranking RankSmall(std::uint64_t key) {
    RankingRequest request;
    request.prompt = SharedPrompt{.key = key, .tokens = kShortPromptTokens};
    request.wall_now = clock.WallNow();
    request.is_costly = false;
    return balancing::RankEndpoints(endpoints, draining, request, clock.Now(), random, 4);
  }

  Ranking RankCall() {
    return balancing::RankEndpoints(endpoints, draining, {}, clock.Now(), random, 4);
  }

  testing::FakeClock clock;
  SeededRandomSource random{1};
  std::vector<EndpointPtr> endpoints;
  std::vector<EndpointPtr> draining;
};

}  // namespace

// Load pattern: chats that continue over many requests, each through another router. Guards against
// routers that send the same prompt to different endpoints, each of which would process it again.
Test(endpoint_ranking, sends_a_prompt_to_the_same_endpoint_from_every_router) {
  Pool one(9);
  Pool other(9);
  std::reverse(other.endpoints.begin(), other.endpoints.end());
  for (std::uint64_t key = 0; key < 50; ++key) {
    const Ranking ranking = one.Rank(key * 7919);
    cr_assert(ranking.at_home);
    cr_assert_null(ranking.cached_at.get());
    cr_assert(ranking.endpoints[0]->record.name ==
              other.Rank(key * 7919).endpoints[0]->record.name);
  }
}

// Load pattern: one prompt gets much of the traffic. Guards against a popular prompt that pushes an
// endpoint over its load bound, and against processing the prompt again where it could be fetched.
Test(endpoint_ranking, spills_a_popular_prompt_over_and_fetches_its_parts) {
  Pool pool(9);
  pool.SetAllLoads(8);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  pool.SetLoad(home, 25);
  const Ranking ranking = pool.Rank(42);
  cr_assert_neq(ranking.endpoints[0].get(), home.get());
  cr_assert_not(ranking.at_home);
  cr_assert_eq(ranking.cached_at.get(), home.get());
  // Further requests overflow to the same endpoint.
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), ranking.endpoints[0].get());
}

// Load pattern: many users at once. Guards against moving long prompts away from their cached parts
// for a small imbalance, and against not moving short ones to balance the load.
Test(endpoint_ranking, moves_short_prompts_before_long_ones) {
  Pool pool(9);
  pool.SetAllLoads(8);
  const EndpointPtr home = pool.Rank(7).endpoints[0];
  pool.SetLoad(home, 18);
  cr_assert_eq(pool.Rank(7, kLongPromptTokens).endpoints[0].get(), home.get());
  cr_assert_neq(pool.Rank(7, kShortPromptTokens).endpoints[0].get(), home.get());
}

// Load pattern: endpoints with empty caches are added. Guards against moving many prompts at once
// to endpoints that have to process them again.
Test(endpoint_ranking, moves_few_prompts_to_new_endpoints) {
  Pool pool(9);
  std::map<std::uint64_t, EndpointName> before;
  for (std::uint64_t key = 1; key <= 200; ++key) {
    before[key] = pool.Rank(key * 104'729).endpoints[0]->record.name;
  }
  pool.Add("new-1", 2s);
  pool.Add("new-2", 1s);
  std::size_t moved = 0;
  for (const auto& [key, name] : before) {
    moved += pool.Rank(key * 104'729).endpoints[0]->record.name != name ? 1U : 0U;
  }
  cr_assert_lt(moved, 15, "%zu of 200 prompts moved", moved);
}

// Load pattern: a part of the pool crashes and restarts. Guards against the old endpoints taking
// the whole load, far above the pool's mean.
Test(endpoint_ranking, gives_new_endpoints_a_share_when_the_old_ones_are_few) {
  Pool pool(6);
  for (int i = 0; i < 5; ++i) {
    pool.Add("new-" + std::to_string(i), 1s);
  }
  std::map<std::string, int> homes;
  constexpr int kKeys = 2'000;
  for (std::uint64_t key = 1; key <= kKeys; ++key) {
    ++homes[pool.Rank(key * 104'729).endpoints[0]->record.name.value()];
  }
  for (int i = 0; i < 6; ++i) {
    cr_assert_lt(homes["engine-" + std::to_string(i)], kKeys / 11 * 3 / 2);
  }
}

// Load pattern: replicas are replaced one after the other. Guards against processing prompts again
// that a draining endpoint still has in its cache.
Test(endpoint_ranking, fetches_from_a_draining_endpoint) {
  Pool pool(9);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  std::erase(pool.endpoints, home);
  pool.draining.push_back(home);
  const Ranking ranking = pool.Rank(42);
  cr_assert(ranking.at_home);
  cr_assert_eq(ranking.cached_at.get(), home.get());
}

// Guards against using an endpoint that fails a part of its requests while its peers don't, and
// against moving prompts away from their cached parts when all endpoints fail alike.
Test(endpoint_ranking, puts_failing_endpoints_last_unless_the_whole_pool_fails) {
  Pool pool(9);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  const auto fail_half = [&pool](const EndpointPtr& endpoint) {
    for (int i = 0; i < 20; ++i) {
      i % 2 == 0
          ? endpoint->health.OnSuccess(pool.clock.Now())
          : endpoint->health.OnFailure(balancing::AttemptFailure::kErrorResponse, pool.clock.Now());
    }
  };
  fail_half(home);
  cr_assert_neq(pool.Rank(42).endpoints[0].get(), home.get());
  std::for_each(pool.endpoints.begin(), pool.endpoints.end(), fail_half);
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), home.get());
}

// Load pattern: requests without a prompt. Guards against a queue at one endpoint while another is
// idle, and against unnecessary traffic between zones.
Test(endpoint_ranking, sends_calls_to_the_least_loaded_endpoint_and_prefers_the_zone) {
  Pool pool(3);
  pool.SetAllLoads(10);
  pool.SetLoad(pool.endpoints[1], 2);
  cr_assert_eq(pool.RankCall().endpoints[0].get(), pool.endpoints[1].get());
  pool.SetAllLoads(3);
  pool.endpoints[2]->record.zone = AvailabilityZoneName("here");
  RankingRequest request;
  request.zone = AvailabilityZoneName("here");
  for (int i = 0; i < 20; ++i) {
    const Ranking ranking =
        balancing::RankEndpoints(pool.endpoints, {}, request, pool.clock.Now(), pool.random, 4);
    cr_assert_eq(ranking.endpoints[0].get(), pool.endpoints[2].get());
  }
}

// Guards against sending requests to endpoints that don't have the model, or whose connection limit
// is reached.
Test(endpoint_ranking, leaves_out_endpoints_that_cannot_serve_the_request) {
  Pool pool(3);
  pool.endpoints[0]->record.models = {ModelName("large")};
  pool.endpoints[1]->record.models = {ModelName("small")};
  pool.endpoints[2]->connections = 10;
  RankingRequest request;
  request.model = ModelName("large");
  request.max_connections = 10;
  const Ranking ranking =
      balancing::RankEndpoints(pool.endpoints, {}, request, pool.clock.Now(), pool.random, 4);
  cr_assert_eq(ranking.endpoints.size(), 1);
  cr_assert_eq(ranking.endpoints[0].get(), pool.endpoints[0].get());
}

// Guards against prompt keys that depend on the request's own part, or that ignore a shared part.
Test(endpoint_ranking, reads_the_shared_parts_of_a_prompt) {
  const auto one = balancing::ParsePrompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const auto other = balancing::ParsePrompt("5c1e07a2:800,91bd3f06:410,aaaaaaaa:9");
  cr_assert_eq(one->key, other->key);
  cr_assert_eq(one->tokens, 1210);
  cr_assert_neq(one->key, balancing::ParsePrompt("5c1e07a2:800,e4402b7d:250")->key);
  cr_assert_not(balancing::ParsePrompt("").has_value());
}

// Load pattern: most endpoints of a pool name a limit of requests. Guards against requests that
// wait for an endpoint at its limit while others are free, and against processing parts again that
// it has cached.
Test(endpoint_ranking, passes_over_an_endpoint_at_its_limit) {
  Pool pool(9);
  pool.SetAllLoads(8);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  home->quota.SetLimit(4, {.rate = 1}, pool.clock.Now());
  const Ranking ranking = pool.Rank(42);
  cr_assert_neq(ranking.endpoints[0].get(), home.get());
  cr_assert_eq(ranking.cached_at.get(), home.get());
  pool.clock.Advance(1'000ms);
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), home.get());
}

// Load pattern: a few large prompts and many small ones, while a limit counts requests. Guards
// against small ones that use up what the large ones need, and against a limit left unused.
Test(endpoint_ranking, leaves_limited_endpoints_to_costly_requests) {
  Pool pool(3);
  const EndpointPtr limited = pool.Rank(42).endpoints[0];
  limited->quota.SetLimit(4, {.rate = 1}, pool.clock.Now());
  pool.clock.Advance(1'100ms);
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), limited.get());
  cr_assert_neq(pool.RankSmall(42).endpoints[0].get(), limited.get());
  pool.clock.Advance(1'000ms);
  cr_assert_eq(pool.RankSmall(42).endpoints[0].get(), limited.get());
}

// Load pattern: all endpoints of a pool name limits below the load. Guards against refusing small
// requests while there is something left, and against refusals without the time of the next one.
Test(endpoint_ranking, uses_the_limits_if_all_endpoints_have_one) {
  Pool pool(3);
  for (const EndpointPtr& endpoint : pool.endpoints) {
    endpoint->quota.SetLimit(4, {.rate = 1}, pool.clock.Now());
  }
  const Ranking none = pool.RankSmall(1);
  cr_assert(none.endpoints.empty());
  cr_assert(none.limit_wait == std::optional<std::chrono::nanoseconds>(1s));
  pool.clock.Advance(1'000ms);
  cr_assert_eq(pool.RankSmall(1).endpoints.size(), 3);
}

// Load pattern: most endpoints of a pool name limits, and the others are full. Guards against
// limits that are left unused while prompts wait at their full homes.
Test(endpoint_ranking, uses_the_limits_before_busy_endpoints) {
  Pool pool(4);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  for (const EndpointPtr& endpoint : pool.endpoints) {
    if (endpoint != home) {
      endpoint->quota.SetLimit(4, {.rate = 1}, pool.clock.Now());
      pool.SetLoad(endpoint, 12);
    }
  }
  pool.clock.Advance(1'000ms);
  pool.SetLoad(home, 14);
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), home.get());
  pool.SetLoad(home, 20);
  cr_assert_neq(pool.Rank(42).endpoints[0].get(), home.get());
  for (const EndpointPtr& endpoint : pool.endpoints) {
    (void)endpoint->quota.TryTake(pool.clock.Now());
  }
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), home.get());
}

// Load pattern: a popular prompt arrives at all routers after a restart of all. Guards against each
// of them sending it to its home until an endpoint has reported a load.
Test(endpoint_ranking, moves_a_popular_prompt_before_any_report) {
  Pool pool(20);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  cr_assert_eq(pool.Rank(42).endpoints[0].get(), home.get());
  // Three requests of one router are above the bound while all other endpoints count as idle.
  home->load.OnSent();
  home->load.OnSent();
  home->load.OnSent();
  cr_assert_neq(pool.Rank(42).endpoints[0].get(), home.get());
}

// Load pattern: a large fleet, in which a router hears of an endpoint every few seconds. Guards
// against taking an old report for exact: where it is near the tolerated load, a part of the
// requests would find more. Expensive prompts stay, since moving them costs more than it gains.
Test(endpoint_ranking, leaves_a_margin_for_what_an_old_report_does_not_tell) {
  constexpr std::uint64_t kTagTokens = 2'041;
  Pool pool(9);
  pool.SetAllLoads(4);
  const EndpointPtr home = pool.Rank(42).endpoints[0];
  pool.SetLoad(home, 10);
  cr_assert(pool.Rank(42, kTagTokens).at_home, "a new report is exact");
  pool.clock.Advance(3s);
  cr_assert_not(pool.Rank(42, kTagTokens).at_home);
  cr_assert(pool.Rank(42, kLongPromptTokens).at_home);
  // Reports of other endpoints show that the load of the pool has fallen.
  for (const EndpointPtr& endpoint : pool.endpoints) {
    if (endpoint != home) {
      pool.SetLoad(endpoint, 1);
    }
  }
  cr_assert_not(pool.Rank(42, kLongPromptTokens).at_home);
}
