// Endpoints that announce in their answers that they leave.

#include <list>
#include <memory>
#include <string>

#include "support/forwarder_fixture.h"
#include "support/late_refusal.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::AnswerOk;
using testing::Event;
using testing::ForwarderFixture;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

constexpr const char* kLeaving = "Leaving: 1\r\n";
constexpr const char* kKeepAlive = "Keep-Alive: timeout=5\r\n";

/// Returns how many of ten further requests arrive at an endpoint.
int FurtherArrivals(ForwarderFixture& fleet, const ScriptedServer& endpoint) {
  const int before = endpoint.requests;
  for (int i = 0; i < 10; ++i) {
    fleet.Call();
  }
  return endpoint.requests - before;
}

/// A forwarder with the endpoint `leaver`, and after its first answer another one.
struct Leaver : ForwarderFixture {
  Leaver(forward::Route route, ScriptedServer::Handler handler)
      : leaver(AddEndpoint("leaver", std::move(handler))) {
    Configure(std::move(route));
    Start();
  }

  void AddOther() {
    AddEndpoint("other", AnswerOk);
    loop.RunFor(700ms);
  }

  ScriptedServer& leaver;
};

}  // namespace

// Guards against sending new requests to an endpoint that leaves, because only some kinds of its
// answers are looked at for the announcement.
Test(forward_leaving, is_read_from_each_kind_of_answer, .timeout = 60) {
  struct Answer {
    int status;
    const char* headers;
  };
  for (const Answer& answer :
       {Answer{200, ""}, Answer{500, ""}, Answer{404, ""}, Answer{503, "Refused: 1\r\n"},
        Answer{429, "Refused: 1\r\n"}, Answer{421, "Refused: 1\r\n"}, Answer{503, ""}}) {
    Leaver fleet(TestRoute(RequestKind::kIdempotent), [&answer](Connection& connection) {
      connection.Write(HttpText(
          answer.status, SignedHeaders(connection) + kKeepAlive + kLeaving + answer.headers, ""));
    });
    fleet.Call();
    cr_assert_eq(fleet.leaver.requests, 1);
    fleet.AddOther();
    cr_expect_eq(FurtherArrivals(fleet, fleet.leaver), 0, "%d %s", answer.status, answer.headers);
  }
}

// Guards against waiting for the end of a stream before its endpoint counts as leaving, and against
// cutting the stream.
Test(forward_leaving, holds_from_the_head_of_a_stream_which_goes_on) {
  Connection* running = nullptr;
  Leaver fleet(TestRoute(RequestKind::kStream), [&running](Connection& connection) {
    running = &connection;
    connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) + kLeaving +
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     Event(1));
  });
  const auto answer = fleet.Send();
  cr_assert(fleet.RunUntil([&] { return answer->status == 200; }));
  fleet.AddOther();
  cr_assert_eq(FurtherArrivals(fleet, fleet.leaver), 0);
  running->Write(Event(2) + "0\r\n\r\n");
  cr_assert(fleet.RunUntil([&] { return answer->complete; }));
  cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"));
}

// Guards against a retry or a continued stream at an endpoint that leaves, because there is no
// other one.
Test(forward_leaving, gets_no_retry) {
  Leaver fleet(TestRoute(RequestKind::kIdempotent, 3), [](Connection& connection) {
    connection.Write(HttpText(500, SignedHeaders(connection) + kKeepAlive + kLeaving, "failed"));
  });
  cr_assert_eq(fleet.Call()->status, 500);
  cr_assert_eq(fleet.leaver.requests, 1);
}

// Guards against continuing a stream at endpoints that leave, or that want no requests for a time:
// they have said so since the stream began.
Test(forward_leaving, gets_no_continued_stream) {
  for (const std::string& fields : {std::string(kLeaving), std::string("Retry-After: 5\r\n")}) {
    auto route = TestRoute(RequestKind::kStream, 3);
    route.resumable = true;
    Connection* running = nullptr;
    testing::TwoEndpoints fleet(
        route,
        [&running](Connection& connection) {
          running = &connection;
          connection.Write(testing::StreamHead(connection) + Event(1));
        },
        [&fields](Connection& connection) {
          connection.Write(
              HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n" + fields, ""));
        });
    const auto answer = fleet.Send();
    cr_assert(fleet.RunUntil([&] { return answer->status == 200; }));
    for (int i = 0; i < 5; ++i) {
      cr_assert_eq(fleet.Call()->status, 503);
    }
    cr_assert_eq(fleet.arrivals, 3, "%d arrivals", fleet.arrivals);
    running->Reset();
    cr_assert(fleet.RunUntil([&] { return answer->broken; }));
    cr_assert_eq(fleet.arrivals, 3, "%d arrivals", fleet.arrivals);
  }
}

// Guards against a retry that waits for its timer and starts at an endpoint that has announced
// meanwhile that it leaves, on a kept connection or a new one.
Test(forward_leaving, gets_no_delayed_step) {
  cr_assert_eq(testing::ArrivalsOfDelayedStep(""), 1, "the retry must arrive without a reason");
  cr_assert_eq(testing::ArrivalsOfDelayedStep(kLeaving), 0);
}

// Guards against sending a request on a connection that opens after the endpoint has announced that
// it leaves.
Test(forward_leaving, gets_no_request_on_a_connection_that_was_being_opened) {
  cr_assert_eq(testing::ArrivalsOnOpenedConnection(""), 1);
  cr_assert_eq(testing::ArrivalsOnOpenedConnection(kLeaving), 0);
}

// Guards against the probe of the circuit breaker at an endpoint that leaves.
Test(forward_leaving, gets_no_probe, .timeout = 30) {
  cr_assert_gt(testing::ArrivalsAfterFailures("").early, 0);
  const testing::ProbeArrivals arrivals = testing::ArrivalsAfterFailures(kLeaving);
  cr_assert_eq(arrivals.early, 0);
  cr_assert_eq(arrivals.late, 0);
}

// Guards against requests that wait until their deadline, or that are sent for lack of another
// endpoint, when all endpoints of a service leave.
Test(forward_leaving, of_all_endpoints_refuses_requests_at_once) {
  Leaver fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection) + kKeepAlive + kLeaving, "answer"));
  });
  cr_assert_eq(fleet.Call()->status, 200);
  const SteadyTime before = fleet.clock.Now();
  const auto answer = fleet.Call();
  cr_assert_eq(answer->status, 503);
  cr_assert_neq(http::FindHeader(answer->headers, "Retry-After"), std::string_view());
  cr_assert(fleet.clock.Now() - before < 1s);
  cr_assert_eq(fleet.leaver.requests, 1);
}

// Guards against forgetting the announcement when the entry of the process is renewed, or deleted
// and written again, and against keeping it for the next process of that name.
Test(forward_leaving, holds_for_the_process_that_announced_it, .timeout = 30) {
  Leaver fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection) + kKeepAlive + kLeaving, "answer"));
  });
  const std::string entry = "engine " + fleet.leaver.Address() + " ready ";
  cr_assert_eq(fleet.Call()->status, 200);
  fleet.store.Put("endpoint/leaver", entry + "1");
  fleet.loop.RunFor(700ms);
  cr_assert_eq(fleet.Call()->status, 503);
  fleet.store.Delete("endpoint/leaver");
  fleet.loop.RunFor(700ms);
  fleet.store.Put("endpoint/leaver", entry + "1");
  fleet.loop.RunFor(700ms);
  cr_assert_eq(fleet.Call()->status, 503);
  cr_assert_eq(fleet.leaver.requests, 1);
  fleet.store.Put("endpoint/leaver", entry + "2");
  fleet.loop.RunFor(700ms);
  cr_assert_eq(fleet.Call()->status, 200);
}

// Guards against taking an endpoint out of use for what is not its answer to the request: a copy of
// an answer to another request, or an interim response; and for another value of the field.
Test(forward_leaving, is_not_read_from_other_bytes) {
  Leaver fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(
        std::string("HTTP/1.1 103 Early Hints\r\n") + kLeaving + "\r\n" +
        HttpText(200, std::string("Signed: yes\r\nAttempt: other\r\n") + kKeepAlive + kLeaving,
                 "wrong") +
        HttpText(200, SignedHeaders(connection) + kKeepAlive + "Leaving: 0\r\n", "answer"));
  });
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(fleet.Call()->status, 200);
  }
}
