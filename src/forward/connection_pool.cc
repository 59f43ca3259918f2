#include "forward/connection_pool.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Endpoints accept within a few milliseconds. A lost SYN is resent only after a second, so trying
// another endpoint is faster.
constexpr std::chrono::milliseconds kConnectTimeout = 300ms;

// Longer than any pause of a live endpoint, because its kernel acknowledges data on its behalf.
constexpr std::chrono::milliseconds kPeerTimeout = 3'000ms;

// Assumed keep-alive timeout of an endpoint that announces none.
constexpr std::chrono::milliseconds kDefaultIdleLimit = 2'000ms;

// A request must arrive before the endpoint closes the connection. The announced timeout is in
// whole seconds, and a request takes some more milliseconds under load.
constexpr std::chrono::milliseconds kCloseMargin = 600ms;

// A connection that has been idle for longer may have been dropped by the network without a reset.
constexpr std::chrono::milliseconds kMaxIdle = 6'000ms;

}  // namespace

class ConnectionPool::IdleConnection final : public http1::ResponseObserver {
 public:
  IdleConnection(ConnectionPool& pool, EndpointConnection connection, BootTime expires_at)
      : m_pool(pool), m_connection(std::move(connection)), m_expires_at(expires_at) {
    m_connection.connection->SetObserver(this);
  }

  [[nodiscard]] bool OnResponseHead(http1::MessageHead) override { return false; }
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd(bool) override {}
  void OnConnectionEnd(http1::ConnectionEnd, std::string_view) override {
    m_pool.RemoveIdle(*this);
  }

  [[nodiscard]] EndpointConnection Detach() { return std::move(m_connection); }
  [[nodiscard]] BootTime expires_at() const noexcept { return m_expires_at; }
  [[nodiscard]] const balancing::Endpoint* endpoint() const noexcept {
    return m_connection.endpoint.get();
  }

 private:
  ConnectionPool& m_pool;
  EndpointConnection m_connection;
  BootTime m_expires_at;
};

ConnectionPool::ConnectionPool(net::EventLoop& loop, const Clock& clock)
    : m_loop(loop), m_clock(clock) {}

ConnectionPool::~ConnectionPool() = default;

EndpointConnection ConnectionPool::Acquire(const balancing::EndpointPtr& endpoint) {
  const BootTime now = m_clock.BootNow();
  const auto found = m_idle.find(endpoint.get());
  while (found != m_idle.end() && !found->second.empty()) {
    const std::unique_ptr<IdleConnection> idle = std::move(found->second.back());
    found->second.pop_back();
    EndpointConnection connection = idle->Detach();
    connection.connection->SetObserver(nullptr);
    if (now < idle->expires_at()) {
      connection.reused = true;
      return connection;
    }
    Discard(std::move(connection));
  }
  ++endpoint->connections;
  auto opened =
      std::make_unique<http1::ClientConnection>(m_loop, endpoint->record.address, kConnectTimeout);
  opened->SetPeerTimeout(kPeerTimeout);
  return {.endpoint = endpoint, .connection = std::move(opened)};
}

void ConnectionPool::Release(EndpointConnection connection,
                             std::optional<std::chrono::milliseconds> idle_limit) {
  const auto usable_for = std::min(idle_limit.value_or(kDefaultIdleLimit) - kCloseMargin, kMaxIdle);
  if (usable_for <= 0ms || !connection.endpoint->usable) {
    Discard(std::move(connection));
    return;
  }
  const balancing::Endpoint* endpoint = connection.endpoint.get();
  m_idle[endpoint].push_back(std::make_unique<IdleConnection>(*this, std::move(connection),
                                                              m_clock.BootNow() + usable_for));
}

void ConnectionPool::Discard(EndpointConnection connection) noexcept {
  if (connection.connection) {
    --connection.endpoint->connections;
    connection.connection.reset();
  }
}

void ConnectionPool::CloseIdle(const balancing::Endpoint& endpoint) {
  const auto found = m_idle.find(&endpoint);
  if (found == m_idle.end()) {
    return;
  }
  for (const std::unique_ptr<IdleConnection>& idle : found->second) {
    Discard(idle->Detach());
  }
  m_idle.erase(found);
}

void ConnectionPool::CloseExpired() {
  const BootTime now = m_clock.BootNow();
  for (auto entry = m_idle.begin(); entry != m_idle.end();) {
    const auto current = entry++;
    current->second.remove_if([&](const std::unique_ptr<IdleConnection>& idle) {
      if (now < idle->expires_at()) {
        return false;
      }
      Discard(idle->Detach());
      return true;
    });
    if (current->second.empty()) {
      m_idle.erase(current);
    }
  }
}

std::size_t ConnectionPool::IdleCount() const noexcept {
  std::size_t count = 0;
  for (const auto& [endpoint, connections] : m_idle) {
    count += connections.size();
  }
  return count;
}

void ConnectionPool::RemoveIdle(IdleConnection& idle) {
  auto& connections = m_idle[idle.endpoint()];
  const auto found = std::find_if(
      connections.begin(), connections.end(),
      [&idle](const std::unique_ptr<IdleConnection>& entry) { return entry.get() == &idle; });
  if (found != connections.end()) {
    const std::unique_ptr<IdleConnection> removed = std::move(*found);
    connections.erase(found);
    Discard(removed->Detach());
  }
}

}  // namespace wagtailwind::forward
