#include "forward/connection_pool.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Endpoints accept within a few milliseconds; a lost first packet is sent again after a second,
// which takes longer than trying another endpoint.
constexpr std::chrono::milliseconds kConnectTimeout = 300ms;

// Longer than any pause of a live endpoint, because its system acknowledges for it.
constexpr std::chrono::milliseconds kPeerTimeout = 3'000ms;

// Idle time for an endpoint that does not tell its timeout.
constexpr std::chrono::milliseconds kDefaultIdleLimit = 2'000ms;

// A request must arrive before the endpoint closes: the timeout is in whole seconds, and the
// request takes some milliseconds more under load.
constexpr std::chrono::milliseconds kCloseMargin = 600ms;

// A connection that has been silent for longer may have been cut without a trace.
constexpr std::chrono::milliseconds kMaxIdle = 6'000ms;

}  // namespace

class ConnectionPool::Idle final : public http1::ResponseObserver {
 public:
  Idle(ConnectionPool& pool, EndpointConnection connection, BootTime until)
      : m_pool(pool), m_connection(std::move(connection)), m_until(until) {
    m_connection.connection->SetIdleObserver(this);
  }

  [[nodiscard]] bool OnResponseHead(http1::MessageHead) override { return false; }
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd(bool) override {}
  void OnConnectionEnd(http1::ConnectionEnd, std::string_view) override { m_pool.Remove(*this); }

  [[nodiscard]] EndpointConnection Take() { return std::move(m_connection); }
  [[nodiscard]] BootTime until() const noexcept { return m_until; }
  [[nodiscard]] const Endpoint* endpoint() const noexcept { return m_connection.endpoint.get(); }

 private:
  ConnectionPool& m_pool;
  EndpointConnection m_connection;
  BootTime m_until;
};

ConnectionPool::ConnectionPool(net::EventLoop& loop, const Clock& clock)
    : m_loop(loop), m_clock(clock) {}

ConnectionPool::~ConnectionPool() = default;

EndpointConnection ConnectionPool::Acquire(const EndpointPtr& endpoint) {
  const BootTime now = m_clock.BootNow();
  const auto found = m_idle.find(endpoint.get());
  while (found != m_idle.end() && !found->second.empty()) {
    const std::unique_ptr<Idle> idle = std::move(found->second.back());
    found->second.pop_back();
    EndpointConnection connection = idle->Take();
    connection.connection->SetIdleObserver(nullptr);
    if (now < idle->until()) {
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
  const Endpoint* endpoint = connection.endpoint.get();
  m_idle[endpoint].push_back(
      std::make_unique<Idle>(*this, std::move(connection), m_clock.BootNow() + usable_for));
}

void ConnectionPool::Discard(EndpointConnection connection) noexcept {
  if (connection.connection) {
    --connection.endpoint->connections;
    connection.connection.reset();
  }
}

void ConnectionPool::CloseIdle(const Endpoint& endpoint) {
  const auto found = m_idle.find(&endpoint);
  if (found == m_idle.end()) {
    return;
  }
  for (const std::unique_ptr<Idle>& idle : found->second) {
    Discard(idle->Take());
  }
  m_idle.erase(found);
}

void ConnectionPool::Sweep() {
  const BootTime now = m_clock.BootNow();
  for (auto entry = m_idle.begin(); entry != m_idle.end();) {
    const auto current = entry++;
    current->second.remove_if([&](const std::unique_ptr<Idle>& idle) {
      if (now < idle->until()) {
        return false;
      }
      Discard(idle->Take());
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

void ConnectionPool::Remove(Idle& idle) {
  auto& connections = m_idle[idle.endpoint()];
  const auto found =
      std::find_if(connections.begin(), connections.end(),
                   [&idle](const std::unique_ptr<Idle>& entry) { return entry.get() == &idle; });
  if (found != connections.end()) {
    const std::unique_ptr<Idle> removed = std::move(*found);
    connections.erase(found);
    Discard(removed->Take());
  }
}

}  // namespace wagtailwind::forward
