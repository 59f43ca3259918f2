#ifndef WAGTAILWIND_ROUTER_HTTP_FRONT_END_H_
#define WAGTAILWIND_ROUTER_HTTP_FRONT_END_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "router/request_flow.h"

namespace wagtailwind::router {

/// \brief Bounds of the callers' listener.
struct HttpFrontEndSettings {
  /// `ip:port`.
  std::string listen;
  std::uint64_t max_body_bytes = 1U << 20U;
  std::uint64_t max_header_bytes = 16U << 10U;
  std::uint32_t max_connections = 4096;
  std::uint32_t threads = 2;
  /// A connection without a byte in either direction for this long is closed; whole seconds. Not
  /// counted while an answer is awaited.
  std::chrono::seconds idle_timeout{30};
  /// A request body must be there within this time.
  std::chrono::milliseconds receive_timeout{30'000};
};

/// \brief How a graceful stop went.
struct StopReport {
  /// Requests that were still in progress at the bound and were ended with kShutdownTimeout.
  std::size_t cut = 0;
};

/// \brief The callers' HTTP listener (libmicrohttpd with epoll threads). A connection that waits
/// for its answer is suspended.
class HttpFrontEnd {
 public:
  /// \brief Listens; throws http::ListenFailed. The other parameters outlive the object.
  HttpFrontEnd(HttpFrontEndSettings settings, RequestFlow& flow, MetricsRegistry& metrics);

  /// \brief Closes the listener. Requests in progress are ended.
  ~HttpFrontEnd();
  HttpFrontEnd(const HttpFrontEnd&) = delete;
  HttpFrontEnd& operator=(const HttpFrontEnd&) = delete;

  /// \brief The address with the port that was bound.
  [[nodiscard]] const std::string& Address() const noexcept;

  /// \brief Whether requests are taken; false at first. Otherwise they are answered 503 not_ready.
  void SetReady(bool ready) noexcept;

  /// \brief What `/readyz` says: SetReady(true) was called and no stop has begun.
  [[nodiscard]] bool IsReady() const noexcept;

  /// \brief Graceful stop: not ready at once, open for `balancer_delay`, then no new connections;
  /// requests get at most `drain_timeout`, and what is left is cut. Blocks until then.
  StopReport Stop(std::chrono::milliseconds balancer_delay,
                  std::chrono::milliseconds drain_timeout);

  /// \brief State as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_HTTP_FRONT_END_H_
