// Endpoints that refuse a request and name the time for which they want no further ones.

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "balancing/refusal_pause.h"
#include "core/random_source.h"
#include "support/forwarder_fixture.h"
#include "support/late_refusal.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::ParsePauseTime;
using balancing::RefusalPause;
using forward::RequestKind;
using testing::AnswerOk;
using testing::ForwarderFixture;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

constexpr SteadyTime kStart{1'000s};
constexpr const char* kKeepAlive = "Keep-Alive: timeout=5\r\n";

/// Refuses all requests, with these header fields.
struct Refuser {
  std::string fields;
  int status = 503;

  void operator()(Connection& connection) const {
    connection.Write(
        HttpText(status, SignedHeaders(connection) + kKeepAlive + "Refused: 1\r\n" + fields, ""));
  }
};

struct PausingFleet : ForwarderFixture {
  explicit PausingFleet(const Refuser& refuser, bool with_other = false)
      : pausing(AddEndpoint("pausing", refuser)) {
    if (with_other) {
      AddEndpoint("other", AnswerOk);
    }
    Configure(TestRoute(RequestKind::kIdempotent, 3));
    Start();
  }

  /// Sends requests for some time, one each 10 ms. Returns how many arrive at the endpoint.
  int ArrivalsFor(std::chrono::milliseconds time) {
    const int before = pausing.requests;
    const SteadyTime end = clock.Now() + time;
    while (clock.Now() < end) {
      Call();
      loop.RunFor(10ms);
    }
    return pausing.requests - before;
  }

  ScriptedServer& pausing;
};

}  // namespace

// Guards against reading a time that the endpoint has not named, or another one.
Test(refusal_pause, reads_seconds_only) {
  cr_assert(ParsePauseTime("3") == 3s);
  cr_assert(ParsePauseTime("0.25") == 250ms);
  cr_assert(ParsePauseTime("0") == 0s);
  cr_assert(ParsePauseTime("1000000000000000000000") == 24h);
  for (const char* text : {"", " ", "-1", "-0.5", "1e3", "inf", "nan", "3 s", "0x10", "1,5", "+2",
                           "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    cr_assert_not(ParsePauseTime(text).has_value(), "%s", text);
  }
}

// Guards against requests to an endpoint before the time is over that it has named first, because a
// request that was under way is refused with a shorter time.
Test(refusal_pause, is_not_shortened_by_a_later_refusal) {
  RefusalPause pause;
  cr_assert(pause.IsAvailable(kStart));
  pause.Extend(3s, 16, kStart);
  pause.Extend(1s, 16, kStart + 100ms);
  cr_assert(pause.IsActive(kStart + 2'999ms));
  cr_assert(pause.WaitTime(kStart + 1s) == 2s);
  pause.Extend(5s, 16, kStart + 200ms);
  cr_assert(pause.IsActive(kStart + 5'199ms));
  cr_assert_not(pause.IsActive(kStart + 5'200ms));
}

// Guards against a rush of the callers that have waited for the end of the pause: hundreds of them,
// at 1 to 68 routers that have not agreed on anything, must not fill the endpoint at once, and none
// may come before the end.
Test(refusal_pause, lets_requests_return_gradually) {
  constexpr double kSlots = 32;
  for (const int routers : {1, 12, 68}) {
    SeededRandomSource random(static_cast<std::uint64_t>(routers));
    std::vector<RefusalPause> pauses(static_cast<std::size_t>(routers));
    for (RefusalPause& pause : pauses) {
      // The spread that a router adds.
      const std::chrono::duration<double> spread(0.3 * random.NextFraction());
      pause.Extend(3s + std::chrono::duration_cast<std::chrono::nanoseconds>(spread),
                   kSlots / routers, kStart);
    }
    int total = 0;
    int first_100_ms = 0;
    for (auto time = 0ms; time < 5'300ms; time += 5ms) {
      for (RefusalPause& pause : pauses) {
        const SteadyTime now = kStart + time;
        // Each router has many more callers than the endpoint has slots.
        for (int i = 0; i < 100 && time < 5'000ms && pause.IsAvailable(now); ++i) {
          cr_assert(time >= 3s);
          pause.OnSent(now);
          ++total;
          first_100_ms += time < 3'100ms ? 1 : 0;
        }
      }
    }
    // One of each router, and the part of the slots that the time allows.
    cr_assert_leq(total, routers + kSlots + 1, "%d routers: %d requests", routers, total);
    cr_assert_leq(first_100_ms, std::max(routers / 2.0, kSlots / 8), "%d routers: %d requests",
                  routers, first_100_ms);
    cr_assert_geq(total, std::min<double>(routers, kSlots));
  }
}

// Guards against a pause that ends the use of an endpoint for ever.
Test(refusal_pause, has_no_effect_after_the_return) {
  RefusalPause pause;
  pause.Extend(1s, 0.1, kStart);
  pause.OnSent(kStart + 1'100ms);
  cr_assert_not(pause.IsAvailable(kStart + 1'200ms));
  for (int i = 0; i < 100; ++i) {
    cr_assert(pause.IsAvailable(kStart + 3'000ms));
    pause.OnSent(kStart + 3'000ms);
  }
}

// Guards against requests, retries and probes that reach an endpoint in the time for which it wants
// none, on new and on kept connections, with and without another endpoint.
Test(forward_refusal_pause, is_kept, .timeout = 60) {
  for (const bool with_other : {true, false}) {
    for (const int status : {503, 429}) {
      PausingFleet fleet({.fields = "Retry-After: 1.5\r\n", .status = status}, with_other);
      cr_assert(fleet.RunUntil([&fleet] {
        fleet.Call();
        return fleet.pausing.requests > 0;
      }));
      const int arrivals = fleet.ArrivalsFor(1'300ms);
      cr_expect_eq(arrivals, 0, "%d, %s: %d", status, with_other ? "two" : "one", arrivals);
      cr_expect_gt(fleet.ArrivalsFor(1'000ms), 0);
    }
  }
}

// Guards against holding a request until its deadline, or against a Retry-After that comes too
// early, when all endpoints want no requests.
Test(forward_refusal_pause, of_all_endpoints_refuses_requests_at_once) {
  PausingFleet fleet({.fields = "Retry-After: 30\r\n"});
  cr_assert_eq(fleet.Call()->status, 503);
  const SteadyTime before = fleet.clock.Now();
  const auto answer = fleet.Call();
  cr_assert_eq(answer->status, 503);
  cr_assert(fleet.clock.Now() - before < 500ms);
  // A half of the longest time that a caller is told, since others may have an endpoint for it.
  cr_assert_geq(std::stod(std::string(http::FindHeader(answer->headers, "Retry-After"))), 1.0);
  cr_assert_eq(fleet.pausing.requests, 1);
}

// Guards against a pause that is shorter than the usual one of a full endpoint, or without an end,
// because the time is malformed; and against using the shorter one of two.
Test(forward_refusal_pause, of_a_malformed_time_is_the_usual_one, .timeout = 60) {
  for (const char* value : {"-5", "soon", "1e9", "", "Fri, 31 Dec 2100 23:59:59 GMT"}) {
    PausingFleet fleet({.fields = "Retry-After: " + std::string(value) + "\r\n"}, true);
    cr_assert(fleet.RunUntil([&fleet] {
      fleet.Call();
      return fleet.pausing.requests > 0;
    }));
    cr_expect_eq(fleet.ArrivalsFor(50ms), 0, "%s", value);
    cr_expect_gt(fleet.ArrivalsFor(1'500ms), 0, "%s", value);
  }
  PausingFleet fleet({.fields = "Retry-After: 0\r\nRetry-After: 1\r\nRetry-After: x\r\n"}, true);
  cr_assert(fleet.RunUntil([&fleet] {
    fleet.Call();
    return fleet.pausing.requests > 0;
  }));
  cr_expect_eq(fleet.ArrivalsFor(800ms), 0);
}

// Guards against a pause because of what is not the endpoint's refusal: a copy of a refusal of
// another request, or a refusal of another process at its address.
Test(forward_refusal_pause, is_not_read_from_other_bytes) {
  ForwarderFixture fleet;
  ScriptedServer& endpoint = fleet.AddEndpoint("e1", [](Connection& connection) {
    connection.Write(HttpText(503,
                              std::string("Refused: 1\r\nAttempt: other\r\n") + kKeepAlive +
                                  "Retry-After: 5\r\n",
                              "") +
                     HttpText(200, SignedHeaders(connection) + kKeepAlive, "answer"));
  });
  fleet.Configure(TestRoute(RequestKind::kIdempotent));
  fleet.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fleet.Call()->status, 200);
  }
  cr_assert_eq(endpoint.requests, 5);
}

// Guards against a retry that waits for its timer and starts at an endpoint that has meanwhile
// named a time in which it wants no requests, on a kept connection or a new one.
Test(forward_refusal_pause, holds_for_a_delayed_step) {
  cr_assert_eq(testing::ArrivalsOfDelayedStep(""), 1, "the retry must arrive without a reason");
  cr_assert_eq(testing::ArrivalsOfDelayedStep("Retry-After: 5\r\n"), 0);
}

// Guards against sending a request on a connection that opens after the endpoint has named a time.
Test(forward_refusal_pause, holds_for_a_connection_that_was_being_opened) {
  cr_assert_eq(testing::ArrivalsOnOpenedConnection(""), 1);
  cr_assert_eq(testing::ArrivalsOnOpenedConnection("Retry-After: 5\r\n"), 0);
}

// Guards against the probe of the circuit breaker during the pause, and against a breaker that
// admits none after it.
Test(forward_refusal_pause, holds_for_the_probe_of_the_breaker, .timeout = 30) {
  cr_assert_gt(testing::ArrivalsAfterFailures("").early, 0);
  const testing::ProbeArrivals arrivals = testing::ArrivalsAfterFailures("Retry-After: 1.5\r\n");
  cr_assert_eq(arrivals.early, 0);
  cr_assert_gt(arrivals.late, 0);
}
