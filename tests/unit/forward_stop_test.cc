// Planned stops under load.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::AnswerOk;
using testing::HttpText;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

// Just before the forwarder closes its listener.
constexpr std::chrono::milliseconds kShortlyBeforeClosing = 2'400ms;

struct StoppingForwarder : SingleEndpoint {
  explicit StoppingForwarder(std::chrono::milliseconds route_timeout = 2'000ms)
      : SingleEndpoint(RouteWithTimeout(route_timeout), AnswerOk) {}

  static forward::Route RouteWithTimeout(std::chrono::milliseconds timeout) {
    auto route = TestRoute(RequestKind::kIdempotent);
    route.timeout = timeout;
    return route;
  }

  /// Begins the stop and runs the loop until shortly before the listener closes.
  void BeginStop() {
    forwarder->BeginStop();
    loop.RunFor(kShortlyBeforeClosing);
  }

  /// Runs the loop while the caller waits for a complete response.
  [[nodiscard]] bool GetsAnswer(RawConnection& caller) {
    std::string received;
    std::thread reader([&] { received = caller.ReadUntil("answer"); });
    RunUntil([this] { return stopped; });
    // Ends the reader in case there is no response.
    forwarder.reset();
    loop.RunFor(10ms);
    reader.join();
    return received.find("200 OK") != std::string::npos;
  }
};

}  // namespace

// Guards against resetting connections that the kernel has accepted for the router while it was
// busy.
Test(forward_stop, answers_a_connection_that_waits_to_be_accepted, .timeout = 30) {
  StoppingForwarder fleet;
  fleet.BeginStop();
  RawConnection caller(fleet.forwarder->CallerAddress());
  caller.Write(testing::RequestText());
  std::this_thread::sleep_for(200ms);
  cr_assert(fleet.GetsAnswer(caller));
}

// Guards against closing a connection that was just accepted and whose first request is on its way.
Test(forward_stop, answers_the_first_request_of_a_new_connection, .timeout = 30) {
  StoppingForwarder fleet;
  fleet.BeginStop();
  RawConnection caller(fleet.forwarder->CallerAddress());
  fleet.loop.RunFor(300ms);
  caller.Write(testing::RequestText());
  cr_assert(fleet.GetsAnswer(caller));
}

// Guards against passing on a request that arrives so late in a planned stop that the end of the
// stop may cut it.
Test(forward_stop, refuses_a_late_request_that_may_outlast_the_stop, .timeout = 30) {
  StoppingForwarder fleet(6'000ms);
  fleet.BeginStop();
  RawConnection caller(fleet.forwarder->CallerAddress());
  fleet.loop.RunFor(300ms);
  caller.Write(testing::RequestText());
  fleet.loop.RunFor(100ms);
  const std::string received = caller.ReadToEnd();
  cr_assert_neq(received.find(" 503 "), std::string::npos);
  cr_assert_neq(received.find("Retry-After: "), std::string::npos);
  cr_assert_eq(fleet.endpoint.requests, 0);
}

// Guards against refusing long requests while the load balancer still leads callers to the router.
Test(forward_stop, answers_a_long_request_that_arrives_early, .timeout = 30) {
  StoppingForwarder fleet(20'000ms);
  RawConnection caller(fleet.forwarder->CallerAddress());
  fleet.forwarder->BeginStop();
  caller.Write(testing::RequestText());
  cr_assert(fleet.GetsAnswer(caller));
}

// Guards against resetting a kept connection on which a request has arrived that was not read yet.
Test(forward_stop, answers_a_request_on_a_kept_connection, .timeout = 30) {
  StoppingForwarder fleet;
  RawConnection caller(fleet.forwarder->CallerAddress());
  caller.Write(testing::RequestText());
  cr_assert(fleet.RunUntil([&fleet] { return fleet.endpoint.requests == 1; }));
  fleet.loop.RunFor(50ms);
  cr_assert_neq(caller.ReadUntil("answer").find("200 OK"), std::string::npos);
  fleet.BeginStop();
  caller.Write(testing::RequestText());
  std::this_thread::sleep_for(200ms);
  fleet.RunUntil([&fleet] { return fleet.stopped; });
  cr_assert_eq(fleet.endpoint.requests, 2);
}

// Guards against a stop that never ends because of a connection without a request.
Test(forward_stop, ends_although_a_connection_stays_idle, .timeout = 30) {
  StoppingForwarder fleet;
  fleet.BeginStop();
  const RawConnection caller(fleet.forwarder->CallerAddress());
  cr_assert(fleet.RunUntil([&fleet] { return fleet.stopped; }));
}

// Guards against cutting a response that the router has and a slow caller has not read yet.
Test(forward_stop, lets_a_slow_caller_read_its_answer, .timeout = 30) {
  const std::string body = std::string(400U << 10U, 'x') + "end";
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [&body](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection), body));
  });
  RawConnection caller(fleet.forwarder->CallerAddress(), 4'096);
  caller.Write(testing::RequestText("Connection: close\r\n"));
  fleet.loop.RunFor(1'500ms);
  std::string received;
  std::thread reader([&] { received = caller.ReadToEnd(); });
  fleet.loop.RunFor(1'500ms);
  reader.join();
  cr_assert(received.ends_with("end"));
}
