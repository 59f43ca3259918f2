#ifndef WAGTAILWIND_HTTP_SOCKET_ADDRESS_H_
#define WAGTAILWIND_HTTP_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace wagtailwind::http {

namespace detail {
struct MalformedAddressTag {
  static constexpr const char* kName = "malformed_address";
};
}  // namespace detail

/// \brief Thrown when a text does not have the form `ip:port`.
using MalformedAddress = wagtailwind::detail::NamedError<detail::MalformedAddressTag>;

/// \brief An IP address and port, stored as a `sockaddr` for socket calls.
class SocketAddress {
 public:
  SocketAddress(const sockaddr_storage& storage, socklen_t size) noexcept
      : m_storage(storage), m_size(size) {}

  [[nodiscard]] const sockaddr* Get() const noexcept {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
  [[nodiscard]] socklen_t Size() const noexcept { return m_size; }

  /// \brief Returns the IP address; an IPv6 address is enclosed in brackets.
  [[nodiscard]] std::string HostText() const;

  /// \brief Returns the address as `ip:port`.
  [[nodiscard]] std::string Text() const;

  [[nodiscard]] std::uint16_t Port() const noexcept;

 private:
  sockaddr_storage m_storage;
  socklen_t m_size;
};

/// \brief Parses `ip:port`; throws MalformedAddress.
[[nodiscard]] SocketAddress ParseSocketAddress(std::string_view text);

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_SOCKET_ADDRESS_H_
