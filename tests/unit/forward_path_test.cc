#include <string>

#include "http/message.h"
#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::AnswerOk;
using testing::Chunk;
using testing::Event;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;
using testing::StreamHead;
using testing::TestRoute;
using testing::TwoEndpoints;

using Connection = ScriptedServer::Connection;

void Refuse(Connection& connection) {
  connection.Write(HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n", ""));
}

void Fail(Connection& connection) {
  connection.Write(HttpText(500, SignedHeaders(connection), "failed"));
}

std::string HeaderOf(const std::vector<http::Header>& headers, std::string_view name) {
  return std::string(http::FindHeader(headers, name));
}

}  // namespace

// Guards against changing a request on the way, passing the API key on to the endpoint, and
// accepting fields that a caller forges.
Test(forward_path, forwards_the_request_with_its_own_fields) {
  http1::MessageHead seen;
  std::string body;
  SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent), [&](Connection& connection) {
    seen = connection.head;
    body = connection.body;
    AnswerOk(connection);
  });
  const auto answer = fleet.Call(
      "Wait: 700\r\nReserved: forged\r\nOnly: forged\r\nOrganisation: forged\r\n"
      "Fetch: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n",
      "hello", "POST");
  cr_assert(answer->complete);
  cr_assert_eq(answer->status, 200);
  cr_assert_eq(answer->body, std::string("answer"));
  cr_assert_eq(HeaderOf(answer->headers, "Signed"), std::string("yes"));
  cr_assert_eq(seen.method, std::string("POST"));
  cr_assert_eq(seen.target, std::string("/r/x?q=1"));
  cr_assert_eq(body, std::string("hello"));
  cr_assert_eq(HeaderOf(seen.headers, "Attempt"), std::string("a1"));
  cr_assert_eq(HeaderOf(seen.headers, "Organisation"), std::string("first"));
  cr_assert_eq(HeaderOf(seen.headers, "Only"), std::string("e1"));
  cr_assert_eq(HeaderOf(seen.headers, "X-End"), std::string("2"));
  for (const char* absent : {"Secret", "Reserved", "X-Hop", "Fetch"}) {
    cr_assert_eq(HeaderOf(seen.headers, absent), std::string(), "%s", absent);
  }
  const int left = std::stoi(HeaderOf(seen.headers, "Wait"));
  cr_assert(left > 500 && left <= 700);
}

// Guards against serving callers without a valid key, and against refusals that ask them to retry.
Test(forward_path, refuses_unknown_routes_and_keys) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), AnswerOk);
  cr_assert_eq(fleet.Call("Secret: key-2\r\n")->status, 401);
  auto route = TestRoute(RequestKind::kIdempotent);
  route.prefix = "/other/";
  fleet.Configure(route);
  fleet.RunUntil([&] { return fleet.Call()->status == 404; });
  cr_assert_eq(fleet.Call()->status, 404);
  cr_assert_eq(fleet.endpoint.requests, 0);
}

// Guards against accepting a key that may have been revoked while the machine was suspended or the
// key-value service was unreachable.
Test(forward_path, refuses_keys_that_were_not_confirmed_for_long) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), AnswerOk);
  cr_assert_eq(fleet.Call()->status, 200);
  fleet.store.SetFault(-1);
  fleet.clock.Suspend(10s);
  const auto answer = fleet.Call();
  cr_assert_eq(answer->status, 503);
  cr_assert_neq(HeaderOf(answer->headers, "Retry-After"), std::string());
  cr_assert_not(fleet.forwarder->IsReady());
  cr_assert_eq(fleet.endpoint.requests, 1);
}

// Guards against asking callers with unknown keys to retry repeatedly because a watch is still
// waiting, and against a final refusal by a router that may have missed a newer configuration.
Test(forward_path, refuses_unknown_keys_for_good_only_while_the_configuration_is_confirmed) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), AnswerOk);
  fleet.store.SetFault(-1);
  fleet.clock.Suspend(2'400ms);
  cr_assert_eq(fleet.Call("Secret: key-2\r\n")->status, 401);
  fleet.clock.Suspend(1'000ms);
  cr_assert_eq(fleet.Call("Secret: key-2\r\n")->status, 503);
}

// Guards against running a non-idempotent call twice: its endpoint may have run it although the
// response was lost.
Test(forward_path, never_repeats_a_call_that_may_have_run) {
  TwoEndpoints fleet(
      TestRoute(RequestKind::kNonIdempotent, 2), [](Connection& connection) { connection.Reset(); },
      AnswerOk);
  const auto answer = fleet.Call("", "order", "POST");
  cr_assert_eq(answer->status, 502);
  cr_assert_eq(HeaderOf(answer->headers, "Retry-After"), std::string());
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against failing an idempotent call after a failed attempt, and any call after a refusal,
// although another endpoint can serve it.
Test(forward_path, repeats_what_may_be_repeated_at_another_endpoint) {
  for (const auto& first :
       {ScriptedServer::Handler([](Connection& connection) { connection.Reset(); }),
        ScriptedServer::Handler(Fail), ScriptedServer::Handler(Refuse)}) {
    TwoEndpoints fleet(TestRoute(RequestKind::kIdempotent, 2), first, AnswerOk);
    cr_assert_eq(fleet.Call()->status, 200);
    cr_assert_eq(fleet.arrivals, 2);
  }
  TwoEndpoints fleet(TestRoute(RequestKind::kNonIdempotent, 2), Refuse, AnswerOk);
  cr_assert_eq(fleet.Call("", "order", "POST")->status, 200);
  cr_assert_eq(fleet.arrivals, 2);
}

// Guards against sending a request to more endpoints than its route allows.
Test(forward_path, sends_a_request_to_no_more_endpoints_than_the_route_allows) {
  TwoEndpoints fleet(TestRoute(RequestKind::kIdempotent, 1), Refuse, AnswerOk);
  const auto answer = fleet.Call();
  cr_assert_eq(answer->status, 503);
  cr_assert_neq(HeaderOf(answer->headers, "Retry-After"), std::string());
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against reporting "not run" for a call that has run, and against hiding the endpoint's
// error response.
Test(forward_path, passes_the_failure_of_an_endpoint_on) {
  SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent, 2), Fail);
  const auto answer = fleet.Call("", "order", "POST");
  cr_assert_eq(answer->status, 500);
  cr_assert_eq(answer->body, std::string("failed"));
  cr_assert_eq(HeaderOf(answer->headers, "Signed"), std::string("yes"));
}

// Guards against a wrong "not run": an endpoint responds with the status of a refusal, but does not
// mark the call as not run.
Test(forward_path, does_not_pass_on_a_refusal_that_may_have_run) {
  for (const int status : {408, 429, 503}) {
    TwoEndpoints fleet(
        TestRoute(RequestKind::kNonIdempotent, 2),
        [status](Connection& connection) {
          connection.Write(HttpText(status, SignedHeaders(connection), ""));
        },
        AnswerOk);
    const auto answer = fleet.Call("", "order", "POST");
    cr_assert_eq(answer->status, 502);
    cr_assert_eq(HeaderOf(answer->headers, "Signed"), std::string());
    cr_assert_eq(fleet.arrivals, 1);
  }
}

// Guards against reporting success for responses that are unsigned, incomplete, encoded or
// malformed.
Test(forward_path, reports_no_success_without_signature_or_end) {
  const ScriptedServer::Handler handlers[] = {
      [](Connection& connection) { connection.Write(HttpText(200, "Attempt: a1\r\n", "forged")); },
      [](Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
                         "Content-Length: 100\r\n\r\nhalf");
        connection.Close();
      },
      [](Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) + "\r\nhalf");
        connection.Reset();
      },
      [](Connection& connection) {
        connection.Write(
            HttpText(200, SignedHeaders(connection) + "Content-Encoding: gzip\r\n", "x"));
      },
      [](Connection& connection) { connection.Write("these bytes are no response\r\n\r\n"); }};
  for (const auto& handler : handlers) {
    SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent), handler);
    cr_assert_eq(fleet.Call("", "order", "POST")->status, 502);
  }
}

// Guards against passing on the response to another request: an extra response arrives late on a
// reused connection.
Test(forward_path, skips_a_late_answer_to_an_earlier_request) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    if (connection.requests > 1) {
      connection.Write(HttpText(200, "Signed: yes\r\nAttempt: earlier\r\n", "wrong"));
    }
    connection.Write(
        HttpText(200, SignedHeaders(connection) + "Keep-Alive: timeout=5\r\n", "right"));
  });
  cr_assert_eq(fleet.Call()->body, std::string("right"));
  cr_assert_eq(fleet.Call()->body, std::string("right"));
  cr_assert_eq(fleet.endpoint.accepted, 1);
}

// Guards against using an endpoint's address after another process has taken it over.
Test(forward_path, leaves_an_address_at_which_another_process_answers) {
  TwoEndpoints fleet(
      TestRoute(RequestKind::kNonIdempotent, 2),
      [](Connection& connection) {
        connection.Write(HttpText(421, SignedHeaders(connection), ""));
      },
      AnswerOk);
  cr_assert_eq(fleet.Call("", "order", "POST")->status, 200);
  cr_assert_eq(fleet.Call("", "order", "POST")->status, 200);
  cr_assert_eq(fleet.arrivals, 3);
}

// Guards against leaving a restarted endpoint out of use, because another process answers a request
// that was still under way to the address of the former process.
Test(forward_path, uses_a_restarted_endpoint_after_a_late_answer_at_its_former_address) {
  Connection* under_way = nullptr;
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent),
                       [&under_way](Connection& connection) { under_way = &connection; });
  const auto late = fleet.Send();
  cr_assert(fleet.RunUntil([&] { return under_way != nullptr; }));
  fleet.AddEndpoint("e1", AnswerOk);
  fleet.loop.RunFor(700ms);
  under_way->Write(HttpText(421, SignedHeaders(*under_way), ""));
  cr_assert(fleet.RunUntil([&late] { return late->complete; }));
  cr_assert_eq(fleet.Call()->status, 200);
}

// Guards against missing, repeated and partial events when a resumable stream continues at another
// endpoint.
Test(forward_path, resumes_a_broken_stream_without_gap_or_repeat) {
  auto route = TestRoute(RequestKind::kStream, 2);
  route.resumable = true;
  std::string last_id;
  TwoEndpoints fleet(
      route,
      [](Connection& connection) {
        connection.Write(StreamHead(connection) + Event(1) + Event(2) + "20\r\nid: 3\ndata: to");
        connection.Reset();
      },
      [&last_id](Connection& connection) {
        last_id = HeaderOf(connection.head.headers, "Last-Event-ID");
        connection.Write(StreamHead(connection) + Event(2) + Event(3) + Event(4) + "0\r\n\r\n");
      });
  const auto answer = fleet.Call();
  cr_assert(answer->complete);
  cr_assert_eq(last_id, std::string("2"));
  cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
                                         "id: 4\ndata: 4\n\n"));
}

// Guards against a foreign body inside a stream: the endpoint that should resume it fails, or
// responds with something other than events.
Test(forward_path, keeps_other_answers_out_of_a_broken_stream) {
  auto route = TestRoute(RequestKind::kStream, 2);
  route.resumable = true;
  for (const int status : {500, 200}) {
    TwoEndpoints fleet(
        route,
        [](Connection& connection) {
          connection.Write(StreamHead(connection) + Event(1));
          connection.Reset();
        },
        [status](Connection& connection) {
          connection.Write(HttpText(status, SignedHeaders(connection), Event(2)));
        });
    const auto answer = fleet.Call();
    cr_assert(answer->broken);
    cr_assert_not(answer->complete);
    cr_assert_eq(fleet.arrivals, 2);
    cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\n"));
  }
}

// Guards against a truncated stream that looks complete, and against running a stream again that
// may not be resumed.
Test(forward_path, breaks_off_a_stream_that_may_not_be_resumed) {
  TwoEndpoints fleet(
      TestRoute(RequestKind::kStream, 2),
      [](Connection& connection) {
        connection.Write(StreamHead(connection) + Event(1));
        connection.Reset();
      },
      AnswerOk);
  const auto answer = fleet.Call();
  cr_assert(answer->broken);
  cr_assert_not(answer->complete);
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against joining the responses of two attempts: the endpoint of a large response
// disconnects after the first part has been sent to the caller, and the call may be repeated.
Test(forward_path, never_joins_a_large_answer_from_two_attempts) {
  const std::string large(700U << 10U, 'a');
  TwoEndpoints fleet(
      TestRoute(RequestKind::kIdempotent, 2),
      [&large](Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
                         "Content-Length: 1000000\r\n\r\n" + large);
        connection.Close();
      },
      [](Connection& connection) {
        connection.Write(HttpText(200, SignedHeaders(connection), std::string(1'000'000, 'b')));
      });
  const auto answer = fleet.Call();
  cr_assert(answer->broken);
  cr_assert_eq(answer->body.find('b'), std::string::npos);
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against repeated events: a stream whose events have no ids can't continue after the last
// one that was sent.
Test(forward_path, breaks_off_a_resumable_stream_without_ids) {
  auto route = TestRoute(RequestKind::kStream, 2);
  route.resumable = true;
  TwoEndpoints fleet(
      route,
      [](Connection& connection) {
        connection.Write(StreamHead(connection) + Chunk("data: a\n\n"));
        connection.Reset();
      },
      [](Connection& connection) {
        connection.Write(StreamHead(connection) + Chunk("data: a\n\ndata: b\n\n") + "0\r\n\r\n");
      });
  const auto answer = fleet.Call();
  cr_assert(answer->broken);
  cr_assert_eq(answer->body, std::string("data: a\n\n"));
}

// Guards against endpoints that keep working for a caller that has disconnected.
Test(forward_path, cancels_a_stream_when_its_caller_leaves) {
  SingleEndpoint fleet(TestRoute(RequestKind::kStream), [](Connection& connection) {
    connection.Write(StreamHead(connection) + Event(1));
  });
  const auto answer = fleet.Send();
  cr_assert(fleet.RunUntil([&] { return !answer->body.empty(); }));
  fleet.DropCallers();
  cr_assert(fleet.RunUntil([&] { return fleet.endpoint.client_ends == 1; }));
}

// Guards against exceeding the operator's timeout, and against reporting "not run" for a call that
// an endpoint may be running.
Test(forward_path, answers_at_the_timeout_of_the_route) {
  auto route = TestRoute(RequestKind::kNonIdempotent);
  route.timeout = 150ms;
  SingleEndpoint fleet(route, [](Connection&) {});
  const SteadyTime start = fleet.clock.Now();
  cr_assert_eq(fleet.Call("Wait: 5000\r\n", "order", "POST")->status, 504);
  const auto taken = fleet.clock.Now() - start;
  cr_assert(taken >= 140ms && taken < 2s);
}

// Guards against waiting for an unresponsive endpoint while another one could respond.
Test(forward_path, sends_an_idempotent_call_elsewhere_when_its_endpoint_is_silent) {
  TwoEndpoints fleet(
      TestRoute(RequestKind::kIdempotent, 2), [](Connection&) {}, AnswerOk);
  cr_assert_eq(fleet.Call()->status, 200);
  cr_assert_eq(fleet.arrivals, 2);
}

// Guards against using endpoints whose entry has been deleted or is marked as draining.
Test(forward_path, follows_the_list_of_endpoints) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), AnswerOk);
  cr_assert_eq(fleet.Call()->status, 200);
  fleet.store.Delete("endpoint/e1");
  cr_assert(fleet.RunUntil([&] { return fleet.Call()->status == 503; }));
  cr_assert_eq(fleet.Call()->status, 503);
}

// Guards against applying a configuration that is older or can't be decoded.
Test(forward_path, keeps_the_newest_configuration_that_can_be_read) {
  SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), AnswerOk);
  fleet.store.Put("configuration", "unreadable");
  fleet.loop.RunFor(50ms);
  cr_assert_eq(fleet.Call()->status, 200);
  auto route = TestRoute(RequestKind::kIdempotent);
  route.prefix = "/new/";
  fleet.Configure(route);
  cr_assert(fleet.RunUntil([&] { return fleet.Call()->status == 404; }));
  fleet.store.Put("configuration", "version-1");
  fleet.loop.RunFor(50ms);
  cr_assert_eq(fleet.Call()->status, 404);
}

// Guards against aborting requests in a graceful shutdown, and against a shutdown that never ends.
Test(forward_path, finishes_requests_before_it_stops) {
  Connection* waiting = nullptr;
  SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent),
                       [&waiting](Connection& connection) { waiting = &connection; });
  const auto answer = fleet.Send("", "order", "POST");
  cr_assert(fleet.RunUntil([&] { return waiting != nullptr; }));
  fleet.forwarder->BeginStop();
  cr_assert_not(fleet.forwarder->IsReady());
  fleet.loop.RunFor(50ms);
  cr_assert_not(fleet.stopped);
  AnswerOk(*waiting);
  cr_assert(fleet.RunUntil([&] { return answer->complete; }));
  cr_assert_eq(answer->status, 200);
  cr_assert_eq(HeaderOf(answer->headers, "Connection"), std::string("close"));
  cr_assert(fleet.RunUntil([&] { return fleet.stopped; }));
}

// Guards against bodies that exceed the limit and exhaust the memory.
Test(forward_path, refuses_bodies_over_the_limit) {
  SingleEndpoint fleet(TestRoute(RequestKind::kNonIdempotent), AnswerOk);
  const std::string large((4U << 20U) + 1, 'x');
  cr_assert_eq(fleet.Call("", large, "POST")->status, 413);
  cr_assert_eq(fleet.endpoint.requests, 0);
}

// Guards against bytes of no answer behind the head with which a HEAD request ends: the caller
// would take them for the beginning of its next answer.
Test(forward_path, ends_the_answer_to_a_head_request_with_its_head) {
  for (const char* framing : {"Transfer-Encoding: chunked\r\n", "Content-Length: 20\r\n", ""}) {
    SingleEndpoint fleet(TestRoute(RequestKind::kStream), [framing](Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
                       "Content-Type: text/event-stream\r\n" + framing + "\r\n");
      if (*framing == '\0') {
        connection.Close();
      }
    });
    testing::RawConnection caller(fleet.forwarder->CallerAddress());
    caller.Write(testing::RequestText("Connection: close\r\n", "", "HEAD"));
    fleet.loop.RunFor(200ms);
    const std::string received = caller.ReadToEnd();
    cr_expect(received.starts_with("HTTP/1.1 200 "), "%s: %s", framing, received.c_str());
    cr_expect_eq(received.find("\r\n\r\n") + 4, received.size(), "%s: %s", framing,
                 received.c_str());
  }
}
