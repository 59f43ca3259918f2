// Callers that leave while the answers to calls that must not be repeated arrive.

#include <string>

#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::Chunk;
using testing::EndlessWriter;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;

using Connection = ScriptedServer::Connection;

// More than a buffered answer may have, so that it is passed on while it arrives.
constexpr std::size_t kFirstPart = 600U << 10U;

// The kernel's buffers of a loopback connection hold up to 10 MB of what a peer has not read.
constexpr std::size_t kMaxRead = 12U << 20U;

forward::Route LongRoute() {
  auto route = testing::TestRoute(RequestKind::kNonIdempotent);
  route.timeout = 4'000ms;
  return route;
}

/// A call whose caller has left after the first part of its answer.
struct AbandonedCall : SingleEndpoint {
  /// The caller reads the first part if `reads_first_part`; otherwise reading it pauses.
  AbandonedCall(std::size_t first_part, std::size_t rest, bool reads_first_part)
      : SingleEndpoint(LongRoute(), [this, first_part, rest](Connection& connection) {
          if (running != nullptr) {
            testing::AnswerOk(connection);
            return;
          }
          running = &connection;
          connection.Write("HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
                           "Content-Length: " + std::to_string(first_part + rest) + "\r\n\r\n" +
                           std::string(first_part, 'x'));
        }) {
    if (reads_first_part) {
      const auto answer = Send("", "order", "POST");
      cr_assert(RunUntil([&] { return answer->body.size() == first_part; }));
      DropCallers();
    } else {
      const RawConnection caller(forwarder->CallerAddress(), 4'096);
      caller.Write(testing::RequestText("", "order", "POST"));
      cr_assert(RunUntil([&] { return running != nullptr; }));
      loop.RunFor(300ms);
    }
    loop.RunFor(50ms);
  }

  Connection* running = nullptr;
};

}  // namespace

// Guards against a crash of the process, which cuts the requests of all its callers, when the next
// part of an answer that is passed on while it arrives has no caller any more.
Test(forward_caller_left, next_part_of_a_long_answer_is_discarded) {
  constexpr std::size_t kRest = 100U << 10U;
  AbandonedCall fleet(kFirstPart, kRest, true);
  fleet.running->Write(std::string(kRest, 'x'));
  const Counter& answered = fleet.metrics.GetCounter("forward_attempts_total{result=\"answered\"}");
  cr_assert(fleet.RunUntil([&] { return answered.value() == 1; }));
  cr_assert_eq(fleet.Call("", "order", "POST")->status, 200);
}

// Guards against an endpoint that can't end its work, because its answer is not read on after the
// caller, which had read too slowly, has left.
Test(forward_caller_left, answer_that_had_paused_for_the_caller_is_read_on) {
  // More than the buffers between the endpoint and the forwarder, so that reading it has paused.
  constexpr std::size_t kLongPart = 16U << 20U;
  AbandonedCall fleet(kLongPart, 1, false);
  // Well before the route's timeout.
  fleet.loop.RunFor(1'000ms);
  cr_assert(fleet.running->closed() || fleet.running->QueuedBytes() == 0);
}

// Guards against reading an answer without end until the deadline for nobody.
Test(forward_caller_left, answer_without_end_is_ended) {
  AbandonedCall fleet(kFirstPart, std::size_t{1} << 40U, true);
  EndlessWriter writer(fleet.loop);
  writer.Start(*fleet.running, std::string(1'000, 'x'));
  fleet.loop.RunFor(1'000ms);
  cr_assert_eq(writer.OpenConnections(), 0);
  cr_assert_leq(writer.written, kMaxRead);
}
