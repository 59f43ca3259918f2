// Slow, stalled and silent endpoints, and callers that read slowly.

#include <list>
#include <string>
#include <thread>

#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::Chunk;
using testing::Event;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::StreamHead;
using testing::TestRoute;
using testing::TwoEndpoints;

using Connection = ScriptedServer::Connection;

forward::Route ResumableRoute() {
  auto route = TestRoute(RequestKind::kStream, 3);
  route.resumable = true;
  route.timeout = 6'000ms;
  return route;
}

/// Refuses a request as a full endpoint does.
void RefuseAsFull(Connection& connection) {
  connection.Write(testing::HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n", ""));
}

/// Answers a resumed stream with its last two events.
void ResumeFrom1(Connection& connection) {
  connection.Write(StreamHead(connection) + Event(2) + Event(3) + "0\r\n\r\n");
}

}  // namespace

// Guards against cutting a sound stream whose pauses are just below the time after which its
// endpoint counts as silent.
Test(forward_silence, keeps_a_slow_stream_at_its_endpoint) {
  std::list<net::Timer> timers;
  TwoEndpoints fleet(
      ResumableRoute(),
      [&](Connection& connection) {
        connection.Write(StreamHead(connection) + Event(1));
        for (int i = 1; i <= 3; ++i) {
          timers
              .emplace_back(fleet.loop,
                            [&connection, i] {
                              connection.Write(Event(1 + i) + (i == 3 ? "0\r\n\r\n" : ""));
                            })
              .Start(i * 1'100ms);
        }
      },
      ResumeFrom1);
  const auto answer = fleet.Call();
  cr_assert(answer->complete);
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against cutting a sound stream that pauses, for an endpoint that has no place for it: the
// refused attempt is the last that the route allows.
Test(forward_silence, keeps_a_paused_stream_when_the_other_endpoint_is_full) {
  std::list<net::Timer> timers;
  auto route = ResumableRoute();
  route.max_attempts = 2;
  TwoEndpoints fleet(
      route,
      [&](Connection& connection) {
        connection.Write(StreamHead(connection) + Event(1));
        timers
            .emplace_back(fleet.loop,
                          [&connection] {
                            if (!connection.closed()) {
                              connection.Write(Event(2) + Event(3) + "0\r\n\r\n");
                            }
                          })
            .Start(1'600ms);
      },
      RefuseAsFull);
  const auto answer = fleet.Call();
  cr_assert(answer->complete);
  cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"));
  cr_assert_eq(fleet.arrivals, 2);
}

// Guards against failing a request whose endpoint is slow to begin its answer, for an endpoint that
// has no place for it.
Test(forward_silence, keeps_a_slow_call_when_the_other_endpoint_is_full) {
  for (const RequestKind kind : {RequestKind::kIdempotent, RequestKind::kStream}) {
    std::list<net::Timer> timers;
    auto route = ResumableRoute();
    route.kind = kind;
    route.max_attempts = 2;
    TwoEndpoints fleet(
        route,
        [&](Connection& connection) {
          timers
              .emplace_back(fleet.loop,
                            [&connection] {
                              if (!connection.closed()) {
                                testing::AnswerOk(connection);
                              }
                            })
              .Start(1'000ms);
        },
        RefuseAsFull);
    cr_assert_eq(fleet.Call()->status, 200);
    cr_assert_eq(fleet.arrivals, 2);
  }
}

// Guards against two endpoints that work on one request: the silent one is left at once when the
// other one begins its answer, and soon when that one only takes the request.
Test(forward_silence, leaves_the_silent_endpoint_when_another_takes_the_request, .timeout = 30) {
  for (const bool answers_at_once : {true, false}) {
    std::list<net::Timer> timers;
    Connection* silent = nullptr;
    TwoEndpoints fleet(
        ResumableRoute(),
        [&silent](Connection& connection) {
          silent = &connection;
          connection.Write(StreamHead(connection) + Event(1));
        },
        [&](Connection& connection) {
          if (answers_at_once) {
            connection.Write(StreamHead(connection) + Event(2));
          }
          timers
              .emplace_back(fleet.loop,
                            [&connection, answers_at_once] {
                              connection.Write((answers_at_once ? "" : StreamHead(connection)) +
                                               Event(3) + "0\r\n\r\n");
                            })
              .Start(700ms);
        });
    const auto answer = fleet.Send();
    cr_assert(fleet.RunUntil([&] { return fleet.arrivals == 2; }));
    fleet.loop.RunFor(answers_at_once ? 100ms : 300ms);
    cr_assert(silent->closed());
    cr_assert(fleet.RunUntil([&] { return answer->complete; }));
    cr_assert_eq(fleet.arrivals, 2);
  }
}

// Guards against passing on what a silent endpoint sends while another one continues the stream.
Test(forward_silence, passes_on_the_events_of_one_endpoint_only) {
  Connection* silent = nullptr;
  TwoEndpoints fleet(
      ResumableRoute(),
      [&silent](Connection& connection) {
        silent = &connection;
        connection.Write(StreamHead(connection) + Event(1));
      },
      [&silent](Connection& connection) {
        if (!silent->closed()) {
          silent->Write(Event(2) + Event(3) + "0\r\n\r\n");
        }
        connection.Write(StreamHead(connection) + Event(2) + Event(3) + Event(4) + "0\r\n\r\n");
      });
  const auto answer = fleet.Call();
  cr_assert(answer->complete);
  cr_assert(answer->body.ends_with("id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"), "%s",
            answer->body.c_str());
  cr_assert_eq(answer->body.find("id: 2"), answer->body.rfind("id: 2"));
}

// Guards against a stalled stream that counts as alive because it sends comments.
Test(forward_silence, moves_a_stream_that_sends_only_comments) {
  std::list<net::Timer> timers;
  TwoEndpoints fleet(
      ResumableRoute(),
      [&](Connection& connection) {
        connection.Write(StreamHead(connection) + Event(1));
        timers
            .emplace_back(fleet.loop,
                          [&connection] {
                            if (!connection.closed()) {
                              connection.Write(Chunk(": waiting\n\n"));
                            }
                          })
            .StartPeriodic(100ms);
      },
      ResumeFrom1);
  const auto answer = fleet.Call();
  cr_assert(answer->complete);
  cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"));
}

// Guards against a stalled answer that counts as progressing because it sends single bytes.
Test(forward_silence, repeats_a_call_whose_answer_trickles) {
  std::list<net::Timer> timers;
  TwoEndpoints fleet(
      TestRoute(RequestKind::kIdempotent, 2),
      [&](Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
                         "Content-Length: 1000\r\n\r\n");
        timers
            .emplace_back(fleet.loop,
                          [&connection] {
                            if (!connection.closed()) {
                              connection.Write("x");
                            }
                          })
            .StartPeriodic(50ms);
      },
      testing::AnswerOk);
  const auto answer = fleet.Call();
  cr_assert_eq(answer->body, std::string("answer"));
}

// Guards against a stalled stream that is never moved, because the retry budget was empty when it
// stalled.
Test(forward_silence, moves_a_stalled_stream_when_the_budget_has_recovered) {
  enum class Mode : std::uint8_t { kRefuse, kStall, kServe };
  Mode mode = Mode::kRefuse;
  testing::ForwarderFixture fleet;
  const auto handler = [&mode](Connection& connection) {
    const bool resumed = !http::FindHeader(connection.head.headers, "Last-Event-ID").empty();
    if (mode == Mode::kRefuse) {
      connection.Write(testing::HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n", ""));
    } else if (mode == Mode::kStall) {
      connection.Write(StreamHead(connection) + Event(1));
    } else {
      connection.Write(StreamHead(connection) + Event(resumed ? 2 : 1) + "0\r\n\r\n");
    }
  };
  fleet.AddEndpoint("e1", handler);
  fleet.AddEndpoint("e2", handler);
  fleet.Configure(ResumableRoute());
  fleet.Start();
  constexpr int kCallsThatEmptyTheBudget = 30;
  for (int i = 0; i < kCallsThatEmptyTheBudget; ++i) {
    cr_assert_eq(fleet.Call()->status, 503);
  }
  mode = Mode::kStall;
  const auto answer = fleet.Send();
  fleet.loop.RunFor(1'500ms);
  cr_assert_not(answer->complete);
  mode = Mode::kServe;
  constexpr int kCallsThatFillTheBudget = 30;
  for (int i = 0; i < kCallsThatFillTheBudget; ++i) {
    cr_assert(fleet.Call()->complete);
  }
  cr_assert(fleet.RunUntil([&] { return answer->complete; }));
  cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"));
}

// Guards against taking an endpoint for silent whose answer is not read, because the caller is
// slow.
Test(forward_silence, keeps_a_stream_of_a_slow_caller_at_its_endpoint, .timeout = 30) {
  const std::string padding(1'000, 'x');
  constexpr int kEvents = 3'000;
  TwoEndpoints fleet(
      ResumableRoute(),
      [&padding](Connection& connection) {
        std::string text = StreamHead(connection);
        for (int i = 1; i <= kEvents; ++i) {
          text += Chunk("id: " + std::to_string(i) + "\ndata: " + padding + "\n\n");
        }
        connection.Write(text + "0\r\n\r\n");
      },
      ResumeFrom1);
  RawConnection caller(fleet.forwarder->CallerAddress(), 4'096);
  caller.Write(testing::RequestText());
  fleet.loop.RunFor(2'500ms);
  cr_assert_eq(fleet.arrivals, 1);
  std::thread reader([&caller] { caller.ReadUntil("0\r\n\r\n"); });
  fleet.loop.RunFor(2'000ms);
  reader.join();
  cr_assert_eq(fleet.arrivals, 1);
  cr_assert_neq(caller.ReadUntil("0\r\n\r\n").find("id: " + std::to_string(kEvents)),
                std::string::npos);
}

// Guards against giving up or repeating work that still runs at an endpoint which was only silent,
// or too slow to renew its entry: its requests in flight go on.
Test(forward_silence, leaves_running_work_at_an_endpoint_that_is_silent_for_a_while,
     .timeout = 30) {
  for (const RequestKind kind : {RequestKind::kNonIdempotent, RequestKind::kStream}) {
    auto route = TestRoute(kind, 3);
    route.timeout = 6'000ms;
    Connection* running = nullptr;
    TwoEndpoints fleet(
        route, [&running](Connection& connection) { running = &connection; }, testing::AnswerOk);
    const auto answer = fleet.Send("", "order", "POST");
    cr_assert(fleet.RunUntil([&] { return running != nullptr; }));
    fleet.store.Delete("endpoint/e1");
    fleet.loop.RunFor(1'000ms);
    fleet.store.Delete("endpoint/e2");
    fleet.loop.RunFor(2'500ms);
    cr_assert_not(running->closed());
    testing::AnswerOk(*running);
    cr_assert(fleet.RunUntil([&] { return answer->complete; }));
    cr_assert_eq(answer->status, 200);
    cr_assert_eq(fleet.arrivals, 1);
  }
}
