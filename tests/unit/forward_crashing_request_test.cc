// Requests under which endpoints crash, and which come again.

#include <chrono>
#include <list>
#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ForwarderFixture;
using testing::ScriptedServer;

using Connection = ScriptedServer::Connection;

// The platform tolerates this many crashes by one request, and as many further sends of it.
constexpr int kToleratedCrashes = 3;
constexpr int kToleratedSends = kToleratedCrashes + 3;

constexpr std::string_view kDeadlyBody = "deadly";

/// Endpoints that crash when they run a request with the deadly body.
struct CrashingEndpoints : ForwarderFixture {
  explicit CrashingEndpoints(RequestKind kind) {
    constexpr int kEndpoints = 16;
    for (int i = 1; i <= kEndpoints; ++i) {
      const std::string name = "e" + std::to_string(i);
      AddEndpoint(name, [this, name](Connection& connection) {
        if (connection.body == kDeadlyBody) {
          if (answers_before_crash) {
            connection.Write("HTTP/1.1 200 OK\r\n" + testing::SignedHeaders(connection) +
                             "Content-Length: 100\r\n\r\npart");
          }
          timers.emplace_back(loop, [this, name] {
            ++crashes;
            CrashEndpoint(name);
          });
          timers.back().Start(time_to_crash);
        } else {
          testing::AnswerOk(connection);
        }
      });
    }
    constexpr std::uint32_t kAttempts = 2;
    Configure(testing::TestRoute(kind, kAttempts));
    Start();
  }

  /// Sends a request with this body under a new id, and returns its status.
  int StatusOf(std::string_view body) {
    return Call("Attempt: r-" + std::to_string(++calls) + "\r\n", body, "POST")->status;
  }

  std::chrono::milliseconds time_to_crash{0};
  std::list<net::Timer> timers;
  bool answers_before_crash = false;
  int crashes = 0;
  int calls = 0;
};

}  // namespace

// Guards against sending a request under which endpoints crash to one endpoint after another, each
// time that it comes again (BUDGET), and against refusing other requests of its caller.
Test(forward_crashing_request, goes_to_few_endpoints, .timeout = 30) {
  for (const RequestKind kind : {RequestKind::kIdempotent, RequestKind::kNonIdempotent}) {
    CrashingEndpoints fleet(kind);
    for (int i = 0; i < 12; ++i) {
      cr_assert_neq(fleet.StatusOf(kDeadlyBody), 200);
      cr_assert_eq(fleet.StatusOf("sound"), 200);
    }
    cr_assert_leq(fleet.crashes, kToleratedSends);
    cr_assert_eq(fleet.StatusOf(kDeadlyBody), 503);
  }
}

// Guards against the same where the endpoint crashes in the middle of its answer.
Test(forward_crashing_request, goes_to_few_endpoints_that_begin_to_answer, .timeout = 30) {
  CrashingEndpoints fleet(RequestKind::kIdempotent);
  fleet.answers_before_crash = true;
  for (int i = 0; i < 12; ++i) {
    cr_assert_neq(fleet.StatusOf(kDeadlyBody), 200);
    cr_assert_eq(fleet.StatusOf("sound"), 200);
  }
  cr_assert_leq(fleet.crashes, kToleratedSends);
}

// Guards against the same where the endpoint crashes only after another one was asked, because it
// was silent.
Test(forward_crashing_request, goes_to_few_endpoints_that_are_silent, .timeout = 60) {
  CrashingEndpoints fleet(RequestKind::kIdempotent);
  // Between the time after which another endpoint is asked, and that after which it has accepted.
  fleet.time_to_crash = 350ms;
  while (fleet.crashes < kToleratedCrashes) {
    cr_assert_neq(fleet.StatusOf(kDeadlyBody), 200);
    fleet.loop.RunFor(500ms);
  }
  cr_assert_eq(fleet.StatusOf(kDeadlyBody), 503);
  cr_assert_eq(fleet.StatusOf("sound"), 200);
}

// Guards against each router finding out for itself which request crashes endpoints.
Test(forward_crashing_request, is_known_to_a_router_that_has_not_sent_it, .timeout = 30) {
  CrashingEndpoints fleet(RequestKind::kIdempotent);
  for (int i = 0; i < 4; ++i) {
    (void)fleet.StatusOf(kDeadlyBody);
  }
  const int crashes = fleet.crashes;
  cr_assert_leq(crashes, kToleratedSends);
  fleet.loop.RunFor(500ms);
  const auto first = std::move(fleet.forwarder);
  fleet.Start();
  fleet.loop.RunFor(1'000ms);
  cr_assert_eq(fleet.StatusOf(kDeadlyBody), 503);
  cr_assert_eq(fleet.StatusOf("sound"), 200);
  cr_assert_eq(fleet.crashes, crashes);
}

// Guards against refusing a request that is sound: it was cut together with one under which
// endpoints crash, and is answered when it comes again.
Test(forward_crashing_request, leaves_a_request_that_was_cut_by_chance, .timeout = 30) {
  CrashingEndpoints fleet(RequestKind::kIdempotent);
  for (int i = 0; i < 8; ++i) {
    const auto sound = fleet.Send("Attempt: s-" + std::to_string(i) + "\r\n", "sound", "POST");
    (void)fleet.StatusOf(kDeadlyBody);
    cr_assert(fleet.RunUntil([&sound] { return sound->complete; }));
    cr_assert_eq(sound->status, 200);
  }
}
