#include "rpc/agent_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "http/socket_address.h"

namespace wagtailwind::rpc {

namespace {

// A peer that fails without closing leaves a half-open connection. The kernel closes it after this
// time without an acknowledgement, which is well before most deadlines.
constexpr unsigned int kUnacknowledgedTimeoutMs = 10'000;
constexpr int kKeepAliveIdleSeconds = 5;

// Makes the kernel close connections to unresponsive peers.
void SetDeadPeerTimeouts(kj::AsyncIoStream& stream) {
  const int on = 1;
  stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
                    sizeof(kKeepAliveIdleSeconds));
  stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
                    sizeof(kUnacknowledgedTimeoutMs));
}

kj::Promise<std::shared_ptr<AgentConnection>> FetchAgent(kj::Own<kj::AsyncIoStream> stream) {
  SetDeadPeerTimeouts(*stream);
  auto connection = std::make_shared<AgentConnection>(kj::mv(stream));
  return connection->Agent().whenResolved().then([connection] { return connection; });
}

}  // namespace

AgentConnection::AgentConnection(kj::Own<kj::AsyncIoStream> stream)
    : m_stream(kj::mv(stream)),
      m_rpc(*m_stream),
      m_agent(m_rpc.bootstrap().castAs<schema::Bootstrap>().agentRequest().send().getAgent()) {}

kj::Promise<std::shared_ptr<AgentConnection>> AgentConnection::Open(
    kj::AsyncIoProvider& io, kj::Timer& timer, const std::string& address,
    std::chrono::milliseconds timeout) {
  return kj::evalNow([&]() {
    const http::SocketAddress socket_address = http::ParseSocketAddress(address);
    kj::Own<kj::NetworkAddress> network_address =
        io.getNetwork().getSockaddr(socket_address.Get(), socket_address.Size());
    kj::Promise<kj::Own<kj::AsyncIoStream>> connecting = network_address->connect();
    return timer.timeoutAfter(
        timeout.count() * kj::MILLISECONDS,
        connecting.attach(kj::mv(network_address)).then([](kj::Own<kj::AsyncIoStream>&& stream) {
          return FetchAgent(kj::mv(stream));
        }));
  });
}

}  // namespace wagtailwind::rpc
