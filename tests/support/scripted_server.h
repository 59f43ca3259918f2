#ifndef WAGTAILWIND_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define WAGTAILWIND_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "http1/message_parser.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace wagtailwind::testing {

/// \brief An HTTP server on a loop whose answers are raw bytes, so that they can be wrong in any
/// way.
class ScriptedServer {
 public:
  /// \brief One connection of a client.
  class Connection final : private net::StreamHandler, private http1::MessageHandler {
   public:
    Connection(ScriptedServer& server, uv_stream_t* listener);

    void Write(std::string_view bytes) { m_stream->Write(bytes); }

    /// \brief Ends the connection: in order, or with a reset.
    void Close();
    void Reset();

    [[nodiscard]] bool closed() const noexcept { return m_stream == nullptr; }

    /// \brief Head and body of the last request.
    http1::MessageHead head;
    std::string body;
    /// Requests on this connection so far.
    int requests = 0;

   private:
    void OnData(std::string_view data) override;
    void OnEnd() override;
    void OnError(std::string_view error) override;
    [[nodiscard]] bool OnHead(http1::MessageHead message) override;
    void OnBody(std::string_view part) override { body.append(part); }
    void OnMessageComplete() override {}

    ScriptedServer& m_server;
    std::unique_ptr<net::TcpStream> m_stream;
    http1::MessageParser m_parser;
  };

  using Handler = std::function<void(Connection&)>;

  /// \brief Listens at a free port of the loopback address; calls `handler` for each request.
  ScriptedServer(net::EventLoop& loop, Handler handler);

  [[nodiscard]] std::string Address() const { return m_listener.Address(); }

  void SetHandler(Handler handler) { m_handler = std::move(handler); }

  /// Requests that were read to their end.
  int requests = 0;
  /// Connections that the client has ended.
  int client_ends = 0;
  /// Connections that were accepted.
  int accepted = 0;

 private:
  net::EventLoop& m_loop;
  Handler m_handler;
  std::list<std::unique_ptr<Connection>> m_connections;
  net::TcpListener m_listener;
};

/// \brief A response with a length.
[[nodiscard]] std::string HttpText(int status, std::string_view headers, std::string_view body);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_SCRIPTED_SERVER_H_
