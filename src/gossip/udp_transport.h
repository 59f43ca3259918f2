#ifndef WAGTAILWIND_GOSSIP_UDP_TRANSPORT_H_
#define WAGTAILWIND_GOSSIP_UDP_TRANSPORT_H_

#include <atomic>
#include <span>
#include <string>
#include <string_view>
#include <thread>

#include "core/clock.h"
#include "gossip/datagram_transport.h"
#include "gossip/socket_error.h"

namespace wagtailwind::gossip {

/// \brief UDP socket with a thread that reads it and calls the handler.
class UdpTransport final : public DatagramTransport {
 public:
  /// \brief Opens the socket at `ip:port`; throws SocketError or http::MalformedAddress.
  explicit UdpTransport(std::string_view listen_address);
  ~UdpTransport() override;

  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  /// \brief Returns the local address with the bound port.
  [[nodiscard]] std::string LocalAddress() const;

  /// \brief Starts the thread. The handler must exist until Stop() returns or this object is
  /// destroyed.
  void Start(DatagramHandler& handler, const Clock& clock);

  /// \brief Stops and joins the thread; must not be called on it.
  void Stop() noexcept;

  void Send(std::string_view address, std::span<const std::byte> bytes) override;
  void Wake() noexcept override;

 private:
  void Loop(DatagramHandler& handler, const Clock& clock);
  void ReadAll(DatagramHandler& handler, const Clock& clock);

  int m_socket = -1;
  int m_wake_fd = -1;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_UDP_TRANSPORT_H_
