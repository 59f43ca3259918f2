#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "platform/adapter.h"
#include "soak/answer_text.h"
#include "soak/deployment_wire.h"
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
  Ledger ledger{settings::ForwarderBounds{.cold_factor = 1.5, .cold_slack = 5}};
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

  /// Adds a line of the log of the endpoint `alpha-0`, `rest` from the event on.
  void Log(SteadyTime at, const std::string& rest) {
    ledger.AddEndpointLine(std::to_string(at.time_since_epoch().count()) + " alpha-0 " + rest);
  }

  /// Adds a request of a router, and its run at `alpha-0`.
  void RunOf(std::size_t router, const std::string& attempt, SteadyTime at) {
    SoakRequest request;
    request.attempt = attempt;
    request.prefix = "/look/";
    request.kind = RequestKind::kIdempotent;
    request.timeout = 1'500ms;
    request.router = router;
    request.sent = at;
    request.ended = at + 20ms;
    request.complete = true;
    request.status = 503;
    ledger.Begin(request);
    Log(at, "run " + attempt + " /look/x soak - 1400");
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

// Guards against a soak that misses requests to an endpoint that leaves or has named a pause, and
// against one that reports what the router could not know: from one answer, which it may have given
// up, from the answers to another router, from those before a fault, or of an earlier process.
Test(soak_ledger, finds_requests_to_endpoints_that_want_none) {
  struct Case {
    const char* announcement;
    const char* invariant;
    int announcements = 2;
    std::size_t later_router = 0;
    std::chrono::milliseconds later = 3s;
    Ledger::Scope fault = {};
    bool restarts = false;
    bool is_violation = false;
  };
  const std::vector<Case> cases = {
      {.announcement = "leave", .invariant = "leaving", .is_violation = true},
      {.announcement = "leave", .invariant = "leaving", .announcements = 1},
      {.announcement = "leave", .invariant = "leaving", .later_router = 1},
      {.announcement = "leave", .invariant = "leaving", .later = 2s},
      {.announcement = "leave", .invariant = "leaving", .later = 60s, .is_violation = true},
      {.announcement = "leave", .invariant = "leaving", .fault = Ledger::RouterScope(0)},
      {.announcement = "leave", .invariant = "leaving", .fault = Ledger::StopScope(0)},
      {.announcement = "leave", .invariant = "leaving", .fault = "alpha-0"},
      {.announcement = "leave",
       .invariant = "leaving",
       .fault = Ledger::kStore,
       .is_violation = true},
      {.announcement = "leave", .invariant = "leaving", .restarts = true},
      {.announcement = "refuse", .invariant = "pause", .is_violation = true},
      {.announcement = "refuse", .invariant = "pause", .announcements = 1},
      {.announcement = "refuse", .invariant = "pause", .later_router = 1},
      {.announcement = "refuse", .invariant = "pause", .later = 6s},
      {.announcement = "refuse", .invariant = "pause", .restarts = true},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& test = cases[i];
    Fixture fixture;
    for (int answer = 0; answer < test.announcements; ++answer) {
      const std::string attempt = "b" + std::to_string(answer);
      fixture.RunOf(0, attempt, kStart);
      fixture.Log(kStart + 10ms, std::string(test.announcement) + " " + attempt + " 503 5000");
    }
    if (!test.fault.empty()) {
      fixture.ledger.OnFaultBegin(test.fault, kStart + 1s);
      fixture.ledger.OnFaultEnd(test.fault, kStart + 2s);
    }
    if (test.restarts) {
      fixture.Log(kStart + 1s, "start warm");
    }
    cr_assert_not(fixture.Breaks(test.invariant), "case %zu", i);
    fixture.RunOf(test.later_router, "c1", kStart + 10ms + test.later);
    cr_assert_eq(fixture.Breaks(test.invariant), test.is_violation, "case %zu", i);
  }
}

// Guards against a soak that misses requests to a zone that has been evacuated for longer than the
// bound, or reports those before it, after its end, or of a router without the key-value service.
Test(soak_ledger, finds_requests_to_evacuated_zones) {
  struct Case {
    std::string zone;
    std::chrono::milliseconds at;
    Ledger::Scope fault;
    bool is_violation;
  };
  const std::vector<Case> cases = {
      {"zone-2", 5'100ms, "", true},
      {"zone-2", 4'900ms, "", false},
      {"zone-2", 8'100ms, "", false},
      {"zone-1", 5'100ms, "", false},
      {"zone-2", 5'100ms, Ledger::kStore, false},
      {"zone-2", 5'100ms, Ledger::RouterScope(0), false},
      {"zone-2", 5'100ms, Ledger::RouterScope(1), true},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& test = cases[i];
    Fixture fixture;
    fixture.ledger.OnEndpointStarted("alpha-0", "zone-2");
    fixture.ledger.OnEvacuated(test.zone, kStart);
    fixture.ledger.OnRestored(test.zone, kStart + 8s);
    if (!test.fault.empty()) {
      fixture.ledger.OnFaultBegin(test.fault, kStart + 1s);
      fixture.ledger.OnFaultEnd(test.fault, kStart + 2s);
    }
    fixture.RunOf(0, "b1", kStart + test.at);
    cr_assert_eq(fixture.Breaks("evacuated"), test.is_violation, "case %zu", i);
  }
}

// Guards against a soak that misses a flood on a cold endpoint, or counts requests that were held
// up on the way, that answer another process's name, or that come from a router with a fault.
Test(soak_ledger, finds_floods_on_cold_endpoints) {
  struct Case {
    std::string start;
    std::chrono::milliseconds from;
    std::chrono::milliseconds gap;
    Ledger::Scope fault;
    bool is_violation;
  };
  // The limit is 8 in a second.
  const std::vector<Case> cases = {
      {"start cold", 2s, 100ms, "", true},
      {"start cold", 2s, 130ms, "", false},
      {"start warm", 2s, 100ms, "", false},
      {"start cold", 500ms, 100ms, "", false},
      {"start cold", 4s, 100ms, "", false},
      {"start cold", 2s, 100ms, Ledger::HeldScope("alpha-0"), false},
      {"start cold", 2s, 100ms, Ledger::RouterScope(0), false},
      {"start cold", 2s, 100ms, Ledger::kStore, false},
      {"start cold", 2s, 100ms, "alpha-0", true},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& test = cases[i];
    Fixture fixture;
    fixture.Log(kStart, test.start);
    if (!test.fault.empty()) {
      fixture.ledger.OnFaultBegin(test.fault, kStart - 1s);
      fixture.ledger.OnFaultEnd(test.fault, kStart);
    }
    for (int request = 0; request < 9; ++request) {
      fixture.RunOf(0, "b" + std::to_string(request), kStart + test.from + request * test.gap);
    }
    cr_assert_eq(fixture.Breaks("cold"), test.is_violation, "case %zu", i);
  }
  Fixture fixture;
  fixture.Log(kStart, "start cold");
  for (int request = 0; request < 9; ++request) {
    fixture.Send("/look/", RequestKind::kIdempotent, 200);
    fixture.Log(kStart + 2s, "refuse a1 421 0");
  }
  cr_assert_not(fixture.Breaks("cold"), "requests that were answered with 421 do not count");
}

// Guards against a key-value service of the soak that drops what the routers write, so that each
// router takes itself for the only one.
Test(soak_wire, reads_what_routers_write) {
  const auto adapter = adapter::MakeAdapter();
  const std::vector<platform::KeyValueWrite> writes = {{.key = "routers/a", .value = "zone-1"},
                                                       {.key = "routers/b", .value = ""}};
  const std::string request = adapter->Codec().PutRequest(writes, 7);
  const soak::DeploymentStoreWire wire;
  const auto read = wire.ParsePuts(request.substr(request.find("\r\n\r\n") + 4));
  cr_assert_eq(read.size(), writes.size());
  for (std::size_t i = 0; i < writes.size(); ++i) {
    cr_assert_eq(read[i].key, writes[i].key);
    cr_assert_eq(read[i].value, writes[i].value);
  }
}
