#include <memory>

#include "balancing/endpoint_health.h"
#include "balancing/load_estimate.h"
#include "support/fake_clock.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using wagtailwind::balancing::AttemptFailure;
using wagtailwind::balancing::EndpointHealth;
using wagtailwind::balancing::LoadEstimate;
using wagtailwind::balancing::TypicalLoad;
using wagtailwind::testing::FakeClock;

}  // namespace

// Guards against sending many requests to an endpoint that has lost power: none of them fails
// before its deadline, so no failure is recorded.
Test(endpoint_health, is_silent_when_requests_wait_and_nothing_arrives) {
  FakeClock clock;
  EndpointHealth health;
  health.OnSent(clock.Now());
  clock.Advance(400ms);
  cr_assert_not(health.IsUnresponsive(clock.Now()));
  clock.Advance(200ms);
  cr_assert(health.IsUnresponsive(clock.Now()));
  health.OnBytesReceived(clock.Now());
  cr_assert_not(health.IsUnresponsive(clock.Now()));
}

// Guards against treating an idle endpoint as unresponsive, and against never trying an
// unresponsive endpoint again.
Test(endpoint_health, is_tried_again_when_no_request_waits) {
  FakeClock clock;
  EndpointHealth health;
  health.OnSent(clock.Now());
  health.OnSuccess(clock.Now());
  clock.Advance(10s);
  cr_assert_not(health.IsUnresponsive(clock.Now()));
  health.OnSent(clock.Now());
  clock.Advance(600ms);
  health.OnFailure(AttemptFailure::kConnectionLost, clock.Now());
  cr_assert(health.IsUnresponsive(clock.Now()));
  clock.Advance(1s);
  cr_assert_not(health.IsUnresponsive(clock.Now()));
}

// Guards against each request waiting for a connection timeout while an endpoint is unreachable.
Test(endpoint_health, is_avoided_for_a_while_after_a_failed_connection) {
  FakeClock clock;
  EndpointHealth health;
  health.OnFailure(AttemptFailure::kNotConnected, clock.Now());
  cr_assert(health.IsUnresponsive(clock.Now()));
  clock.Advance(1'100ms);
  cr_assert_not(health.IsUnresponsive(clock.Now()));
}

// Guards against using an endpoint that fails every second request, which never opens the breaker,
// and against a failure rate that does not decay.
Test(endpoint_health, knows_the_failure_rate_of_recent_requests) {
  FakeClock clock;
  EndpointHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnSent(clock.Now());
    i % 2 == 0 ? health.OnSuccess(clock.Now())
               : health.OnFailure(AttemptFailure::kErrorResponse, clock.Now());
    clock.Advance(50ms);
  }
  cr_assert_gt(health.FailureRate(clock.Now()), 0.3);
  clock.Advance(20s);
  cr_assert_lt(health.FailureRate(clock.Now()), 0.05);
}

// Guards against counting this router's requests twice, once as its own and once as reported.
Test(load_estimate, adds_own_changes_to_what_others_had_at_the_report) {
  FakeClock clock;
  LoadEstimate load;
  load.OnSent();
  load.OnSent();
  load.OnReport({.running = 10, .waiting = 1, .slots = 32}, clock.Now());
  cr_assert_float_eq(load.Requests(clock.Now()), 11, 0.01);
  load.OnSent();
  cr_assert_float_eq(load.Requests(clock.Now()), 12, 0.01);
  load.OnEnded();
  load.OnEnded();
  cr_assert_float_eq(load.Requests(clock.Now()), 10, 0.01);
}

// Guards against an endpoint that stays unused because its last report was high, and against
// reports that decay so fast that they have no effect when the next request comes ten seconds
// later, as happens with many routers.
Test(load_estimate, pulls_an_old_report_to_what_is_typical) {
  FakeClock clock;
  LoadEstimate load;
  load.OnReport({.running = 30, .waiting = 10, .slots = 32}, clock.Now());
  clock.Advance(10s);
  cr_assert_gt(load.Requests(clock.Now(), {.others = 5}), 15);
  clock.Advance(50s);
  cr_assert_float_eq(load.Requests(clock.Now(), {.others = 5}), 5, 0.5);
}

// Load pattern: a popular prompt returns from many routers to an endpoint whose request limit has
// ended. Guards against routers that take the endpoint for idle until it reports.
Test(load_estimate, takes_own_requests_for_a_sample_of_the_others) {
  FakeClock clock;
  LoadEstimate load;
  load.OnLimitEnded(clock.Now());
  const TypicalLoad typical{.others = 9, .other_routers = 45};
  const double idle = load.Requests(clock.Now(), typical);
  cr_assert_lt(idle, 9);
  load.OnSent();
  load.OnSent();
  cr_assert_gt(load.Requests(clock.Now(), typical), 1.5 * 9);
  // A single router knows all requests.
  cr_assert_float_eq(load.Requests(clock.Now(), {}), 2, 0.01);
}

// Load pattern: the few endpoints that took what limited ones could not are loaded when the limits
// end. Guards against avoiding them for as long as their last reports are not replaced, and against
// a last report that hides the prompts that return.
Test(load_estimate, follows_the_load_of_the_pool_after_a_limit) {
  FakeClock clock;
  const auto average = std::make_shared<wagtailwind::balancing::LoadReportAverage>();
  LoadEstimate loaded(average);
  LoadEstimate limited(average);
  LoadEstimate other(average);
  limited.OnReport({.running = 1, .waiting = 0, .slots = 32}, clock.Now());
  for (int i = 0; i < 12; ++i) {
    loaded.OnReport({.running = 40, .waiting = 0, .slots = 32}, clock.Now());
  }
  limited.OnLimitEnded(clock.Now());
  cr_assert(!limited.ReportedOthers());
  cr_assert(limited.IsReturning(clock.Now()));
  for (int i = 0; i < 24; ++i) {
    other.OnReport({.running = 10, .waiting = 0, .slots = 32}, clock.Now());
  }
  const TypicalLoad typical{.others = 10, .other_routers = 45};
  cr_assert_lt(loaded.Requests(clock.Now(), typical), 20);
  cr_assert_geq(loaded.Requests(clock.Now(), typical), 10);
  clock.Advance(10s);
  cr_assert(!limited.IsReturning(clock.Now()));
}
