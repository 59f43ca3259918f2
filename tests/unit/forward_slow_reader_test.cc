// Callers and endpoints that read slowly. A router holds a bounded number of bytes for them, and
// nobody else is affected.

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <list>
#include <string>

#include "support/forwarder_fixture.h"
#include "support/process_usage.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::Chunk;
using testing::EndlessWriter;
using testing::Event;
using testing::HttpText;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::SingleEndpoint;
using testing::StreamHead;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

// Memory of the smallest instance.
constexpr std::uint64_t kSmallestMemory = 112 * kMiB;

constexpr int kReceiveBuffer = 4'096;

constexpr const char* kLastChunk = "0\r\n\r\n";

forward::Route LongRoute(RequestKind kind) {
  forward::Route route = TestRoute(kind);
  route.timeout = 30'000ms;
  return route;
}

/// A forwarder on the smallest instance with one endpoint.
struct SmallestInstance : testing::ForwarderFixture {
  SmallestInstance(forward::Route route, ScriptedServer::Handler handler)
      : endpoint(AddEndpoint("e1", std::move(handler))) {
    settings.memory_bytes = kSmallestMemory;
    Configure(std::move(route));
    Start();
  }

  RawConnection& AddCaller(std::string_view request = testing::RequestText()) {
    RawConnection& caller = callers.emplace_back(forwarder->CallerAddress(), kReceiveBuffer);
    caller.Write(request);
    return caller;
  }

  /// Runs the loop, and reads at most `limit` bytes for each caller every 5 ms.
  void ReadSlowly(std::size_t limit, std::chrono::milliseconds time) {
    const SteadyTime end = clock.Now() + time;
    while (clock.Now() < end && !std::all_of(callers.begin(), callers.end(),
                                             [](const auto& caller) { return caller.ended(); })) {
      loop.RunFor(5ms);
      for (RawConnection& caller : callers) {
        caller.ReadAvailable(limit);
      }
    }
  }

  [[nodiscard]] double Gauge(std::string_view name) { return metrics.GetGauge(name).value(); }

  ScriptedServer& endpoint;
  std::list<RawConnection> callers;
};

/// Returns the memory of the process, without what the allocator keeps of freed buffers.
double PrivateBytes() {
  malloc_trim(0);
  return testing::ReadProcessUsage(getpid()).private_bytes;
}

std::string Payload(std::size_t bytes) { return std::string(bytes, 'x'); }

std::size_t PayloadBytes(const std::string& received) {
  const std::size_t head_end = received.find("\r\n\r\n");
  return head_end == std::string::npos
             ? 0
             : static_cast<std::size_t>(std::count(
                   received.begin() + static_cast<std::ptrdiff_t>(head_end), received.end(), 'x'));
}

/// Sum of the bytes in the kernel's queues of the sockets at a port.
struct KernelQueues {
  std::size_t sent = 0;
  std::size_t received = 0;
};

/// Returns the queues of connections with the local port (`is_local`) or remote port of `address`.
KernelQueues ReadKernelQueues(const std::string& address, bool is_local) {
  const unsigned long port = std::stoul(address.substr(address.rfind(':') + 1));
  std::ifstream table("/proc/net/tcp");
  std::string line;
  KernelQueues queues;
  while (std::getline(table, line)) {
    unsigned int local = 0;
    unsigned int remote = 0;
    unsigned int state = 0;
    unsigned int sent = 0;
    unsigned int received = 0;
    if (std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%4x %2x %8x:%8x", &local, &remote, &state,
                    &sent, &received) == 5 &&
        state == 1 && (is_local ? local : remote) == port) {
      queues.sent += sent;
      queues.received += received;
    }
  }
  return queues;
}

}  // namespace

// Guards against answers that are cut short, or held without bound, because their caller reads
// slowly.
Test(forward_slow_reader, delivers_long_answers_whole, .timeout = 60) {
  constexpr std::size_t kBytes = 3 * kMiB;
  const bool kinds[] = {false, true};
  for (const bool is_stream : kinds) {
    SmallestInstance fleet(
        LongRoute(is_stream ? RequestKind::kStream : RequestKind::kIdempotent),
        [is_stream](Connection& connection) {
          if (!is_stream) {
            connection.Write(HttpText(200, SignedHeaders(connection), Payload(kBytes)));
            return;
          }
          connection.Write(StreamHead(connection));
          for (std::size_t i = 0; i < kBytes / kKiB; ++i) {
            connection.Write(Chunk("data: " + Payload(kKiB) + "\n\n"));
          }
          connection.Write(kLastChunk);
        });
    RawConnection& caller = fleet.AddCaller();
    double most_held = 0;
    while (PayloadBytes(caller.received()) < kBytes && !caller.ended()) {
      fleet.ReadSlowly(16 * kKiB, 250ms);
      most_held = std::max(most_held, fleet.Gauge("forward_answer_bytes"));
    }
    cr_expect_eq(PayloadBytes(caller.received()), kBytes, "%zu bytes",
                 PayloadBytes(caller.received()));
    cr_expect_leq(most_held, 1.0 * kMiB);
  }
}

// Guards against filling the memory with complete answers whose callers read nothing.
Test(forward_slow_reader, holds_few_answers_of_many_callers, .timeout = 60) {
  constexpr int kCallers = 400;
  constexpr std::size_t kBytes = 480 * kKiB;
  // Memory of the queues that the endpoint itself fills.
  double queued_by_endpoint = 0;
  SmallestInstance fleet(LongRoute(RequestKind::kIdempotent), [&](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection), Payload(kBytes)));
    queued_by_endpoint += static_cast<double>(connection.QueuedBytes());
  });
  const double before = PrivateBytes();
  for (int i = 0; i < kCallers; ++i) {
    fleet.AddCaller();
    fleet.loop.RunFor(5ms);
  }
  fleet.loop.RunFor(1'000ms);
  const double held = PrivateBytes() - before - queued_by_endpoint;
  const KernelQueues kernel = ReadKernelQueues(fleet.forwarder->CallerAddress(), true);
  cr_log_info("held: %.0f in the process, %zu in the kernel", held, kernel.sent);
  cr_expect_gt(fleet.endpoint.requests, 100);
  cr_expect_leq(held, kSmallestMemory / 2.0, "%.0f bytes", held);
  cr_expect_leq(fleet.Gauge("forward_answer_bytes"), kSmallestMemory / 2.0);
  cr_expect_leq(kernel.sent, kSmallestMemory / 4, "%zu bytes in the kernel", kernel.sent);
  // What was held is released with the callers.
  fleet.callers.clear();
  cr_expect(fleet.RunUntil([&] { return fleet.Gauge("forward_answer_bytes") == 0; }));
  cr_expect_eq(fleet.Call()->status, 200);
}

// Guards against filling the memory, of the process or of the kernel, with streams whose callers
// read nothing.
Test(forward_slow_reader, holds_little_of_many_streams, .timeout = 60) {
  constexpr int kCallers = 200;
  EndlessWriter* writer = nullptr;
  SmallestInstance fleet(LongRoute(RequestKind::kStream), [&writer](Connection& connection) {
    connection.Write(StreamHead(connection));
    writer->Start(connection, Chunk("data: " + Payload(kKiB) + "\n\n"));
  });
  EndlessWriter endless(fleet.loop, 4);
  writer = &endless;
  const double before = PrivateBytes();
  for (int i = 0; i < kCallers; ++i) {
    fleet.AddCaller();
    fleet.loop.RunFor(5ms);
  }
  fleet.loop.RunFor(1'500ms);
  const double held = PrivateBytes() - before;
  const KernelQueues kernel = ReadKernelQueues(fleet.forwarder->CallerAddress(), true);
  cr_log_info("held: %.0f in the process, %zu in the kernel", held, kernel.sent);
  cr_expect_eq(fleet.endpoint.requests, kCallers);
  cr_expect_leq(held, kSmallestMemory / 2.0, "%.0f bytes", held);
  cr_expect_leq(kernel.sent, kSmallestMemory / 4, "%zu bytes in the kernel", kernel.sent);
}

// Guards against the loss of bytes that have arrived, when the endpoint cuts off an answer that its
// caller still reads, and against an answer that looks complete although it is not.
Test(forward_slow_reader, gets_what_arrived_of_a_cut_answer, .timeout = 60) {
  const std::size_t sizes[] = {100 * kKiB, 900 * kKiB, 3 * kMiB};
  for (const std::size_t bytes : sizes) {
    for (const bool is_reset : {false, true}) {
      Connection* cut = nullptr;
      SmallestInstance fleet(LongRoute(RequestKind::kStream), [&](Connection& connection) {
        cut = &connection;
        connection.Write(StreamHead(connection));
        for (std::size_t i = 0; i < bytes / kKiB; ++i) {
          connection.Write(Chunk("data: " + Payload(kKiB) + "\n\n"));
        }
      });
      RawConnection& caller = fleet.AddCaller();
      fleet.ReadSlowly(kKiB, 300ms);
      // A reset also discards what the endpoint's kernel has not sent.
      const std::size_t unsent =
          cut->QueuedBytes() +
          (is_reset ? ReadKernelQueues(fleet.endpoint.Address(), true).sent : 0);
      const std::size_t arrived = bytes - std::min(bytes, unsent);
      is_reset ? cut->Reset() : cut->Close();
      fleet.ReadSlowly(32 * kKiB, 10'000ms);
      cr_expect(caller.ended());
      // An event of which a part has arrived is not passed on.
      cr_expect_geq(PayloadBytes(caller.received()) + kKiB, arrived,
                    "%zu bytes, reset %d: %zu of %zu", bytes, is_reset,
                    PayloadBytes(caller.received()), arrived);
      cr_expect_not(caller.received().ends_with(kLastChunk));
    }
  }
}

// Guards against holding a broken answer for a caller that has stopped reading.
Test(forward_slow_reader, ends_a_cut_answer_that_nobody_reads, .timeout = 30) {
  Connection* cut = nullptr;
  SmallestInstance fleet(LongRoute(RequestKind::kStream), [&](Connection& connection) {
    cut = &connection;
    connection.Write(StreamHead(connection));
    for (int i = 0; i < 300; ++i) {
      connection.Write(Chunk("data: " + Payload(kKiB) + "\n\n"));
    }
  });
  fleet.AddCaller();
  fleet.loop.RunFor(300ms);
  cut->Close();
  fleet.loop.RunFor(300ms);
  cr_assert_gt(fleet.Gauge("forward_answer_bytes"), 0);
  cr_assert(fleet.RunUntil([&] {
    return fleet.Gauge("forward_sessions") == 0 && fleet.Gauge("forward_answer_bytes") == 0;
  }));
}

// Guards against a call that waits for its answer on a connection on which reading has stopped,
// because the last part of an earlier answer exceeded what may be queued for its caller.
Test(forward_slow_reader, leaves_no_connection_unread, .timeout = 60) {
  for (std::size_t parts = 200; parts <= 640; parts += 8) {
    SmallestInstance fleet(LongRoute(RequestKind::kStream), [parts](Connection& connection) {
      std::string answer = StreamHead(connection);
      for (std::size_t i = 0; i < parts; ++i) {
        answer += Chunk("data: " + Payload(kKiB) + "\n\n");
      }
      connection.Write(answer + kLastChunk);
    });
    fleet.AddCaller();
    fleet.loop.RunFor(20ms);
    cr_assert(fleet.Call()->complete, "after %zu parts", parts);
  }
}

// Guards against a process that is killed because it takes requests whose answers it can't hold.
Test(forward_slow_reader, refuses_requests_while_too_much_is_held, .timeout = 60) {
  constexpr int kCallers = 400;
  SmallestInstance fleet(LongRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection), Payload(480 * kKiB)));
  });
  for (int i = 0; i < kCallers; ++i) {
    fleet.AddCaller();
    fleet.loop.RunFor(2ms);
  }
  fleet.loop.RunFor(300ms);
  cr_expect_lt(fleet.endpoint.requests, kCallers);
  const auto refused = fleet.Call();
  cr_expect_eq(refused->status, 503);
  cr_expect_neq(http::FindHeader(refused->headers, "Retry-After"), std::string_view());
  // Callers that read get their answers, and then there is room for others.
  fleet.ReadSlowly(64 * kKiB, 600ms);
  cr_expect_eq(fleet.Call()->status, 200);
}

// Guards against a caller that waits because another caller of the same endpoint reads slowly.
Test(forward_slow_reader, does_not_delay_a_fast_caller, .timeout = 60) {
  constexpr std::size_t kBytes = 2 * kMiB;
  SmallestInstance fleet(LongRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(HttpText(200, SignedHeaders(connection), Payload(kBytes)));
  });
  fleet.AddCaller();
  fleet.loop.RunFor(100ms);
  for (int i = 0; i < 5; ++i) {
    const SteadyTime begin = fleet.clock.Now();
    const auto answer = fleet.Call();
    cr_expect(answer->complete);
    cr_expect_eq(answer->body.size(), kBytes);
    cr_expect_lt((fleet.clock.Now() - begin).count(), std::chrono::nanoseconds(1'000ms).count());
  }
}

// Guards against filling the memory with requests of callers that have left, while the endpoint
// does not read them, and against refusing requests after the endpoint has read them.
Test(forward_slow_reader, holds_few_bodies_of_a_slow_endpoint, .timeout = 60) {
  constexpr int kCallers = 60;
  constexpr std::size_t kBytes = 2 * kMiB;
  SmallestInstance fleet(LongRoute(RequestKind::kNonIdempotent), &testing::AnswerOk);
  fleet.endpoint.SetReading(false);
  const double before = PrivateBytes();
  for (int i = 0; i < kCallers; ++i) {
    (void)fleet.Send("", Payload(kBytes), "POST");
    fleet.loop.RunFor(20ms);
    if (i % 10 == 9) {
      fleet.DropCallers();
      fleet.loop.RunFor(20ms);
    }
  }
  fleet.loop.RunFor(300ms);
  const double held = PrivateBytes() - before;
  const KernelQueues kernel = ReadKernelQueues(fleet.endpoint.Address(), false);
  cr_log_info("held: %.0f in the process, %zu in the kernel", held, kernel.sent);
  cr_expect_geq(fleet.Gauge("forward_body_bytes"), 10.0 * kBytes);
  cr_expect_leq(fleet.Gauge("forward_body_bytes"), kSmallestMemory / 4.0);
  cr_expect_geq(fleet.Gauge("forward_answer_bytes"), 10.0 * kBytes);
  cr_expect_leq(held, kSmallestMemory * 0.85, "%.0f bytes", held);
  cr_expect_leq(kernel.sent, kSmallestMemory / 8, "%zu bytes in the kernel", kernel.sent);
  fleet.endpoint.SetReading(true);
  cr_expect(fleet.RunUntil([&] {
    return fleet.Gauge("forward_body_bytes") == 0 && fleet.Gauge("forward_answer_bytes") == 0;
  }));
  cr_expect_geq(fleet.endpoint.requests, 10);
  cr_expect_eq(fleet.Call("", Payload(kBytes), "POST")->status, 200);
}

// Guards against a request that is cut short, because its endpoint reads slowly.
Test(forward_slow_reader, sends_a_long_request_whole, .timeout = 30) {
  constexpr std::size_t kBytes = 3 * kMiB;
  std::size_t received = 0;
  SmallestInstance fleet(LongRoute(RequestKind::kNonIdempotent), [&](Connection& connection) {
    received = connection.body.size();
    testing::AnswerOk(connection);
  });
  fleet.endpoint.SetReading(false);
  const auto answer = fleet.Send("", Payload(kBytes), "POST");
  fleet.RunUntil([&] {
    fleet.endpoint.SetReading(false);
    fleet.loop.RunFor(20ms);
    fleet.endpoint.SetReading(true);
    return answer->complete;
  });
  cr_assert_eq(answer->status, 200);
  cr_assert_eq(received, kBytes);
}
