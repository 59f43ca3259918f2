#include "support/raw_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "http/socket_address.h"

namespace wagtailwind::testing {

RawConnection::RawConnection(std::string_view address, int receive_buffer) {
  const http::SocketAddress target = http::ParseSocketAddress(address);
  m_socket = socket(target.Get()->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  if (connect(m_socket, target.Get(), target.Size()) != 0) {
    close(m_socket);
    m_socket = -1;
  }
}

RawConnection::~RawConnection() { close(m_socket); }

void RawConnection::Write(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t count = send(m_socket, data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    data.remove_prefix(static_cast<std::size_t>(count));
  }
}

bool RawConnection::ReadSome() {
  std::array<char, 4096> buffer{};
  const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  m_received.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

void RawConnection::ReadAvailable(std::size_t limit) {
  std::array<char, 4096> buffer{};
  while (limit > 0 && !m_ended) {
    const ssize_t count =
        recv(m_socket, buffer.data(), std::min(limit, buffer.size()), MSG_DONTWAIT);
    if (count <= 0) {
      m_ended = count == 0 || errno != EAGAIN;
      return;
    }
    m_received.append(buffer.data(), static_cast<std::size_t>(count));
    limit -= static_cast<std::size_t>(count);
  }
}

const std::string& RawConnection::ReadUntil(std::string_view text) {
  while (m_received.find(text) == std::string::npos && ReadSome()) {
  }
  return m_received;
}

const std::string& RawConnection::ReadToEnd() {
  while (ReadSome()) {
  }
  return m_received;
}

}  // namespace wagtailwind::testing
