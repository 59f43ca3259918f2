#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "soak/answer_text.h"
#include "soak/ledger.h"

// Last: its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using soak::Ledger;
using soak::SoakRequest;

constexpr SteadyTime kStart{1'000s};

/// A ledger with one request that was answered 20 ms after it was sent.
struct Fixture {
  Ledger ledger{settings::ForwarderBounds{}};
  SteadyTime now = kStart;

  SoakRequest& Send(const std::string& prefix, RequestKind kind, int status) {
    SoakRequest request;
    request.attempt = "a1";
    request.prefix = prefix;
    request.kind = kind;
    request.timeout = 1'500ms;
    request.size = 2;
    request.api_key = "key";
    request.sent = now;
    request.done = now + 20ms;
    request.complete = true;
    request.status = status;
    request.is_signed = true;
    request.body = soak::CallBody("a1", 2);
    return ledger.Begin(request);
  }

  void Run(const std::string& endpoint, const std::string& prefix, SteadyTime at) {
    ledger.AddEndpointLine(std::to_string(at.time_since_epoch().count()) + " " + endpoint +
                           " run a1 " + prefix + "x soak - 1400");
  }

  [[nodiscard]] bool Breaks(const std::string& promise) const {
    const std::vector<std::string> broken = ledger.Check(now + 30s, false);
    return std::any_of(broken.begin(), broken.end(), [&promise](const std::string& text) {
      return text.starts_with(promise + ": ");
    });
  }
};

}  // namespace

// Guards against a soak that reports sound runs.
Test(soak_ledger, accepts_a_sound_request) {
  Fixture fixture;
  fixture.Send("/call/", RequestKind::kNonIdempotent, 200);
  fixture.Run("alpha-0", "/call/", kStart + 5ms);
  cr_assert(fixture.ledger.Check(kStart + 30s, false).empty());
}

// Guards against a soak that misses calls that ran twice, or ran though they were refused.
Test(soak_ledger, finds_repeated_and_falsely_refused_calls) {
  Fixture fixture;
  SoakRequest& request = fixture.Send("/call/", RequestKind::kNonIdempotent, 200);
  fixture.Run("alpha-0", "/call/", kStart + 5ms);
  fixture.Run("alpha-1", "/call/", kStart + 9ms);
  cr_assert(fixture.Breaks("once"));
  cr_assert(!fixture.Breaks("not_run"));
  request.status = 503;
  cr_assert(fixture.Breaks("not_run"));
}

// Guards against a soak that takes partial, unsigned or foreign answers for whole ones.
Test(soak_ledger, finds_answers_that_are_not_those_of_the_request) {
  Fixture fixture;
  SoakRequest& request = fixture.Send("/look/", RequestKind::kIdempotent, 200);
  request.body.pop_back();
  cr_assert(fixture.Breaks("whole"));
  request.body = soak::CallBody("a2", 2);
  cr_assert(fixture.Breaks("order"));
  request.body = soak::CallBody("a1", 2);
  request.is_signed = false;
  cr_assert(fixture.Breaks("whole"));
}

// Guards against a soak that reports a whole and signed answer.
Test(soak_ledger, accepts_a_whole_answer) {
  Fixture fixture;
  fixture.Send("/look/", RequestKind::kIdempotent, 200);
  cr_assert(!fixture.Breaks("whole"));
}

// Guards against a soak that misses gaps in a stream.
Test(soak_ledger, finds_gaps_in_streams) {
  Fixture fixture;
  SoakRequest& request = fixture.Send("/stream/", RequestKind::kStream, 200);
  request.complete = false;
  request.body = soak::StreamEvent("a1", 2);
  cr_assert(fixture.Breaks("order"));
  request.body = soak::StreamEvent("a1", 1) + soak::StreamEvent("a1", 2);
  cr_assert(!fixture.Breaks("order"));
}

// Guards against a soak that misses revoked keys, also around faults.
Test(soak_ledger, finds_revoked_keys_at_any_time) {
  Fixture fixture;
  fixture.ledger.OnTroubleBegin(Ledger::kStore, kStart - 60s);
  fixture.ledger.OnKeyRevoked("key", kStart - 5'001ms);
  fixture.Send("/look/", RequestKind::kIdempotent, 200);
  cr_assert(!fixture.Breaks("keys"));
  fixture.Run("alpha-0", "/look/", kStart + 5ms);
  cr_assert(fixture.Breaks("keys"));
}

// Guards against a soak that holds a router to time bounds that it can't keep, or never does.
Test(soak_ledger, holds_routers_to_time_bounds_while_nothing_is_wrong_with_them) {
  for (const bool trouble : {false, true}) {
    Fixture fixture;
    if (trouble) {
      fixture.ledger.OnTroubleBegin(Ledger::RouterScope(0), kStart - 4s);
      fixture.ledger.OnTroubleEnd(Ledger::RouterScope(0), kStart - 2s);
    }
    fixture.ledger.OnDraining("alpha-0", kStart - 2'500ms);
    fixture.ledger.OnConfiguration("alpha", kStart - 9s);
    fixture.ledger.OnConfiguration("beta", kStart - 2'100ms);
    fixture.Send("/move/", RequestKind::kIdempotent, 200);
    fixture.Run("alpha-0", "/move/", kStart + 5ms);
    cr_assert_eq(fixture.Breaks("drain"), !trouble);
    cr_assert_eq(fixture.Breaks("configuration"), !trouble);
  }
}

// Guards against a soak that excuses a cut by a planned stop, or reports one that an endpoint
// caused.
Test(soak_ledger, finds_requests_that_a_planned_stop_cut) {
  for (const bool endpoint_failed : {false, true}) {
    Fixture fixture;
    fixture.ledger.OnTroubleBegin(endpoint_failed ? "alpha-0" : Ledger::StopScope(0), kStart - 1s);
    SoakRequest& request = fixture.Send("/call/", RequestKind::kNonIdempotent, 0);
    request.complete = false;
    fixture.Run("alpha-0", "/call/", kStart + 5ms);
    cr_assert_eq(fixture.Breaks("cut"), !endpoint_failed);
  }
}

// Guards against a soak that misses requests without an end and runs that nobody asked for.
Test(soak_ledger, finds_missing_ends_and_foreign_runs) {
  Fixture fixture;
  SoakRequest& request = fixture.Send("/call/", RequestKind::kNonIdempotent, 0);
  request.done.reset();
  cr_assert(fixture.Breaks("timeout"));
  fixture.ledger.AddEndpointLine("1 alpha-0 run a2 /call/x soak - 1400");
  cr_assert(fixture.Breaks("foreign"));
}
