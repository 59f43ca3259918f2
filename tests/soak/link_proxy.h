#ifndef WAGTAILWIND_TESTS_SOAK_LINK_PROXY_H_
#define WAGTAILWIND_TESTS_SOAK_LINK_PROXY_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/tcp_stream.h"

namespace wagtailwind::soak {

/// \brief Fault of a link.
enum class LinkFault : std::uint8_t {
  kNone,
  /// Bytes are delayed and stay in order.
  kDelay,
  /// Open connections are reset at once, new ones when they are accepted.
  kReset,
  /// Bytes of one direction are held back until the fault ends.
  kStallToServer,
  kStallToClient,
  /// No bytes are forwarded. Connections that were open at any time during the fault never forward
  /// bytes again.
  kBlackhole,
};

/// \brief A TCP proxy on loopback that injects faults between clients and one server.
class LinkProxy {
 public:
  explicit LinkProxy(net::EventLoop& loop);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  /// \brief Sets the address (`ip:port`) to which new connections are forwarded.
  void SetServer(std::string address) { m_server = std::move(address); }

  [[nodiscard]] std::string Address() const { return m_listener->Address(); }

  void SetFault(LinkFault fault);

 private:
  class Connection;

  [[nodiscard]] bool IsStalled(bool to_server) const noexcept;

  net::EventLoop& m_loop;
  std::string m_server;
  LinkFault m_fault = LinkFault::kNone;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::unique_ptr<net::TcpListener> m_listener;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_LINK_PROXY_H_
