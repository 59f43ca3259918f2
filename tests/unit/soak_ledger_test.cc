#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "soak/answer_text.h"
#include "soak/ledger.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using soak::Ledger;
using soak::SoakRequest;

constexpr SteadyTime kStart{1'000s};

/// A ledger to which a test adds a request that was answered after 20 ms.
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
    request.ended = now + 20ms;
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

  [[nodiscard]] bool Breaks(const std::string& invariant) const {
    const std::vector<std::string> violations = ledger.Check(now + 30s, false);
    return std::any_of(violations.begin(), violations.end(), [&invariant](const std::string& text) {
      return text.starts_with(invariant + ": ");
    });
  }
};

}  // namespace

// Guards against a soak that reports violations for a correct request.
Test(soak_ledger, accepts_a_correct_request) {
  Fixture fixture;
  fixture.Send("/call/", RequestKind::kNonIdempotent, 200);
  fixture.Run("alpha-0", "/call/", kStart + 5ms);
  cr_assert(fixture.ledger.Check(kStart + 30s, false).empty());
}

// Guards against a soak that misses calls that ran twice, or that ran and were answered with a
// status that says they did not.
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

// Guards against a soak that accepts truncated, unsigned or mismatched answers.
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

// Guards against a soak that reports a complete and signed answer as truncated.
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

// Guards against a soak that misses the use of a revoked key. Revocation must hold during faults
// too.
Test(soak_ledger, finds_revoked_keys_at_any_time) {
  Fixture fixture;
  fixture.ledger.OnFaultBegin(Ledger::kStore, kStart - 60s);
  fixture.ledger.OnKeyRevoked("key", kStart - 5'001ms);
  fixture.Send("/look/", RequestKind::kIdempotent, 200);
  cr_assert(!fixture.Breaks("keys"));
  fixture.Run("alpha-0", "/look/", kStart + 5ms);
  cr_assert(fixture.Breaks("keys"));
}

// Guards against a soak that checks time bounds during faults of the router, or never checks them.
Test(soak_ledger, checks_time_bounds_only_without_faults_of_the_router) {
  for (const bool has_fault : {false, true}) {
    Fixture fixture;
    if (has_fault) {
      fixture.ledger.OnFaultBegin(Ledger::RouterScope(0), kStart - 4s);
      fixture.ledger.OnFaultEnd(Ledger::RouterScope(0), kStart - 2s);
    }
    fixture.ledger.OnDraining("alpha-0", kStart - 2'500ms);
    fixture.ledger.OnConfiguration("alpha", kStart - 9s);
    fixture.ledger.OnConfiguration("beta", kStart - 2'100ms);
    fixture.Send("/move/", RequestKind::kIdempotent, 200);
    fixture.Run("alpha-0", "/move/", kStart + 5ms);
    cr_assert_eq(fixture.Breaks("drain"), !has_fault);
    cr_assert_eq(fixture.Breaks("configuration"), !has_fault);
  }
}

// Guards against a soak that accepts a request interrupted by a planned stop because something else
// has a fault, or reports one that was interrupted by a fault of its router or endpoint.
Test(soak_ledger, finds_requests_that_a_planned_stop_cut) {
  struct Case {
    Ledger::Scope fault;
    bool is_excuse;
  };
  const std::vector<Case> cases = {
      {Ledger::StopScope(0), false},   {"alpha-0", true}, {Ledger::RouterScope(0), true},
      {Ledger::RouterScope(1), false}, {"beta-0", false}, {Ledger::kStore, false},
  };
  for (const Case& fault : cases) {
    Fixture fixture;
    fixture.ledger.OnFaultBegin(fault.fault, kStart - 1s);
    SoakRequest& request = fixture.Send("/call/", RequestKind::kNonIdempotent, 0);
    request.complete = false;
    fixture.Run("alpha-0", "/call/", kStart + 5ms);
    cr_assert_eq(fixture.Breaks("cut"), !fault.is_excuse, "%s", fault.fault.c_str());
  }
}

// Guards against a soak that misses requests that never end and executions without a request.
Test(soak_ledger, finds_missing_ends_and_foreign_runs) {
  Fixture fixture;
  SoakRequest& request = fixture.Send("/call/", RequestKind::kNonIdempotent, 0);
  request.ended.reset();
  cr_assert(fixture.Breaks("timeout"));
  fixture.ledger.AddEndpointLine("1 alpha-0 run a2 /call/x soak - 1400");
  cr_assert(fixture.Breaks("foreign"));
}
