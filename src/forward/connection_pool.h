#ifndef WAGTAILWIND_FORWARD_CONNECTION_POOL_H_
#define WAGTAILWIND_FORWARD_CONNECTION_POOL_H_

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "forward/endpoint.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief A connection to an endpoint that one request uses.
struct EndpointConnection {
  EndpointPtr endpoint;
  std::unique_ptr<http1::ClientConnection> connection;
  /// It has carried a request before, so the endpoint may have closed it meanwhile.
  bool reused = false;
};

/// \brief Connections to endpoints that no request uses at the moment.
class ConnectionPool {
 public:
  ConnectionPool(net::EventLoop& loop, const Clock& clock);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// \brief An idle connection that the endpoint has surely not closed, or a new one.
  [[nodiscard]] EndpointConnection Acquire(const EndpointPtr& endpoint);

  /// \brief Gives a connection back. `idle_limit`: how long the endpoint keeps it open, if it says.
  void Release(EndpointConnection connection, std::optional<std::chrono::milliseconds> idle_limit);

  /// \brief Closes a connection that can't be used again.
  void Discard(EndpointConnection connection) noexcept;

  /// \brief Closes the idle connections to an endpoint.
  void CloseIdle(const Endpoint& endpoint);

  /// \brief Closes connections that have been idle for too long.
  void Sweep();

  [[nodiscard]] std::size_t IdleCount() const noexcept;

 private:
  class Idle;

  void Remove(Idle& idle);

  net::EventLoop& m_loop;
  const Clock& m_clock;
  /// By endpoint, the longest idle first.
  std::map<const Endpoint*, std::list<std::unique_ptr<Idle>>> m_idle;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CONNECTION_POOL_H_
