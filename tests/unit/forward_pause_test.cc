// A process that was paused or suspended between two steps of a request.

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "http/socket_address.h"
#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::AnswerOk;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SingleEndpoint;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

/// A forwarder that has chosen an endpoint for a request and has not sent it yet.
struct ChosenEndpoint : SingleEndpoint {
  explicit ChosenEndpoint(ScriptedServer::Handler handler = AnswerOk)
      : SingleEndpoint(PromptRoute(), std::move(handler)), caller(forwarder->CallerAddress()) {
    caller.Write(testing::RequestText("Parts: 1:10\r\n", "order", "POST"));
    const Counter& placed = metrics.GetCounter("forward_prompts_total{placed=\"home\"}");
    const Counter& away = metrics.GetCounter("forward_prompts_total{placed=\"away\"}");
    while (placed.value() + away.value() == 0) {
      uv_run(loop.Get(), UV_RUN_ONCE);
    }
    cr_assert_eq(endpoint.requests, 0);
  }

  static forward::Route PromptRoute() {
    auto route = TestRoute(RequestKind::kNonIdempotent);
    route.has_prompt = true;
    return route;
  }

  RawConnection caller;
};

}  // namespace

// Guards against running a request with a key that was revoked while the machine was suspended
// between the check of the key and the sending of the request.
Test(forward_pause, sends_nothing_with_a_key_that_was_not_confirmed_since) {
  for (const std::chrono::seconds pause : {5s, 10s, 30s}) {
    ChosenEndpoint fleet;
    fleet.clock.Suspend(pause);
    std::string received;
    std::thread reader([&] { received = fleet.caller.ReadUntil("\r\n\r\n"); });
    fleet.loop.RunFor(500ms);
    fleet.forwarder.reset();
    fleet.loop.RunFor(10ms);
    reader.join();
    cr_assert_eq(fleet.endpoint.requests, 0);
    cr_assert_neq(received.find(" 503 "), std::string::npos);
  }
}

// Guards against refusing a request because of a pause that is shorter than the bound of
// revocation.
Test(forward_pause, sends_the_request_after_a_short_pause) {
  ChosenEndpoint fleet;
  fleet.clock.Suspend(1s);
  cr_assert(fleet.RunUntil([&] { return fleet.endpoint.requests == 1; }));
}

// Guards against discarding an answer that had arrived when a paused process woke after its time
// limit: expired timers must not run before the sockets are read.
Test(forward_pause, delivers_an_answer_that_arrived_during_a_pause, .timeout = 30) {
  Connection* waiting = nullptr;
  auto route = TestRoute(RequestKind::kNonIdempotent);
  route.timeout = 300ms;
  SingleEndpoint fleet(route, [&waiting](Connection& connection) { waiting = &connection; });
  const auto answer = fleet.Send("", "order", "POST");
  cr_assert(fleet.RunUntil([&] { return waiting != nullptr; }));
  AnswerOk(*waiting);
  std::this_thread::sleep_for(500ms);
  cr_assert(fleet.RunUntil([&] { return answer->complete; }));
  cr_assert_eq(answer->status, 200);
}

// Guards against declaring endpoints silent and repeating their work, because the router itself was
// paused.
Test(forward_pause, takes_no_endpoint_for_silent_after_a_pause, .timeout = 30) {
  Connection* waiting = nullptr;
  testing::TwoEndpoints fleet(
      TestRoute(RequestKind::kIdempotent, 2),
      [&waiting](Connection& connection) { waiting = &connection; }, AnswerOk);
  const auto answer = fleet.Send();
  cr_assert(fleet.RunUntil([&] { return waiting != nullptr; }));
  AnswerOk(*waiting);
  std::this_thread::sleep_for(600ms);
  cr_assert(fleet.RunUntil([&] { return answer->complete; }));
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against running a request whose caller gave up while the router was held up: its request
// and the end of its connection are read together.
Test(forward_pause, sends_nothing_for_a_caller_that_has_already_left) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(testing::HttpText(
        200, testing::SignedHeaders(connection) + "Keep-Alive: timeout=5\r\n", "answer"));
  });
  // The next request could be sent at once, on the connection that this one leaves open.
  cr_assert_eq(fleet.Call()->status, 200);
  {
    const RawConnection caller(fleet.forwarder->CallerAddress());
    caller.Write(testing::RequestText("Parts: 1:10\r\n", "order", "POST"));
  }
  fleet.loop.RunFor(100ms);
  cr_assert_eq(fleet.endpoint.requests, 1);
}

// Guards against delivering a request after its caller has left: what still waits on a slow link to
// the endpoint is discarded.
Test(forward_pause, discards_what_was_not_transmitted_when_the_caller_leaves) {
  // More than the receive buffer of the endpoint, less than the send buffer of the router.
  constexpr std::size_t kBodyBytes = 32U << 10U;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int small_buffer = 4'096;
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
  const auto any = http::ParseSocketAddress("127.0.0.1:0");
  cr_assert_eq(bind(listener, any.Get(), any.Size()), 0);
  cr_assert_eq(listen(listener, 1), 0);
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
  testing::ForwarderFixture fleet;
  fleet.store.Put("endpoint/e1", "engine " + http::SocketAddress(bound, size).Text() + " ready 1");
  fleet.Configure(TestRoute(RequestKind::kIdempotent));
  fleet.Start();
  const auto answer = fleet.Send("", std::string(kBodyBytes, 'x'), "POST");
  fleet.loop.RunFor(100ms);
  fleet.DropCallers();
  fleet.loop.RunFor(100ms);
  const int endpoint = accept(listener, nullptr, nullptr);
  std::size_t received = 0;
  std::string buffer(64U << 10U, '\0');
  while (true) {
    const ssize_t count = recv(endpoint, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      break;
    }
    received += static_cast<std::size_t>(count);
  }
  close(endpoint);
  close(listener);
  cr_assert_lt(received, kBodyBytes);
}
