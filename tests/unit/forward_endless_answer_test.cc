// Endpoints that send bytes which are no answer, without end.

#include <string>
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
using testing::Chunk;
using testing::EndlessWriter;
using testing::Event;
using testing::ForwarderFixture;
using testing::HttpText;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::StreamHead;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

// What the smallest instance receives until the route's timeout is 50 MB (200 Mbit/s for 2 s). The
// kernel's buffers of a loopback connection hold up to 10 MB of what a peer has not read.
constexpr std::size_t kMaxRead = 20U << 20U;

/// A response of which the last part never ends.
struct EndlessAnswer {
  const char* name;
  /// Comes before the endless part; `{signed}` stands for the headers of a success.
  std::string begin;
  std::string repeated;
};

std::string WithSignedHeaders(std::string text, const Connection& connection) {
  const std::string placeholder = "{signed}";
  const std::size_t at = text.find(placeholder);
  return at == std::string::npos ? text
                                 : text.replace(at, placeholder.size(), SignedHeaders(connection));
}

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char* kError = "HTTP/1.1 500 Error\r\n{signed}";
constexpr const char* kOk = "HTTP/1.1 200 OK\r\n{signed}";

std::string ChunkedHead() { return std::string(kOk) + kChunked; }

std::string EventHead() {
  return std::string(kOk) + "Content-Type: text/event-stream\r\n" + kChunked;
}

/// Returns responses that are not the answer to any request.
std::vector<EndlessAnswer> NoAnswers() {
  return {
      {"header fields", kOk, "Field: value\r\n"},
      {"one header field", std::string(kOk) + "Field: ", "value"},
      {"line ends before the status line", "", "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"},
      {"responses to other requests", "",
       HttpText(200, "Signed: yes\r\nAttempt: other\r\n", std::string(100, 'x'))},
      {"a response to another request",
       std::string("HTTP/1.1 200 OK\r\nSigned: yes\r\nAttempt: other\r\n") + kChunked,
       Chunk("other")},
      {"an event without a blank line", EventHead(), Chunk("data: more")},
      {"lines of one event", EventHead(), Chunk("data: more\n")},
      {"comments", EventHead(), Chunk(": more\n\n")},
      {"blank lines", EventHead(), Chunk("\n\n")},
      {"an event without end after others", EventHead() + Event(1) + Event(2),
       Chunk("data: more\n")},
      {"repeated events", EventHead() + Event(1), Event(1)},
      {"chunk extensions", ChunkedHead() + "1;", "extension"},
      {"trailers", ChunkedHead() + "0\r\n", "Field: value\r\n"},
      {"an error response", std::string(kError) + kChunked, Chunk("failed")},
      {"an error response without length", std::string(kError) + "\r\n", "failed"},
      {"an unsigned response", std::string("HTTP/1.1 200 OK\r\nAttempt: a1\r\n") + kChunked,
       Chunk("x")},
  };
}

/// A forwarder whose first endpoint that gets a request sends an endless answer, and whose others
/// answer.
struct Fixture : ForwarderFixture {
  Fixture(forward::Route route, const EndlessAnswer& answer, int endpoints) : writer(loop) {
    for (int i = 0; i < endpoints; ++i) {
      AddEndpoint("e" + std::to_string(i), [this, answer](Connection& connection) {
        if (++arrivals > 1) {
          AnswerOk(connection);
          return;
        }
        connection.Write(WithSignedHeaders(answer.begin, connection));
        if (!answer.repeated.empty()) {
          writer.Start(connection, answer.repeated);
        }
      });
    }
    Configure(std::move(route));
    Start();
  }

  EndlessWriter writer;
  int arrivals = 0;
};

}  // namespace

// Guards against a process that runs out of memory, or that reads until the route's timeout,
// because one endpoint sends bytes without end. A call that must not be repeated ends without a
// success and without the claim that it has not run.
Test(forward_endless_answer, ends_a_call_whose_answer_is_none, .timeout = 120) {
  for (const EndlessAnswer& answer : NoAnswers()) {
    for (const RequestKind kind : {RequestKind::kNonIdempotent, RequestKind::kStream}) {
      Fixture fleet(TestRoute(kind, 3), answer, 1);
      const auto result = fleet.Call("", "order", "POST");
      cr_expect(fleet.RunUntil([&] { return fleet.writer.OpenConnections() == 0; }),
                "%s: still connected", answer.name);
      cr_expect_leq(fleet.writer.written, kMaxRead, "%s: %zu bytes read", answer.name,
                    fleet.writer.written);
      cr_expect(result->broken || result->status == 502, "%s: status %d", answer.name,
                result->status);
    }
  }
}

// Guards against waiting for the end of an answer that has none, while another endpoint could serve
// the request.
Test(forward_endless_answer, tries_a_repeatable_call_elsewhere, .timeout = 120) {
  for (const EndlessAnswer& answer : NoAnswers()) {
    Fixture fleet(TestRoute(RequestKind::kIdempotent, 3), answer, 2);
    const auto result = fleet.Call();
    // A response that has begun can only be continued with events.
    if (answer.begin.find(Event(1)) == std::string::npos) {
      cr_expect_eq(result->status, 200, "%s: status %d", answer.name, result->status);
      cr_expect_eq(result->body, std::string("answer"), "%s", answer.name);
    }
    cr_expect_leq(fleet.writer.written, kMaxRead, "%s: %zu bytes read", answer.name,
                  fleet.writer.written);
  }
}

// Guards against holding a refused request until its deadline: the head of the refusal already
// tells that the request has not run.
Test(forward_endless_answer, takes_an_endless_refusal_as_a_refusal, .timeout = 60) {
  const EndlessAnswer refusal{"refusal",
                              std::string("HTTP/1.1 503 Full\r\n{signed}Refused: 1\r\n") + kChunked,
                              Chunk("full")};
  Fixture single(TestRoute(RequestKind::kNonIdempotent, 3), refusal, 1);
  cr_assert_eq(single.Call("", "order", "POST")->status, 503);
  cr_assert_leq(single.writer.written, kMaxRead);
  Fixture pair(TestRoute(RequestKind::kNonIdempotent, 3), refusal, 2);
  cr_assert_eq(pair.Call("", "order", "POST")->status, 200);
}

// Guards against an error response that keeps a request waiting by sending a byte now and then.
Test(forward_endless_answer, does_not_wait_for_a_stalled_error_response) {
  Fixture fleet(TestRoute(RequestKind::kIdempotent, 3),
                {"stalled", "HTTP/1.1 500 Error\r\n{signed}Content-Length: 100\r\n\r\nfai", ""}, 2);
  cr_assert_eq(fleet.Call()->status, 200);
}

// Guards against filling the memory with the answer of a fast endpoint that a slow caller does not
// read.
Test(forward_endless_answer, reads_no_faster_than_the_caller, .timeout = 60) {
  const EndlessAnswer answers[] = {
      {"a body", ChunkedHead(), Chunk(std::string(1000, 'x'))},
      {"events", EventHead(), Chunk("data: x\n\n")},
  };
  for (const EndlessAnswer& answer : answers) {
    auto route = TestRoute(RequestKind::kNonIdempotent);
    route.timeout = 4'000ms;
    Fixture fleet(route, answer, 1);
    const RawConnection caller(fleet.forwarder->CallerAddress(), 4'096);
    caller.Write(testing::RequestText());
    fleet.loop.RunFor(1'500ms);
    cr_expect_leq(fleet.writer.written, kMaxRead, "%s: %zu bytes read", answer.name,
                  fleet.writer.written);
    cr_expect_leq(fleet.metrics.GetGauge("forward_answer_bytes").value(), 2.0 * (1U << 20U));
  }
}

// Guards against filling the memory with the answers to a caller that sends requests and reads
// nothing.
Test(forward_endless_answer, handles_no_more_requests_than_the_caller_reads) {
  constexpr std::size_t kBodyBytes = 256U << 10U;
  testing::SingleEndpoint fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection) + "Keep-Alive: timeout=5\r\n",
                              std::string(kBodyBytes, 'x')));
  });
  const RawConnection caller(fleet.forwarder->CallerAddress(), 4'096);
  for (int i = 0; i < 200; ++i) {
    caller.Write(testing::RequestText());
  }
  fleet.loop.RunFor(1'000ms);
  cr_assert_leq(static_cast<std::size_t>(fleet.endpoint.requests) * kBodyBytes, kMaxRead);
}
