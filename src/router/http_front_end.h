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

/// \brief Settings of the listener for callers.
struct HttpFrontEndSettings {
  /// `ip:port`.
  std::string listen;
  std::uint64_t max_body_bytes = 1U << 20U;
  std::uint64_t max_header_bytes = 16U << 10U;
  std::uint32_t max_connections = 4096;
  std::uint32_t threads = 2;
  /// A connection without traffic in either direction for this long is closed; whole seconds. Time
  /// spent waiting for an answer does not count.
  std::chrono::seconds idle_timeout{30};
  /// A request body must be received within this time.
  std::chrono::milliseconds receive_timeout{30'000};
};

/// \brief Result of a graceful stop.
struct StopReport {
  /// Number of requests that were still in progress at the drain timeout and were ended with
  /// kShutdownTimeout.
  std::size_t terminated_requests = 0;
};

/// \brief The callers' HTTP listener (libmicrohttpd with epoll threads). A connection that waits
/// for its answer is suspended.
class HttpFrontEnd {
 public:
  /// \brief Starts listening; throws http::ListenFailed. `flow` and `metrics` must outlive the
  /// object.
  HttpFrontEnd(HttpFrontEndSettings settings, RequestFlow& flow, MetricsRegistry& metrics);

  /// \brief Closes the listener and ends the requests in progress.
  ~HttpFrontEnd();
  HttpFrontEnd(const HttpFrontEnd&) = delete;
  HttpFrontEnd& operator=(const HttpFrontEnd&) = delete;

  /// \brief Returns the address with the bound port.
  [[nodiscard]] const std::string& Address() const noexcept;

  /// \brief Sets whether requests are accepted; false initially. Otherwise they are answered with
  /// 503 not_ready.
  void SetReady(bool ready) noexcept;

  /// \brief Whether `/readyz` reports ready: SetReady(true) was called and no stop has started.
  [[nodiscard]] bool IsReady() const noexcept;

  /// \brief Stops gracefully: reports not ready at once, still accepts connections for
  /// `balancer_delay`, then accepts no new ones, waits up to `drain_timeout` for the requests in
  /// progress and ends the remaining ones. Blocks until this is done.
  StopReport Stop(std::chrono::milliseconds balancer_delay,
                  std::chrono::milliseconds drain_timeout);

  /// \brief Returns the state as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_HTTP_FRONT_END_H_
