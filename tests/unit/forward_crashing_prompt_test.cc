// Prompts under which endpoints crash.

#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::Event;
using testing::ForwarderFixture;
using testing::ScriptedServer;
using testing::StreamHead;

using Connection = ScriptedServer::Connection;

// The platform tolerates this many crashes by one part of a prompt.
constexpr int kToleratedCrashes = 5;

constexpr std::string_view kDeadlyPart = "dead";

/// Endpoints that crash when they begin to answer a prompt with the part `dead`.
struct CrashingEndpoints : ForwarderFixture {
  explicit CrashingEndpoints(int count) {
    for (int i = 1; i <= count; ++i) {
      const std::string name = "e" + std::to_string(i);
      AddEndpoint(name, [this, name](Connection& connection) { Answer(name, connection); });
    }
    auto route = testing::TestRoute(RequestKind::kStream, 3);
    route.resumable = true;
    route.has_prompt = true;
    Configure(route);
    Start();
  }

  void Answer(const std::string& name, Connection& connection) {
    const std::string_view parts = http::FindHeader(connection.head.headers, "Parts");
    if (parts.find(kDeadlyPart) == std::string_view::npos) {
      connection.Write(StreamHead(connection) + Event(1) + "0\r\n\r\n");
      return;
    }
    ++crashes;
    if (answers_before_crash) {
      connection.Write(StreamHead(connection));
    }
    CrashEndpoint(name);
  }

  /// Sends a request whose prompt has these shared parts and one of its own.
  std::shared_ptr<testing::CallerAnswer> CallWith(const std::string& shared_parts) {
    const std::string own = std::to_string(++calls);
    return Call("Attempt: r-" + own + "\r\nParts: " + shared_parts + "," + own + ":7\r\n");
  }

  bool answers_before_crash = true;
  int crashes = 0;
  int calls = 0;
};

}  // namespace

// Guards against sending requests with a part that crashes endpoints to one endpoint after another,
// and against refusing the sound requests that share their other parts.
Test(forward_crashing_prompt, goes_to_few_endpoints, .timeout = 30) {
  CrashingEndpoints fleet(16);
  cr_assert_eq(fleet.CallWith("a:800,b:9")->status, 200);
  for (int i = 0; i < 12; ++i) {
    cr_assert_neq(fleet.CallWith("a:800,dead:9")->status, 200);
    cr_assert_eq(fleet.CallWith("a:800,b:9")->status, 200);
  }
  cr_assert_leq(fleet.crashes, kToleratedCrashes);
}

// Guards against the same where the endpoint crashes before the head of its answer arrives.
Test(forward_crashing_prompt, goes_to_few_endpoints_that_do_not_answer, .timeout = 30) {
  CrashingEndpoints fleet(16);
  fleet.answers_before_crash = false;
  cr_assert_eq(fleet.CallWith("a:800,b:9")->status, 200);
  for (int i = 0; i < 12; ++i) {
    cr_assert_neq(fleet.CallWith("a:800,dead:9")->status, 200);
    cr_assert_eq(fleet.CallWith("a:800,b:9")->status, 200);
  }
  cr_assert_leq(fleet.crashes, kToleratedCrashes);
}

// Guards against each router finding out for itself which part crashes endpoints.
Test(forward_crashing_prompt, is_known_to_a_router_that_has_not_sent_it, .timeout = 30) {
  CrashingEndpoints fleet(16);
  cr_assert_eq(fleet.CallWith("a:800,b:9")->status, 200);
  for (int i = 0; i < 4; ++i) {
    (void)fleet.CallWith("a:800,dead:9");
  }
  const int crashes = fleet.crashes;
  cr_assert_leq(crashes, kToleratedCrashes);
  const auto first = std::move(fleet.forwarder);
  fleet.Start();
  fleet.loop.RunFor(1'000ms);
  cr_assert_eq(fleet.CallWith("c:800,b:9")->status, 200);
  cr_assert_eq(fleet.CallWith("c:800,dead:9")->status, 503);
  cr_assert_eq(fleet.crashes, crashes);
}
