#ifndef WAGTAILWIND_NET_TCP_STREAM_H_
#define WAGTAILWIND_NET_TCP_STREAM_H_

#include <uv.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"

namespace wagtailwind::net {

/// \brief Events of a TCP connection. A handler may destroy the stream in any of them.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// \brief Bytes arrived; the view is valid during the call.
  virtual void OnData(std::string_view data) = 0;

  /// \brief The peer has closed its side in order.
  virtual void OnEnd() = 0;

  /// \brief The connection is broken; `error` is a text for logs.
  virtual void OnBroken(std::string_view error) = 0;

  /// \brief All bytes of Write() have gone to the system.
  virtual void OnDrained() {}

  /// \brief Connect() has succeeded.
  virtual void OnConnected() {}
};

/// \brief One TCP connection. Destroying it closes the connection.
class TcpStream {
 public:
  /// \brief An unconnected stream; `handler` outlives it.
  TcpStream(EventLoop& loop, StreamHandler& handler);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// \brief Connects to `ip:port`; ends with OnConnected() or OnBroken(), never inside the call.
  void Connect(const std::string& address);

  /// \brief Takes a connection from a listener. Throws SocketFailed.
  void Accept(uv_stream_t* listener);

  void StartReading();
  void StopReading() noexcept;

  /// \brief Writes the bytes, now as far as the system takes them. Failures reach the handler.
  void Write(std::string_view data);

  /// \brief Bytes of Write() that the system has not taken yet.
  [[nodiscard]] std::size_t QueuedBytes() const noexcept;

  /// \brief Closes after the queued bytes: the peer sees an end of file.
  void ShutDown();

  /// \brief Breaks the connection off when the peer leaves data unacknowledged for this long, and
  /// probes it after as long without traffic.
  void SetPeerTimeout(std::chrono::milliseconds timeout) noexcept;

  /// \brief The peer sees a reset in place of an end of file when the stream is destroyed.
  void ResetOnClose() noexcept;

 private:
  struct Handle;
  Handle* m_handle;
};

/// \brief Accepts TCP connections.
class TcpListener {
 public:
  /// \brief Listens at `ip:port`; calls `on_connection` with the listening stream for each
  /// connection. Throws SocketFailed.
  TcpListener(EventLoop& loop, const std::string& address,
              std::function<void(uv_stream_t*)> on_connection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// \brief `ip:port`, with the real port if 0 was asked for.
  [[nodiscard]] std::string Address() const;

 private:
  struct Handle;
  Handle* m_handle;
};

}  // namespace wagtailwind::net

#endif  // WAGTAILWIND_NET_TCP_STREAM_H_
