#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "endpoint/http_plain_service.h"
#include "http/client.h"
#include "http/server.h"
#include "http/socket_address.h"
#include "support/scripted_server.h"
#include "support/stand_in_process.h"

namespace {

using wagtailwind::endpoint::HttpPlainService;
using wagtailwind::endpoint::ServiceAnswer;
using wagtailwind::endpoint::ServiceCall;
using wagtailwind::endpoint::TransferEnd;
using wagtailwind::endpoint::TransferLoop;
using wagtailwind::http::HandlerResult;
using wagtailwind::http::Request;
using wagtailwind::http::Server;
using wagtailwind::testing::HttpText;
using wagtailwind::testing::ScriptedServer;
using wagtailwind::testing::StandInProcess;

ServiceCall Call(const std::string& method, const std::string& path, bool repeatable) {
  ServiceCall call;
  call.method = method;
  call.path = path;
  call.repeatable = repeatable;
  return call;
}

ServiceAnswer Send(const std::string& address, ServiceCall call) {
  TransferLoop loop;
  std::promise<ServiceAnswer> answer;
  HttpPlainService(address, loop, 1000).Send(std::move(call), [&answer](ServiceAnswer received) {
    answer.set_value(std::move(received));
  });
  return answer.get_future().get();
}

/// Accepts one connection, reads once, writes `answer` and closes the connection.
class RawServer {
 public:
  explicit RawServer(std::string answer) : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto any = wagtailwind::http::ParseSocketAddress("127.0.0.1:0");
    cr_assert_eq(bind(m_socket, any.Get(), any.Size()), 0);
    cr_assert_eq(listen(m_socket, 1), 0);
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&bound), &size);
    m_address = wagtailwind::http::SocketAddress(bound, size).Text();
    m_thread = std::thread([this, text = std::move(answer)] {
      const int connection = accept(m_socket, nullptr, nullptr);
      char buffer[4096];
      [[maybe_unused]] const ssize_t got = recv(connection, buffer, sizeof(buffer), 0);
      [[maybe_unused]] const ssize_t sent =
          send(connection, text.data(), text.size(), MSG_NOSIGNAL);
      close(connection);
    });
  }
  ~RawServer() {
    m_thread.join();
    close(m_socket);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] const std::string& Address() const { return m_address; }

 private:
  int m_socket;
  std::string m_address;
  std::thread m_thread;
};

/// Keeps connections open. The second request on a connection gets a copy of the first answer
/// before its own answer.
class RepeatingServer {
 public:
  RepeatingServer()
      : m_server(m_loop,
                 [](ScriptedServer::Connection& connection) {
                   if (connection.requests > 1) {
                     connection.Write(HttpText(200, "", "/1"));
                   }
                   connection.Write(HttpText(200, "", connection.head.target));
                 }),
        m_address(m_server.Address()),
        m_thread([this] {
          while (!m_stop) {
            m_loop.RunFor(std::chrono::milliseconds(5));
          }
        }) {}
  ~RepeatingServer() {
    m_stop = true;
    m_thread.join();
  }
  RepeatingServer(const RepeatingServer&) = delete;
  RepeatingServer& operator=(const RepeatingServer&) = delete;

  [[nodiscard]] const std::string& Address() const { return m_address; }

 private:
  wagtailwind::net::EventLoop m_loop;
  ScriptedServer m_server;
  std::string m_address;
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};

}  // namespace

// Guards against a second execution: libcurl resends a request when a reused connection closes
// without an answer.
Test(endpoint_transfer, a_cut_call_is_executed_once_also_after_a_kept_connection) {
  StandInProcess service("service_stand_in");
  TransferLoop loop;
  HttpPlainService plain(service.Address(), loop);
  const auto send = [&plain](ServiceCall call) {
    std::promise<ServiceAnswer> answer;
    plain.Send(std::move(call),
               [&answer](ServiceAnswer received) { answer.set_value(std::move(received)); });
    return answer.get_future().get();
  };
  cr_assert(send(Call("GET", "/status/1", true)).end == TransferEnd::kComplete);
  service.Control(R"({"cut_next":1})");
  ServiceCall pickup = Call("POST", "/pickups", false);
  pickup.headers = {{"Wagtailwind-Request-Key", "key-1"}};
  cr_assert(send(pickup).end == TransferEnd::kConnectionLost);
  const auto history = service.History();
  cr_assert_eq(history.size(), 2);
  cr_assert_neq(history[1].find("\"key\":\"key-1\""), std::string::npos);
}

// Guards against reporting a call that may have reached the endpoint as not sent, and the reverse.
Test(endpoint_transfer, only_calls_without_a_connection_are_not_sent) {
  std::string closed_address;
  {
    const Server server("127.0.0.1:0", [](const Request&) { return HandlerResult{}; });
    closed_address = server.Address();
  }
  cr_assert(Send(closed_address, Call("POST", "/pickups", false)).end == TransferEnd::kNotSent);
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  const Server silent("127.0.0.1:0", [released](const Request&) {
    released.wait();
    return HandlerResult{};
  });
  ServiceCall call = Call("POST", "/pickups", false);
  call.timeout = std::chrono::milliseconds(50);
  const TransferEnd end = Send(silent.Address(), call).end;
  release.set_value();
  cr_assert(end == TransferEnd::kDeadlineExceeded);
}

// Guards against an answer that is reported as complete although it is malformed, truncated or too
// large.
Test(endpoint_transfer, malformed_and_oversized_answers_are_typed_failures) {
  const auto end_of = [](const std::string& answer) {
    const RawServer server(answer);
    return Send(server.Address(), Call("POST", "/pickups", false)).end;
  };
  cr_assert(end_of("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc") == TransferEnd::kComplete);
  cr_assert(end_of("no protocol at all\r\n\r\n") == TransferEnd::kMalformedAnswer);
  cr_assert(end_of("HTTP/1.1 200 OK\r\n\r\nabc") == TransferEnd::kMalformedAnswer);
  cr_assert(end_of("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc") ==
            TransferEnd::kConnectionLost);
  cr_assert(end_of("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'a')) ==
            TransferEnd::kAnswerTooLarge);
  cr_assert(end_of("") == TransferEnd::kConnectionLost);
}

// Guards against request smuggling through a header, path or method.
Test(endpoint_transfer, calls_that_would_break_the_protocol_are_not_sent) {
  std::atomic<int> received{0};
  const Server server("127.0.0.1:0", [&received](const Request&) {
    ++received;
    return HandlerResult{};
  });
  ServiceCall call = Call("POST", "/pickups", false);
  call.headers = {{"A", "b\r\n\r\nPOST /deposits HTTP/1.1"}};
  cr_assert(Send(server.Address(), call).end == TransferEnd::kNotSent);
  cr_assert(Send(server.Address(), Call("GET", "/a HTTP/1.1\r\nB: c", true)).end ==
            TransferEnd::kNotSent);
  cr_assert(Send(server.Address(), Call("GET /x", "/a", true)).end == TransferEnd::kNotSent);
  cr_assert_eq(received.load(), 0);
}

// Guards against taking a late copy of an earlier answer for the answer to the next call on a
// connection that is used again.
Test(endpoint_transfer, a_late_copy_is_not_taken_for_the_next_answer) {
  RepeatingServer server;
  TransferLoop loop;
  HttpPlainService plain(server.Address(), loop, 1000);
  wagtailwind::http::Client client(server.Address());
  for (const char* path : {"/1", "/2", "/3"}) {
    std::promise<ServiceAnswer> answer;
    plain.Send(Call("GET", path, true),
               [&answer](ServiceAnswer received) { answer.set_value(std::move(received)); });
    cr_assert_eq(answer.get_future().get().body, std::string(path));
    cr_assert_eq(client.Send("GET", path, "", std::chrono::seconds(2)).body, std::string(path));
  }
}
