#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>

#include "http/socket_address.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "support/scripted_server.h"

// Included last, since its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using wagtailwind::http1::ClientConnection;
using wagtailwind::http1::ConnectionEnd;
using wagtailwind::http1::MessageHead;
using wagtailwind::testing::ScriptedServer;

/// Records the outcome of one call.
class Recorder final : public wagtailwind::http1::ResponseObserver {
 public:
  [[nodiscard]] bool OnResponseHead(MessageHead) override { return true; }
  void OnResponseBody(std::string_view part) override { body.append(part); }
  void OnResponseEnd(bool is_reusable) override {
    complete = true;
    reusable = is_reusable;
  }
  void OnConnectionEnd(ConnectionEnd how, std::string_view) override {
    ended = true;
    end = how;
  }

  std::string body;
  bool complete = false;
  bool reusable = false;
  bool ended = false;
  ConnectionEnd end = ConnectionEnd::kClosed;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

Recorder CallOnce(const ScriptedServer::Handler& handler) {
  wagtailwind::net::EventLoop loop;
  ScriptedServer server(loop, handler);
  Recorder recorder;
  ClientConnection connection(loop, server.Address(), 1s);
  connection.Send(kRequest, false, recorder);
  for (int i = 0; i < 500 && !recorder.complete && !recorder.ended; ++i) {
    loop.RunFor(2ms);
  }
  return recorder;
}

}  // namespace

// Guards against a response without a length that looks complete although its sender has crashed:
// libuv reports a reset directly after data as an end of file.
Test(client_connection, reports_a_reset_behind_data_as_broken) {
  const Recorder recorder = CallOnce([](ScriptedServer::Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\n\r\nhalf an ans");
    connection.Reset();
  });
  cr_assert_not(recorder.complete);
  cr_assert(recorder.ended);
  cr_assert_eq(recorder.end, ConnectionEnd::kReset);
}

// Guards against losing responses that end with the graceful close of their connection.
Test(client_connection, completes_a_response_that_ends_with_its_connection) {
  const Recorder recorder = CallOnce([](ScriptedServer::Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\n\r\nwhole");
    connection.Close();
  });
  cr_assert(recorder.complete);
  cr_assert_not(recorder.reusable);
  cr_assert_eq(recorder.body, std::string("whole"));
}

// Guards against truncated responses that look complete.
Test(client_connection, reports_a_response_shorter_than_its_length_as_broken) {
  const Recorder recorder = CallOnce([](ScriptedServer::Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    connection.Close();
  });
  cr_assert_not(recorder.complete);
  cr_assert_eq(recorder.end, ConnectionEnd::kClosed);
}

// Guards against the reuse of a connection on which bytes follow a response: they would be parsed
// as the response to the next request.
Test(client_connection, is_not_reusable_when_bytes_follow_the_response) {
  const Recorder recorder = CallOnce([](ScriptedServer::Connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
  });
  cr_assert(recorder.complete);
  cr_assert_not(recorder.reusable);
}

// Guards against waiting for an unreachable peer, and against reporting its request as sent.
Test(client_connection, tells_that_nothing_was_sent_when_the_connection_is_refused) {
  wagtailwind::net::EventLoop loop;
  std::string address;
  {
    const ScriptedServer server(loop, [](ScriptedServer::Connection&) {});
    address = server.Address();
  }
  loop.RunFor(5ms);
  Recorder recorder;
  ClientConnection connection(loop, address, 1s);
  connection.Send(kRequest, false, recorder);
  for (int i = 0; i < 500 && !recorder.ended; ++i) {
    loop.RunFor(2ms);
  }
  cr_assert(recorder.ended);
  cr_assert_eq(recorder.end, ConnectionEnd::kNotConnected);
}

// Guards against sending a request that became too late while its connection was established.
Test(client_connection, does_not_write_a_request_that_was_withdrawn) {
  struct Withdrawing final : wagtailwind::http1::ResponseObserver {
    [[nodiscard]] bool UpdateRequest(std::string&) override { return false; }
    [[nodiscard]] bool OnResponseHead(MessageHead) override { return true; }
    void OnResponseBody(std::string_view) override {}
    void OnResponseEnd(bool) override {}
    void OnConnectionEnd(ConnectionEnd how, std::string_view) override { end = how; }
    ConnectionEnd end = ConnectionEnd::kClosed;
  };
  wagtailwind::net::EventLoop loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection&) {});
  Withdrawing observer;
  ClientConnection connection(loop, server.Address(), 1s);
  connection.Send(kRequest, false, observer);
  loop.RunFor(50ms);
  cr_assert(observer.end == ConnectionEnd::kNotConnected);
  cr_assert_eq(server.requests, 0);
}

// Guards against a time-out that discards an answer because the process was held up: what has
// arrived meanwhile is handled before the timers that have expired.
Test(net_timer, fires_after_events_that_arrived_while_the_process_was_held_up) {
  wagtailwind::net::EventLoop loop;
  ScriptedServer::Connection* peer = nullptr;
  ScriptedServer server(loop, [&peer](ScriptedServer::Connection& caller) { peer = &caller; });
  Recorder recorder;
  ClientConnection connection(loop, server.Address(), 1s);
  connection.Send(kRequest, false, recorder);
  while (peer == nullptr) {
    loop.RunFor(1ms);
  }
  bool complete_before_timer = false;
  wagtailwind::net::Timer timer(loop, [&] { complete_before_timer = recorder.complete; });
  timer.Start(20ms);
  peer->Write(wagtailwind::testing::HttpText(200, "", "answer"));
  std::this_thread::sleep_for(200ms);
  loop.RunFor(50ms);
  cr_assert(complete_before_timer);
}
