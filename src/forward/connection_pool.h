#ifndef WAGTAILWIND_FORWARD_CONNECTION_POOL_H_
#define WAGTAILWIND_FORWARD_CONNECTION_POOL_H_

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "balancing/endpoint.h"
#include "core/clock.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief A connection to an endpoint that is in use by one request.
struct EndpointConnection {
  balancing::EndpointPtr endpoint;
  std::unique_ptr<http1::ClientConnection> connection;
  /// The connection has carried an earlier request, so the endpoint may have closed it since.
  bool reused = false;
};

/// \brief Pool of idle connections to endpoints.
class ConnectionPool {
 public:
  ConnectionPool(net::EventLoop& loop, const Clock& clock);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// \brief Returns an idle connection whose keep-alive timeout has not run out, or a new one.
  [[nodiscard]] EndpointConnection Acquire(const balancing::EndpointPtr& endpoint);

  /// \brief Returns a connection to the pool. `idle_limit` is the endpoint's keep-alive timeout, if
  /// announced.
  void Release(EndpointConnection connection, std::optional<std::chrono::milliseconds> idle_limit);

  /// \brief Closes a connection that can't be reused.
  void Discard(EndpointConnection connection) noexcept;

  /// \brief Closes the idle connections to an endpoint.
  void CloseIdle(const balancing::Endpoint& endpoint);

  /// \brief Closes connections whose idle time has run out.
  void CloseExpired();

  [[nodiscard]] std::size_t IdleCount() const noexcept;

 private:
  class IdleConnection;

  void RemoveIdle(IdleConnection& idle);

  net::EventLoop& m_loop;
  const Clock& m_clock;
  /// Idle connections by endpoint, the longest idle first.
  std::map<const balancing::Endpoint*, std::list<std::unique_ptr<IdleConnection>>> m_idle;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CONNECTION_POOL_H_
