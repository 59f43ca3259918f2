// Streams without a length or chunks, which end with their connection.

#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::Event;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::StreamHead;
using testing::TwoEndpoints;

using Connection = ScriptedServer::Connection;

forward::Route StreamRoute(bool resumable) {
  auto route = testing::TestRoute(RequestKind::kStream, 3);
  route.resumable = resumable;
  return route;
}

/// Returns a handler that sends a stream with this text and closes the connection.
ScriptedServer::Handler Unframed(const std::string& text) {
  return [text](Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     SignedHeaders(connection) + "\r\n" + text);
    connection.Close();
  };
}

/// Answers a resumed stream with its last event, and a new one with both.
void SendRest(Connection& connection) {
  const bool resumed = !http::FindHeader(connection.head.headers, "Last-Event-ID").empty();
  connection.Write(StreamHead(connection) + (resumed ? "" : Event(1)) + Event(2) + "0\r\n\r\n");
}

constexpr const char* kWhole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

}  // namespace

// Guards against a stream that looks complete although its endpoint broke off inside an event.
Test(forward_unframed_stream, is_resumed_if_it_ends_inside_an_event) {
  for (const char* text : {"id: 1\ndata: 1\n\nid: 2\nda", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n",
                           "id: 1\ndata: 1\n\ni", "id: 1\ndata: 1\n\n: comment\n\nid: 2"}) {
    TwoEndpoints fleet(StreamRoute(true), Unframed(text), SendRest);
    const auto answer = fleet.Call();
    cr_assert(answer->complete, "%s", text);
    cr_assert(answer->body == kWhole, "%s: %s", text, answer->body.c_str());
    cr_assert_eq(fleet.arrivals, 2);
  }
}

// Guards against the same where the stream may not be resumed.
Test(forward_unframed_stream, is_broken_off_if_it_ends_inside_an_event) {
  TwoEndpoints fleet(StreamRoute(false), Unframed("id: 1\ndata: 1\n\nid: 2\nda"), SendRest);
  const auto answer = fleet.Call();
  cr_assert_not(answer->complete);
  cr_assert_eq(fleet.arrivals, 1);
}

// Guards against an empty success when an endpoint crashes as it begins to answer.
Test(forward_unframed_stream, is_repeated_if_it_has_no_event) {
  for (const char* text : {"", "\n", ": comment\n\n"}) {
    TwoEndpoints fleet(StreamRoute(true), Unframed(text), SendRest);
    const auto answer = fleet.Call();
    cr_assert(answer->complete, "%s", text);
    cr_assert(answer->body.ends_with(kWhole), "%s: %s", text, answer->body.c_str());
    cr_assert_eq(fleet.arrivals, 2);
  }
}

// Guards against repeating what is whole.
Test(forward_unframed_stream, is_whole_if_it_ends_after_an_event) {
  for (const char* rest : {"", "\n", ": comment\n\n", ": comment"}) {
    TwoEndpoints fleet(StreamRoute(true), Unframed(std::string(kWhole) + rest), SendRest);
    const auto answer = fleet.Call();
    cr_assert(answer->complete);
    cr_assert(answer->body == std::string(kWhole) + rest, "%s", answer->body.c_str());
    cr_assert_eq(fleet.arrivals, 1);
  }
}
