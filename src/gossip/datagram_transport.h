#ifndef WAGTAILWIND_GOSSIP_DATAGRAM_TRANSPORT_H_
#define WAGTAILWIND_GOSSIP_DATAGRAM_TRANSPORT_H_

#include <cstddef>
#include <span>
#include <string_view>

#include "core/clock.h"

namespace wagtailwind::gossip {

/// \brief Sends datagrams to members.
class DatagramTransport {
 public:
  virtual ~DatagramTransport() = default;

  /// \brief Sends without waiting; the datagram may be lost.
  virtual void Send(std::string_view address, std::span<const std::byte> bytes) = 0;

  /// \brief Asks for an early DatagramHandler::Tick(). May be called from any thread.
  virtual void Wake() noexcept = 0;
};

/// \brief What a transport calls, always on the same thread.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;

  virtual void Tick(SteadyTime now) = 0;
  virtual void Receive(std::span<const std::byte> bytes, std::string_view source,
                       SteadyTime now) = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_DATAGRAM_TRANSPORT_H_
