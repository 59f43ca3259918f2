// Endpoints that send a second copy of an answer on a connection that is used again.

#include <map>
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

/// A refusal of an earlier request.
std::string Refusal(int status, std::string_view id_header) {
  return HttpText(status, std::string("Refused: 1\r\n") + kKeepAlive + std::string(id_header),
                  "full");
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

// Guards against telling a caller that its request has not run, or sending it to a second endpoint,
// because a copy of an earlier refusal arrives on a kept connection while the endpoint runs it.
Test(forward_late_copy, of_a_refusal_is_skipped_while_the_next_request_runs, .timeout = 120) {
  for (const RequestKind kind : {RequestKind::kNonIdempotent, RequestKind::kIdempotent}) {
    for (const int status : {503, 429, 421}) {
      for (const bool with_id : {true, false}) {
        std::string copy = Refusal(status, with_id ? "Attempt: earlier\r\n" : "");
        const std::size_t step = kind == RequestKind::kIdempotent ? 1 : 7;
        for (std::size_t split = 1; split <= copy.size(); split += step) {
          std::unique_ptr<net::Timer> rest;
          int runs = 0;
          testing::ForwarderFixture fleet;
          const auto handler = [&](Connection& connection) {
            ++runs;
            if (connection.requests == 1) {
              connection.Write(RightAnswer(connection));
              return;
            }
            connection.Write(std::string_view(copy).substr(0, split));
            rest = std::make_unique<net::Timer>(fleet.loop, [&] {
              connection.Write(copy.substr(split) + RightAnswer(connection));
            });
            rest->Start(1ms);
          };
          fleet.AddEndpoint("e1", handler);
          auto route = TestRoute(kind, 3);
          fleet.Configure(route);
          fleet.Start();
          cr_assert_eq(fleet.Call("", "order", "POST")->status, 200);
          const auto answer = fleet.Call("", "order", "POST");
          cr_assert_eq(answer->status, 200, "%d, split at %zu: %d", status, split, answer->status);
          cr_assert_eq(runs, 2);
        }
      }
    }
  }
}

// Guards against the same on a connection that has carried the refusal itself, where the copy has
// the form of the next answer that the router expects.
Test(forward_late_copy, of_a_refusal_is_skipped_on_the_connection_that_carried_it, .timeout = 60) {
  for (const bool with_id : {true, false}) {
    int runs = 0;
    testing::ForwarderFixture fleet;
    const auto handler = [&](Connection& connection) {
      const std::string id(http::FindHeader(connection.head.headers, "Attempt"));
      const std::string refusal = Refusal(503, with_id ? "Attempt: refused\r\n" : "");
      if (id == "refused") {
        connection.Write(refusal);
        return;
      }
      ++runs;
      connection.Write(refusal + RightAnswer(connection));
    };
    ScriptedServer& endpoint = fleet.AddEndpoint("e1", handler);
    fleet.Configure(TestRoute(RequestKind::kNonIdempotent, 3));
    fleet.Start();
    cr_assert_eq(fleet.Call("Attempt: refused\r\n", "order", "POST")->status, 503);
    // A full endpoint gets no request for 100 ms.
    fleet.loop.RunFor(150ms);
    cr_assert_eq(fleet.Call("Attempt: next\r\n", "order", "POST")->status, 200);
    cr_assert_eq(runs, 1);
    cr_assert_eq(endpoint.accepted, 1);
  }
}

// Guards against a refusal that is taken for the answer to a second attempt of the same request:
// ids can't tell them apart, so an endpoint that has refused a request is not asked again.
Test(forward_late_copy, of_a_refusal_has_no_second_attempt_of_its_request) {
  testing::ForwarderFixture fleet;
  std::map<std::string, int> arrivals;
  fleet.AddEndpoint("e1", [&arrivals](Connection& connection) {
    const std::string id(http::FindHeader(connection.head.headers, "Attempt"));
    ++arrivals[id];
    connection.Write(Refusal(503, "Attempt: " + id + "\r\n"));
  });
  fleet.AddEndpoint("e2", testing::AnswerOk);
  fleet.Configure(TestRoute(RequestKind::kIdempotent, 4));
  fleet.Start();
  fleet.CrashEndpoint("e2");
  for (int i = 0; i < 10; ++i) {
    fleet.Call("Attempt: a" + std::to_string(i) + "\r\n");
    // A full endpoint gets no request for 100 ms.
    fleet.loop.RunFor(110ms);
  }
  cr_assert_gt(arrivals.size(), 0);
  for (const auto& [id, count] : arrivals) {
    cr_assert_eq(count, 1, "%s", id.c_str());
  }
}
