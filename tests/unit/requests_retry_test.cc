#include <criterion/criterion.h>

#include <chrono>

#include "core/random_source.h"
#include "requests/backoff.h"
#include "requests/circuit_breaker.h"
#include "requests/retry_budget.h"
#include "support/fake_clock.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::EndpointName;
using wagtailwind::requests::BreakerState;
using wagtailwind::requests::CircuitBreaker;
using wagtailwind::requests::CircuitBreakerTable;
using wagtailwind::requests::RetryBudget;
using wagtailwind::testing::FakeClock;

CircuitBreaker OpenBreaker(const FakeClock& clock) {
  CircuitBreaker breaker;
  for (int i = 0; i < 5; ++i) {
    cr_assert(breaker.TryAcquire(clock.Now()));
    breaker.OnFailure(clock.Now());
  }
  return breaker;
}

}  // namespace

// Guards against a retry storm: in a long outage, retries must stay at a tenth of the requests.
Test(retry_budget, bounds_retries_to_a_part_of_the_requests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryConsume() ? 1 : 0;
    cr_assert_leq(budget.Tokens(), 20.0);
  }
  cr_assert_leq(retries, 120);
  cr_assert_geq(retries, 118);
}

// Guards against delays above the ceiling, and against a fixed delay, with which the retries of
// many routers would arrive at the same time.
Test(backoff, is_spread_below_a_doubling_ceiling) {
  wagtailwind::SeededRandomSource random(7);
  for (std::uint32_t retry = 0; retry < 40; ++retry) {
    const auto ceiling = 10ms * (1LL << std::min(retry, 10U));
    std::chrono::microseconds shortest = ceiling;
    std::chrono::microseconds longest{0};
    for (int i = 0; i < 200; ++i) {
      const auto delay = wagtailwind::requests::BackoffDelay(retry, random);
      cr_assert(delay <= ceiling);
      shortest = std::min(shortest, delay);
      longest = std::max(longest, delay);
    }
    cr_assert(shortest < ceiling / 4 && longest > ceiling / 2);
  }
}

// Guards against a breaker that opens on scattered failures or never opens.
Test(circuit_breaker, opens_after_consecutive_failures_only) {
  const FakeClock clock;
  CircuitBreaker breaker;
  for (int i = 0; i < 20; ++i) {
    cr_assert(breaker.TryAcquire(clock.Now()));
    i % 5 == 4 ? breaker.OnSuccess() : breaker.OnFailure(clock.Now());
  }
  cr_assert_eq(breaker.state(), BreakerState::kClosed);
  cr_assert_not(OpenBreaker(clock).TryAcquire(clock.Now()));
}

// Guards against several probes at the same time, and against an open time that does not grow or
// has no maximum.
Test(circuit_breaker, lets_one_probe_through_and_doubles_its_open_time_up_to_the_maximum) {
  FakeClock clock;
  CircuitBreaker breaker = OpenBreaker(clock);
  std::chrono::milliseconds open_time = 1s;
  for (int i = 0; i < 8; ++i) {
    clock.Advance(open_time - 1ms);
    cr_assert_not(breaker.TryAcquire(clock.Now()));
    clock.Advance(1ms);
    cr_assert(breaker.TryAcquire(clock.Now()));
    cr_assert_not(breaker.TryAcquire(clock.Now()));
    breaker.OnFailure(clock.Now());
    open_time = std::min<std::chrono::milliseconds>(open_time * 2, 30s);
  }
  clock.Advance(30s);
  cr_assert(breaker.TryAcquire(clock.Now()));
  breaker.OnInconclusive();
  cr_assert(breaker.TryAcquire(clock.Now()), "a refused probe must not block the next one");
  breaker.OnSuccess();
  cr_assert_eq(breaker.state(), BreakerState::kClosed);
}

// Guards against a table that applies failures to the wrong endpoint or grows with healthy ones.
Test(circuit_breaker, table_keeps_endpoints_apart) {
  const FakeClock clock;
  CircuitBreakerTable table;
  const EndpointName bad("bad");
  const EndpointName good("good");
  for (int i = 0; i < 5; ++i) {
    table.OnFailure(bad, clock.Now());
    table.OnSuccess(good);
  }
  cr_assert_not(table.TryAcquire(bad, clock.Now()));
  cr_assert(table.TryAcquire(good, clock.Now()));
  cr_assert_eq(table.States().size(), 1U);
}
