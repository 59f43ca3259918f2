#include "http/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>

namespace wagtailwind::http {

std::string SocketAddress::HostText() const {
  char text[INET6_ADDRSTRLEN] = {};
  if (m_storage.ss_family == AF_INET6) {
    const auto* address = reinterpret_cast<const sockaddr_in6*>(&m_storage);
    inet_ntop(AF_INET6, &address->sin6_addr, text, sizeof(text));
    return "[" + std::string(text) + "]";
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(&m_storage);
  inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
  return text;
}

std::uint16_t SocketAddress::Port() const noexcept {
  return ntohs(m_storage.ss_family == AF_INET6
                   ? reinterpret_cast<const sockaddr_in6*>(&m_storage)->sin6_port
                   : reinterpret_cast<const sockaddr_in*>(&m_storage)->sin_port);
}

std::string SocketAddress::Text() const { return HostText() + ":" + std::to_string(Port()); }

SocketAddress ParseSocketAddress(std::string_view text) {
  const MalformedAddress error("not ip:port: " + std::string(text));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw error;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (code != std::errc() || end != port_text.data() + port_text.size()) {
    throw error;
  }
  std::string host(text.substr(0, colon));
  sockaddr_storage storage{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* address = reinterpret_cast<sockaddr_in6*>(&storage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(port);
    if (inet_pton(AF_INET6, host.c_str(), &address->sin6_addr) != 1) {
      throw error;
    }
    return {storage, sizeof(sockaddr_in6)};
  }
  auto* address = reinterpret_cast<sockaddr_in*>(&storage);
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address->sin_addr) != 1) {
    throw error;
  }
  return {storage, sizeof(sockaddr_in)};
}

}  // namespace wagtailwind::http
