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

  /// \brief Sends a datagram without blocking; it may be lost.
  virtual void Send(std::string_view address, std::span<const std::byte> bytes) = 0;

  /// \brief Requests an early DatagramHandler::Tick(). Thread-safe.
  virtual void Wake() noexcept = 0;
};

/// \brief Callbacks of a transport, which calls them all on one thread.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;

  /// \brief Runs periodic work; called at regular intervals and after Wake().
  virtual void Tick(SteadyTime now) = 0;
  /// \brief Handles a datagram from the address `source`.
  virtual void Receive(std::span<const std::byte> bytes, std::string_view source,
                       SteadyTime now) = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_DATAGRAM_TRANSPORT_H_
