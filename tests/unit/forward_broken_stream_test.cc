// Streams that have begun and break off, and endpoints that answer with something else than the
// rest.

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
using testing::Chunk;
using testing::Event;
using testing::HttpText;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::StreamHead;
using testing::TwoEndpoints;

using Connection = ScriptedServer::Connection;

forward::Route ResumableRoute() {
  auto route = testing::TestRoute(RequestKind::kStream, 2);
  route.resumable = true;
  return route;
}

/// Sends the first event of a stream and breaks off.
void BreakOff(Connection& connection) {
  connection.Write(StreamHead(connection) + Event(1));
  connection.Reset();
}

struct OtherAnswer {
  const char* name;
  std::string text;
  bool closes = false;
};

/// Returns answers that are no continuation of a stream; `{signed}` stands for the headers of a
/// success.
std::vector<OtherAnswer> OtherAnswers() {
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n" + Chunk("failed") + "0\r\n\r\n";
  const std::string refused = "{signed}Refused: 1\r\n";
  return {
      {"error", HttpText(500, "{signed}", "failed")},
      {"error in chunks", "HTTP/1.1 500 Error\r\n{signed}" + chunked},
      {"error without length", "HTTP/1.1 500 Error\r\n{signed}\r\nfailed", true},
      {"error as events", HttpText(500, "{signed}" + events, "id: 2\ndata: failed\n\n")},
      {"error without body", HttpText(500, "{signed}", "")},
      {"error of the caller", HttpText(404, "{signed}", "failed")},
      {"redirection", HttpText(302, "{signed}Location: /\r\n", "failed")},
      {"refusal", HttpText(503, refused, "failed")},
      {"refusal as malformed", HttpText(400, refused, "failed")},
      {"refusal as too many", HttpText(429, refused, "failed")},
      {"refusal without the field", HttpText(503, "{signed}", "failed")},
      {"other process", HttpText(421, refused, "failed")},
      {"unsigned events", HttpText(200, "Attempt: a1\r\n" + events, "id: 2\ndata: failed\n\n")},
      {"success that is no stream", HttpText(200, "{signed}", "failed")},
      {"no answer", "failed\r\n\r\n", true},
      {"part of a head", "HTTP/1.1 500 Err", true},
      {"error after an interim response",
       "HTTP/1.1 100 Continue\r\n\r\n" + HttpText(500, "{signed}", "failed")},
  };
}

std::string WithSignedHeaders(std::string text, const Connection& connection) {
  const std::string placeholder = "{signed}";
  const std::size_t at = text.find(placeholder);
  return at == std::string::npos ? text
                                 : text.replace(at, placeholder.size(), SignedHeaders(connection));
}

/// Returns all bytes that the caller of a stream gets.
std::string BytesToCaller(TwoEndpoints& fleet) {
  RawConnection caller(fleet.forwarder->CallerAddress());
  caller.Write(testing::RequestText());
  std::string received;
  std::thread reader([&] { received = caller.ReadToEnd(); });
  fleet.RunUntil([&] { return fleet.arrivals == 2; });
  fleet.loop.RunFor(200ms);
  // Ends the reader in case the connection stays open.
  fleet.forwarder.reset();
  fleet.loop.RunFor(10ms);
  reader.join();
  return received;
}

}  // namespace

// Guards against the text or the head of another answer in the middle of a stream, and against a
// stream that looks complete: the endpoint that should continue it answers with something else.
Test(forward_broken_stream, has_nothing_but_its_own_events, .timeout = 60) {
  for (const OtherAnswer& other : OtherAnswers()) {
    TwoEndpoints fleet(ResumableRoute(), BreakOff, [&other](Connection& connection) {
      connection.Write(WithSignedHeaders(other.text, connection));
      if (other.closes) {
        connection.Close();
      }
    });
    const std::string received = BytesToCaller(fleet);
    cr_expect_eq(fleet.arrivals, 2, "%s", other.name);
    const std::size_t body = received.find("\r\n\r\n") + 4;
    cr_expect(received.starts_with("HTTP/1.1 200 "), "%s", other.name);
    cr_expect_eq(received.substr(body), Event(1), "%s: %s", other.name, received.c_str());
  }
}

// Guards against a stream that looks complete, because the endpoint that should continue it ends
// its answer, which has neither a length nor chunks, before the first event.
Test(forward_broken_stream, does_not_end_with_a_continuation_that_has_no_event) {
  for (const char* text : {"", "\n", ": comment\n\n"}) {
    TwoEndpoints fleet(ResumableRoute(), BreakOff, [text](Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                       SignedHeaders(connection) + "\r\n" + text);
      connection.Close();
    });
    const auto answer = fleet.Call();
    cr_assert_not(answer->complete, "%s", text);
    cr_assert_eq(fleet.arrivals, 2);
  }
}

// Guards against a status that a caller takes for its own fault, when an endpoint refuses the
// repeat of a request that an earlier endpoint may have run.
Test(forward_broken_stream, repeat_that_is_refused_as_malformed_has_an_unknown_outcome) {
  TwoEndpoints fleet(
      ResumableRoute(), [](Connection& connection) { connection.Reset(); },
      [](Connection& connection) {
        connection.Write(HttpText(400, SignedHeaders(connection) + "Refused: 1\r\n", ""));
      });
  cr_assert_eq(fleet.Call()->status, 502);
}

// Guards against passing on a part of an event as the end of a stream: the endpoint ended its
// answer in due form, but inside an event.
Test(forward_broken_stream, is_resumed_if_its_chunks_or_length_end_inside_an_event) {
  const std::string begin = "id: 1\ndata: 1\n\nid: 2\nda";
  for (const bool chunked : {true, false}) {
    TwoEndpoints fleet(
        ResumableRoute(),
        [&](Connection& connection) {
          connection.Write(
              chunked
                  ? StreamHead(connection) + Chunk(begin) + "0\r\n\r\n"
                  : HttpText(200, SignedHeaders(connection) + "Content-Type: text/event-stream\r\n",
                             begin));
        },
        [](Connection& connection) {
          connection.Write(StreamHead(connection) + Event(2) + "0\r\n\r\n");
        });
    const auto answer = fleet.Call();
    cr_assert(answer->complete);
    cr_assert_eq(answer->body, std::string("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"));
    cr_assert_eq(fleet.arrivals, 2);
  }
}
