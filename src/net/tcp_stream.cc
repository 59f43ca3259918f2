#include "net/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "core/mutant.h"
#include "http/socket_address.h"

namespace wagtailwind::net {

namespace {

// All reads of the loop's thread share one buffer, because data is handled inside the callback.
constexpr std::size_t kReadBufferBytes = 32U << 10U;

// Number of connections that can wait to be accepted; enough for a burst of clients of a small
// instance.
constexpr int kListenBacklog = 512;

void Allocate(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
  static std::array<char, kReadBufferBytes> bytes;
  *buffer = uv_buf_init(bytes.data(), bytes.size());
}

/// Whether a socket is readable: of a listener, whether a connection waits to be accepted.
bool IsReadable(const uv_tcp_t& tcp) noexcept {
  pollfd entry{.fd = -1, .events = POLLIN, .revents = 0};
  return uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp), &entry.fd) == 0 &&
         poll(&entry, 1, 0) > 0 && (entry.revents & POLLIN) != 0;
}

/// Returns what a read of the connection would return, without consuming it: 1 if there are bytes,
/// 0 at the end of the peer's data, or a negative error.
int Peek(const uv_tcp_t& tcp) noexcept {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp), &descriptor) < 0) {
    return UV_EBADF;
  }
  char byte = 0;
  const ssize_t received = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 ? uv_translate_sys_error(errno) : static_cast<int>(received);
}

/// Returns the socket error of a connection for which the loop reported an end of file, or 0 if the
/// peer closed it gracefully.
int PendingError(const uv_tcp_t& tcp) noexcept { return std::min(Peek(tcp), 0); }

sockaddr_storage ParseAddress(const std::string& address) {
  const http::SocketAddress parsed = http::ParseSocketAddress(address);
  sockaddr_storage storage{};
  std::copy_n(reinterpret_cast<const char*>(parsed.Get()), parsed.Size(),
              reinterpret_cast<char*>(&storage));
  return storage;
}

}  // namespace

struct TcpStream::Handle {
  uv_tcp_t tcp{};
  uv_connect_t connect{};
  EventLoop* loop = nullptr;
  /// Null once the stream is destroyed.
  StreamHandler* handler = nullptr;
  bool failed = false;
  bool reset_on_close = false;
  std::size_t unsent_limit = 0;

  [[nodiscard]] uv_stream_t* Stream() noexcept { return reinterpret_cast<uv_stream_t*>(&tcp); }

  void Fail(int error) {
    if (handler != nullptr && !failed) {
      failed = true;
      handler->OnError(uv_strerror(error));
    }
  }

  /// Reports the failure from the event loop and not from the call that failed, so that callers are
  /// not re-entered.
  void FailLater(int error) {
    auto* request = new uv_write_t{};
    request->data = this;
    // An empty write completes in the event loop. Closing the handle cancels the write before the
    // handle is freed.
    static char placeholder = 0;
    const uv_buf_t empty = uv_buf_init(&placeholder, 0);
    pending_error = error;
    const int result = uv_write(request, Stream(), &empty, 1, [](uv_write_t* done, int) {
      auto* handle = static_cast<Handle*>(done->data);
      delete done;
      handle->Fail(handle->pending_error);
    });
    if (result < 0) {
      delete request;
      loop->Post([this] { Fail(pending_error); });
    }
  }

  int pending_error = 0;
};

TcpStream::TcpStream(EventLoop& loop, StreamHandler& handler) : m_handle(new Handle) {
  uv_tcp_init(loop.Get(), &m_handle->tcp);
  m_handle->tcp.data = m_handle;
  m_handle->loop = &loop;
  m_handle->handler = &handler;
}

TcpStream::~TcpStream() {
  m_handle->handler = nullptr;
  const auto free = [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); };
  if (m_handle->reset_on_close && uv_tcp_close_reset(&m_handle->tcp, free) == 0) {
    return;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->tcp), free);
}

void TcpStream::Connect(const std::string& address) {
  const sockaddr_storage target = ParseAddress(address);
  uv_tcp_nodelay(&m_handle->tcp, 1);
  m_handle->connect.data = m_handle;
  const int result =
      uv_tcp_connect(&m_handle->connect, &m_handle->tcp, reinterpret_cast<const sockaddr*>(&target),
                     [](uv_connect_t* request, int status) {
                       auto* handle = static_cast<Handle*>(request->data);
                       if (handle->handler == nullptr) {
                         return;
                       }
                       if (status < 0) {
                         handle->Fail(status);
                       } else {
                         handle->handler->OnConnected();
                       }
                     });
  if (result < 0) {
    m_handle->FailLater(result);
  }
}

void TcpStream::Accept(uv_stream_t* listener) {
  const int result = uv_accept(listener, m_handle->Stream());
  if (result < 0) {
    throw SocketFailed(std::string("accept: ") + uv_strerror(result));
  }
  uv_tcp_nodelay(&m_handle->tcp, 1);
}

void TcpStream::StartReading() {
  uv_read_start(m_handle->Stream(), Allocate,
                [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
                  auto* handle = static_cast<Handle*>(stream->data);
                  if (handle->handler == nullptr || handle->failed) {
                    return;
                  }
                  if (count > 0) {
                    handle->handler->OnData({buffer->base, static_cast<std::size_t>(count)});
                  } else if (count == UV_EOF) {
                    // After a partial read, libuv reports a reset as an end of file. A response
                    // that is delimited by the end of its connection would then look complete.
                    const int error = PendingError(handle->tcp);
                    error == 0 ? handle->handler->OnEnd() : handle->Fail(error);
                  } else if (count < 0) {
                    handle->Fail(static_cast<int>(count));
                  }
                });
}

void TcpStream::StopReading() noexcept { uv_read_stop(m_handle->Stream()); }

void TcpStream::Write(std::string_view data) {
  if (m_handle->failed || data.empty()) {
    return;
  }
  if (QueuedBytes() == 0) {
    const uv_buf_t whole =
        uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned int>(data.size()));
    const int written = uv_try_write(m_handle->Stream(), &whole, 1);
    if (written < 0 && written != UV_EAGAIN) {
      m_handle->FailLater(written);
      return;
    }
    data.remove_prefix(static_cast<std::size_t>(std::max(written, 0)));
    if (data.empty()) {
      return;
    }
  }
  struct PendingWrite {
    uv_write_t request{};
    Handle* handle = nullptr;
    std::string bytes;
  };
  auto* pending = new PendingWrite{.handle = m_handle, .bytes = std::string(data)};
  pending->request.data = pending;
  const uv_buf_t rest =
      uv_buf_init(pending->bytes.data(), static_cast<unsigned int>(pending->bytes.size()));
  const int result =
      uv_write(&pending->request, m_handle->Stream(), &rest, 1, [](uv_write_t* done, int status) {
        auto* write = static_cast<PendingWrite*>(done->data);
        Handle* handle = write->handle;
        delete write;
        if (status < 0) {
          handle->Fail(status);
        } else if (handle->handler != nullptr &&
                   uv_stream_get_write_queue_size(handle->Stream()) == 0) {
          handle->handler->OnDrained();
        }
      });
  if (result < 0) {
    delete pending;
    m_handle->FailLater(result);
  }
}

std::size_t TcpStream::QueuedBytes() const noexcept {
  return uv_stream_get_write_queue_size(m_handle->Stream());
}

void TcpStream::SetUnsentLimit(std::size_t bytes) noexcept {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_handle->tcp), &descriptor) < 0 ||
      IsMutantEnabled("kernel_holds_unsent_bytes")) {
    return;
  }
  const auto limit = static_cast<unsigned int>(bytes);
  setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof(limit));
  m_handle->unsent_limit = bytes;
}

std::size_t TcpStream::HeldBytes() const noexcept {
  const std::size_t queued = QueuedBytes();
  return queued == 0 ? 0 : queued + m_handle->unsent_limit;
}

std::size_t TcpStream::UnacknowledgedBytes() const noexcept {
  uv_os_fd_t descriptor = -1;
  int bytes = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_handle->tcp), &descriptor) < 0 ||
      ioctl(descriptor, SIOCOUTQ, &bytes) < 0) {
    return 0;
  }
  return static_cast<std::size_t>(std::max(bytes, 0));
}

bool TcpStream::HasEnded() const noexcept {
  const int peeked = Peek(m_handle->tcp);
  return peeked <= 0 && peeked != UV_EAGAIN;
}

bool TcpStream::HasUnreadBytes() const noexcept { return IsReadable(m_handle->tcp); }

void TcpStream::ShutDown() {
  auto* request = new uv_shutdown_t{};
  if (uv_shutdown(request, m_handle->Stream(), [](uv_shutdown_t* done, int) { delete done; }) < 0) {
    delete request;
  }
}

void TcpStream::SetPeerTimeout(std::chrono::milliseconds timeout) noexcept {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_handle->tcp), &descriptor) < 0) {
    return;
  }
  const auto milliseconds = static_cast<unsigned int>(timeout.count());
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
  const unsigned int seconds = std::max(1U, milliseconds / 1000U);
  uv_tcp_keepalive(&m_handle->tcp, 1, seconds);
  // The kernel's default of 75 s between probes is longer than any timeout.
  const int interval = static_cast<int>(seconds);
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  constexpr int kProbeCount = 2;
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
}

void TcpStream::ResetOnClose() noexcept { m_handle->reset_on_close = true; }

struct TcpListener::Handle {
  uv_tcp_t tcp{};
  std::function<void(uv_stream_t*)> on_connection;
};

TcpListener::TcpListener(EventLoop& loop, const std::string& address,
                         std::function<void(uv_stream_t*)> on_connection)
    : m_handle(new Handle{.on_connection = std::move(on_connection)}) {
  uv_tcp_init(loop.Get(), &m_handle->tcp);
  m_handle->tcp.data = m_handle;
  const sockaddr_storage local = ParseAddress(address);
  int result = uv_tcp_bind(&m_handle->tcp, reinterpret_cast<const sockaddr*>(&local), 0);
  if (result == 0) {
    result = uv_listen(reinterpret_cast<uv_stream_t*>(&m_handle->tcp), kListenBacklog,
                       [](uv_stream_t* listener, int status) {
                         if (status == 0) {
                           static_cast<Handle*>(listener->data)->on_connection(listener);
                         }
                       });
  }
  if (result < 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->tcp),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
    throw SocketFailed("listen at " + address + ": " + uv_strerror(result));
  }
}

TcpListener::~TcpListener() {
  uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->tcp),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

bool TcpListener::HasPendingConnection() const noexcept { return IsReadable(m_handle->tcp); }

std::string TcpListener::Address() const {
  sockaddr_storage storage{};
  int size = sizeof(storage);
  uv_tcp_getsockname(&m_handle->tcp, reinterpret_cast<sockaddr*>(&storage), &size);
  return http::SocketAddress(storage, static_cast<socklen_t>(size)).Text();
}

}  // namespace wagtailwind::net
