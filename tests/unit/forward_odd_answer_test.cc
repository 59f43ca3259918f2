// Answers that are cut or have an impossible head.

#include <string>
#include <vector>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;
using testing::TestRoute;
using testing::TwoEndpoints;

using Connection = ScriptedServer::Connection;

std::vector<RequestKind> AllKinds() {
  return {RequestKind::kIdempotent, RequestKind::kNonIdempotent, RequestKind::kStream};
}

}  // namespace

// Guards against an answer without length that looks complete although its endpoint has reset the
// connection, while a long upload is still being written (MIXED).
Test(forward_odd_answer, is_not_complete_if_the_connection_is_reset_during_the_upload,
     .timeout = 60) {
  constexpr std::size_t kBodyBytes = 900'000;
  for (const RequestKind kind : AllKinds()) {
    for (const bool is_reading : {true, false}) {
      SingleEndpoint fixture(TestRoute(kind), [](Connection&) {});
      fixture.endpoint.SetHeadHandler([is_reading](Connection& connection) {
        connection.SetReading(is_reading);
        connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) + "\r\npart");
        connection.Reset();
      });
      const auto answer = fixture.Call("", std::string(kBodyBytes, 'x'), "POST");
      cr_assert_not(answer->complete && answer->status == 200);
    }
  }
}

// Guards against an answer whose head is cut, which would be framed as whole with an empty or a
// short body (MIXED, ORDER).
Test(forward_odd_answer, is_not_complete_if_its_head_is_cut, .timeout = 60) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nSigned: yes\r\nAttempt: a1\r\nContent-Type: text/event-stream\r\n"
      "Content-Length: 24\r\n\r\n";
  for (const RequestKind kind : AllKinds()) {
    for (std::size_t size = 1; size < whole.size(); size += 3) {
      SingleEndpoint fixture(TestRoute(kind), [&whole, size](Connection& connection) {
        connection.Write(whole.substr(0, size));
        connection.Close();
      });
      const auto answer = fixture.Call();
      cr_assert_neq(answer->status, 200, "%zu bytes", size);
    }
  }
}

// Guards against passing on an answer whose status is none (MIXED), and against waiting for another
// answer behind it.
Test(forward_odd_answer, is_no_answer_if_its_status_is_none, .timeout = 60) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    const auto answer_oddly = [status](Connection& connection) {
      connection.Write("HTTP/1.1 " + std::string(status) + " Odd\r\n" + SignedHeaders(connection) +
                       "Content-Length: 0\r\n\r\n");
    };
    SingleEndpoint call(TestRoute(RequestKind::kNonIdempotent), answer_oddly);
    const SteadyTime before = call.clock.Now();
    cr_assert_eq(call.Call()->status, 502, "%s", status);
    cr_assert(call.clock.Now() - before < 500ms);
    TwoEndpoints lookup(TestRoute(RequestKind::kIdempotent, 2), answer_oddly, testing::AnswerOk);
    cr_assert_eq(lookup.Call()->status, 200, "%s", status);
  }
}
