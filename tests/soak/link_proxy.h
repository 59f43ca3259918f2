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

/// \brief What a link does to the bytes that cross it.
enum class LinkFault : std::uint8_t {
  kNone,
  /// Bytes arrive later, in order.
  kDelay,
  /// Open connections are reset at once, and new ones as soon as they are made.
  kReset,
  /// Bytes of one direction wait until the fault ends.
  kHoldToServer,
  kHoldToClient,
  /// Connections that are open when the fault begins carry nothing any more, also after its end.
  /// New ones carry nothing until then.
  kSilence,
};

/// \brief A loopback proxy in front of one server.
class LinkProxy {
 public:
  explicit LinkProxy(net::EventLoop& loop);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  /// \brief Where new connections go, `ip:port`.
  void SetServer(std::string address) { m_server = std::move(address); }

  [[nodiscard]] std::string Address() const { return m_listener->Address(); }

  void SetFault(LinkFault fault);

 private:
  class Connection;

  [[nodiscard]] bool Holds(bool to_server) const noexcept;

  net::EventLoop& m_loop;
  std::string m_server;
  LinkFault m_fault = LinkFault::kNone;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::unique_ptr<net::TcpListener> m_listener;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_LINK_PROXY_H_
