// Endpoints that send a second copy of an answer on a connection that is used again.

#include <memory>
#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

constexpr const char* kKeepAlive = "Keep-Alive: timeout=5\r\n";

std::string RightAnswer(const Connection& connection) {
  return HttpText(200, SignedHeaders(connection) + kKeepAlive, "right");
}

/// A copy of the answer to an earlier request, with and without that request's id.
std::string Copy(bool with_id) {
  return HttpText(
      200, std::string("Signed: yes\r\n") + kKeepAlive + (with_id ? "Attempt: earlier\r\n" : ""),
      "wrong");
}

}  // namespace

// Guards against giving a caller the answer to an earlier request that arrives late, while the
// connection carries the caller's request, however the bytes are split.
Test(forward_late_copy, is_skipped_while_the_next_request_waits, .timeout = 60) {
  for (const bool with_id : {true, false}) {
    const std::string copy = Copy(with_id);
    for (std::size_t split = 1; split <= copy.size(); ++split) {
      std::unique_ptr<net::Timer> rest;
      SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [&](Connection& connection) {
        if (connection.requests == 1) {
          connection.Write(RightAnswer(connection));
          return;
        }
        connection.Write(std::string_view(copy).substr(0, split));
        rest = std::make_unique<net::Timer>(
            fleet.loop, [&] { connection.Write(copy.substr(split) + RightAnswer(connection)); });
        rest->Start(1ms);
      });
      cr_assert_eq(fleet.Call()->body, std::string("right"));
      cr_assert_eq(fleet.Call()->body, std::string("right"), "split at %zu", split);
      cr_assert_eq(fleet.endpoint.accepted, 1);
    }
  }
}

// Guards against reusing a connection on which a copy follows the answer at once.
Test(forward_late_copy, makes_a_connection_unusable_when_it_follows_the_answer, .timeout = 60) {
  for (const bool with_id : {true, false}) {
    const std::string copy = Copy(with_id);
    for (std::size_t length = 1; length <= copy.size(); ++length) {
      SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [&](Connection& connection) {
        connection.Write(RightAnswer(connection) + copy.substr(0, length));
      });
      cr_assert_eq(fleet.Call()->body, std::string("right"));
      cr_assert_eq(fleet.Call()->body, std::string("right"));
      cr_assert_eq(fleet.endpoint.accepted, 2, "after %zu bytes", length);
    }
  }
}

// Guards against reusing a connection on which a copy arrives while it is idle.
Test(forward_late_copy, closes_an_idle_connection, .timeout = 60) {
  for (const bool with_id : {true, false}) {
    std::unique_ptr<net::Timer> late;
    SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [&](Connection& connection) {
      connection.Write(RightAnswer(connection));
      late = std::make_unique<net::Timer>(fleet.loop, [&connection, with_id] {
        if (!connection.closed()) {
          connection.Write(Copy(with_id));
        }
      });
      late->Start(20ms);
    });
    cr_assert_eq(fleet.Call()->body, std::string("right"));
    fleet.loop.RunFor(60ms);
    cr_assert_eq(fleet.Call()->body, std::string("right"));
    cr_assert_eq(fleet.endpoint.accepted, 2);
  }
}

// Guards against taking an interim response for the answer, and against leaving the answer on a
// connection that is used again.
Test(forward_late_copy, passes_over_interim_responses, .timeout = 60) {
  SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent), [](Connection& connection) {
    connection.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                     RightAnswer(connection));
  });
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(fleet.Call("", "order", "POST")->body, std::string("right"));
  }
  cr_assert_eq(fleet.endpoint.accepted, 1);
}
