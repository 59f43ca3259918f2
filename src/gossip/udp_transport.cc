#include "gossip/udp_transport.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <system_error>

#include "gossip/datagram.h"
#include "gossip/log_events.h"
#include "http/socket_address.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{100};

// Limits the time between two ticks when datagrams arrive faster than they are handled.
constexpr int kMaxReadsPerTurn = 256;

std::string ErrorText(int error) { return std::generic_category().message(error); }

}  // namespace

UdpTransport::UdpTransport(std::string_view listen_address) {
  const http::SocketAddress address = http::ParseSocketAddress(listen_address);
  m_socket = socket(address.Get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_socket < 0 || bind(m_socket, address.Get(), address.Size()) != 0) {
    const int error = errno;
    if (m_socket >= 0) {
      close(m_socket);
    }
    throw SocketError("cannot bind " + std::string(listen_address) + ": " + ErrorText(error));
  }
  m_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (m_wake_fd < 0) {
    const int error = errno;
    close(m_socket);
    throw SocketError("cannot create an eventfd: " + ErrorText(error));
  }
}

UdpTransport::~UdpTransport() {
  Stop();
  close(m_socket);
  close(m_wake_fd);
}

std::string UdpTransport::LocalAddress() const {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(m_socket, reinterpret_cast<sockaddr*>(&storage), &size);
  return http::SocketAddress(storage, size).Text();
}

void UdpTransport::Start(DatagramHandler& handler, const Clock& clock) {
  m_thread = std::thread([this, &handler, &clock] { Loop(handler, clock); });
}

void UdpTransport::Stop() noexcept {
  m_stopping = true;
  Wake();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void UdpTransport::Send(std::string_view address, std::span<const std::byte> bytes) {
  try {
    const http::SocketAddress target = http::ParseSocketAddress(address);
    if (sendto(m_socket, bytes.data(), bytes.size(), 0, target.Get(), target.Size()) < 0) {
      Log(kSocketError, {{"address", address}, {"error", ErrorText(errno)}});
    }
  } catch (const http::MalformedAddress& error) {
    Log(kSocketError, {{"address", address}, {"error", error.what()}});
  }
}

void UdpTransport::Wake() noexcept {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(m_wake_fd, &one, sizeof(one));
}

void UdpTransport::Loop(DatagramHandler& handler, const Clock& clock) {
  SteadyTime next_tick = clock.Now();
  while (!m_stopping) {
    const auto wait = std::chrono::ceil<milliseconds>(next_tick - clock.Now());
    std::array<pollfd, 2> fds{{{m_socket, POLLIN, 0}, {m_wake_fd, POLLIN, 0}}};
    poll(fds.data(), fds.size(), static_cast<int>(std::max(wait, milliseconds(0)).count()));
    std::uint64_t count = 0;
    const bool woken = read(m_wake_fd, &count, sizeof(count)) > 0;
    ReadAll(handler, clock);
    const SteadyTime now = clock.Now();
    if (woken || now >= next_tick) {
      handler.Tick(now);
      next_tick = now + kTickPeriod;
    }
  }
}

void UdpTransport::ReadAll(DatagramHandler& handler, const Clock& clock) {
  // The additional byte distinguishes a datagram that is too long from one of the allowed size.
  std::array<std::byte, kMaxDatagramBytes + 1> buffer{};
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    const ssize_t received = recvfrom(m_socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr*>(&storage), &size);
    if (received < 0) {
      return;
    }
    handler.Receive(std::span(buffer).first(static_cast<std::size_t>(received)),
                    http::SocketAddress(storage, size).Text(), clock.Now());
  }
}

}  // namespace wagtailwind::gossip
