// Endpoints that report how fast their machines work, and a router that sends calls accordingly.

#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ForwarderFixture;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::TestRoute;

/// Answers with a load report.
ScriptedServer::Handler AnswerWithLoad(const std::string& load) {
  return [load](ScriptedServer::Connection& connection) {
    connection.Write(HttpText(
        200, SignedHeaders(connection) + "Keep-Alive: timeout=5\r\nLoad: " + load + "\r\n", "ok"));
  };
}

struct UnevenPair : ForwarderFixture {
  UnevenPair(const std::string& slow_load, const std::string& fast_load,
             settings::FeatureMode mode = settings::FeatureMode::kAuto)
      : slow(AddEndpoint("slow", AnswerWithLoad(slow_load))),
        fast(AddEndpoint("fast", AnswerWithLoad(fast_load))) {
    settings.balancing.learned_performance = mode;
    Configure(TestRoute(RequestKind::kIdempotent, 3));
    Start();
    for (int i = 0; i < kCalls; ++i) {
      Call();
    }
  }

  static constexpr int kCalls = 40;
  ScriptedServer& slow;
  ScriptedServer& fast;
};

}  // namespace

// Guards against a pace that is read but has no effect, and against a setting without effect.
Test(forward_learned_performance, sends_calls_to_the_endpoint_that_reports_to_be_faster) {
  const UnevenPair learned("0,0,6,400", "0,0,6,100");
  cr_assert_eq(learned.slow.requests + learned.fast.requests, UnevenPair::kCalls);
  cr_assert_leq(learned.slow.requests, UnevenPair::kCalls / 5);
  const UnevenPair off("0,0,6,400", "0,0,6,100", settings::FeatureMode::kOff);
  cr_assert_geq(off.slow.requests, UnevenPair::kCalls / 4);
}

// Guards against losing the load with a malformed pace, and against reports that go unnoticed.
Test(forward_learned_performance, uses_the_load_beside_a_malformed_pace) {
  UnevenPair pair("6,3,6,slow", "0,0,6,fast");
  cr_assert_leq(pair.slow.requests, UnevenPair::kCalls / 5, "%d requests", pair.slow.requests);
  cr_assert_eq(pair.metrics.GetCounter("forward_pace_reports_total{result=\"malformed\"}").value(),
               UnevenPair::kCalls);
  cr_assert_eq(pair.metrics.GetCounter("forward_pace_reports_total{result=\"used\"}").value(), 0);
}
