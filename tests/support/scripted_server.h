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

/// \brief An HTTP server on an event loop. A handler writes the answers as raw bytes, so that tests
/// can send malformed ones.
class ScriptedServer {
 public:
  /// \brief A client connection.
  class Connection final : private net::StreamHandler, private http1::MessageHandler {
   public:
    Connection(ScriptedServer& server, uv_stream_t* listener);

    void Write(std::string_view bytes) { m_stream->Write(bytes); }

    /// \brief Closes the connection.
    void Close();

    /// \brief Closes the connection with a TCP reset.
    void Reset();

    [[nodiscard]] bool closed() const noexcept { return m_stream == nullptr; }

    /// \brief Starts or stops reading what the client sends.
    void SetReading(bool is_reading);

    /// \brief Number of written bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_stream->QueuedBytes(); }

    /// Head and body of the last request.
    http1::MessageHead head;
    std::string body;
    /// Number of requests on this connection so far.
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

  /// \brief Listens on a free loopback port and calls `handler` for each complete request.
  ScriptedServer(net::EventLoop& loop, Handler handler);

  [[nodiscard]] std::string Address() const { return m_listener.Address(); }

  void SetHandler(Handler handler) { m_handler = std::move(handler); }

  /// \brief Calls `handler` for each head as well, before the body has been read.
  void SetHeadHandler(Handler handler) { m_head_handler = std::move(handler); }

  /// \brief Starts or stops reading on all connections, including those accepted later.
  void SetReading(bool is_reading);

  /// Number of complete requests.
  int requests = 0;
  /// Number of connections that the client closed or that failed.
  int client_ends = 0;
  /// Number of accepted connections.
  int accepted = 0;

 private:
  net::EventLoop& m_loop;
  Handler m_handler;
  Handler m_head_handler;
  bool m_is_reading = true;
  std::list<std::unique_ptr<Connection>> m_connections;
  net::TcpListener m_listener;
};

/// \brief Writes a text to connections again and again, as fast as the peers read it, until they
/// close the connection.
class EndlessWriter {
 public:
  /// \brief Writes at most `parts_per_tick` times 16 KiB to each connection in a millisecond.
  explicit EndlessWriter(net::EventLoop& loop, int parts_per_tick = 32);

  void Start(ScriptedServer::Connection& connection, std::string_view text);

  /// \brief Number of connections that have not been closed by their peers.
  [[nodiscard]] std::size_t OpenConnections() const;

  /// Number of bytes that were written.
  std::size_t written = 0;

 private:
  struct Entry {
    ScriptedServer::Connection* connection;
    std::string text;
    std::size_t written = 0;
  };

  std::list<Entry> m_entries;
  net::Timer m_timer;
};

/// \brief Returns a chunk of a body with chunked encoding.
[[nodiscard]] std::string Chunk(std::string_view text);

/// \brief Returns the text of an HTTP response with a Content-Length header.
[[nodiscard]] std::string HttpText(int status, std::string_view headers, std::string_view body);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_SCRIPTED_SERVER_H_
