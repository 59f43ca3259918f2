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

/// \brief Receives the events of a TCP connection. A handler may destroy the stream in any of them.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// \brief Bytes have arrived. `data` is valid only during the call.
  virtual void OnData(std::string_view data) = 0;

  /// \brief The peer has closed its sending side gracefully.
  virtual void OnEnd() = 0;

  /// \brief The connection has failed; `error` is a description for logs.
  virtual void OnError(std::string_view error) = 0;

  /// \brief The kernel has accepted all bytes passed to Write().
  virtual void OnDrained() {}

  /// \brief Connect() has succeeded.
  virtual void OnConnected() {}
};

/// \brief One TCP connection. Destroying it closes the connection.
class TcpStream {
 public:
  /// \brief Creates an unconnected stream; `handler` must outlive it.
  TcpStream(EventLoop& loop, StreamHandler& handler);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// \brief Connects to `ip:port`. Calls OnConnected() or OnError() later, never before it
  /// returns.
  void Connect(const std::string& address);

  /// \brief Accepts a pending connection of `listener`. Throws SocketFailed.
  void Accept(uv_stream_t* listener);

  void StartReading();
  void StopReading() noexcept;

  /// \brief Writes as many bytes as the kernel accepts and queues the rest. Failures are reported
  /// to the handler.
  void Write(std::string_view data);

  /// \brief Number of bytes passed to Write() that the kernel has not accepted yet.
  [[nodiscard]] std::size_t QueuedBytes() const noexcept;

  /// \brief Limits the bytes that the kernel takes from Write() before it has sent them. Without a
  /// limit, it buffers megabytes for a peer that reads slowly.
  void SetUnsentLimit(std::size_t bytes) noexcept;

  /// Unsent bytes that the kernel may take for one connection of a router. A process that is
  /// limited to 0.063 cores pauses for up to 94 ms, in which a link of 10 Mbit/s sends this much.
  static constexpr std::size_t kRouterUnsentLimit = 128U << 10U;

  /// \brief Returns the bytes that are held for a peer that reads slowly, by this process and by
  /// the kernel; 0 while the kernel accepts all bytes.
  [[nodiscard]] std::size_t HeldBytes() const noexcept;

  /// \brief Returns the number of written bytes that the peer has not acknowledged yet.
  [[nodiscard]] std::size_t UnacknowledgedBytes() const noexcept;

  /// \brief Whether the kernel holds received bytes that have not been reported yet.
  [[nodiscard]] bool HasUnreadBytes() const noexcept;

  /// \brief Whether the peer has closed its sending side, or the connection has failed, and no
  /// bytes precede that.
  [[nodiscard]] bool HasEnded() const noexcept;

  /// \brief Closes the sending side after the queued bytes; the peer sees an end of file.
  void ShutDown();

  /// \brief Aborts the connection when the peer leaves data unacknowledged for `timeout`, and sends
  /// keep-alive probes after the same time without traffic.
  void SetPeerTimeout(std::chrono::milliseconds timeout) noexcept;

  /// \brief Makes the destructor send a reset instead of an end of file.
  void ResetOnClose() noexcept;

 private:
  struct Handle;
  Handle* m_handle;
};

/// \brief Accepts TCP connections.
class TcpListener {
 public:
  /// \brief Listens on `ip:port` and calls `on_connection` with the listening stream for each
  /// connection. Throws SocketFailed.
  TcpListener(EventLoop& loop, const std::string& address,
              std::function<void(uv_stream_t*)> on_connection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// \brief Whether a connection waits to be accepted. Destroying the listener resets it.
  [[nodiscard]] bool HasPendingConnection() const noexcept;

  /// \brief Returns `ip:port`, with the bound port if port 0 was requested.
  [[nodiscard]] std::string Address() const;

 private:
  struct Handle;
  Handle* m_handle;
};

}  // namespace wagtailwind::net

#endif  // WAGTAILWIND_NET_TCP_STREAM_H_
