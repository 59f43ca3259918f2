#ifndef WAGTAILWIND_RPC_AGENT_CONNECTION_H_
#define WAGTAILWIND_RPC_AGENT_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <chrono>
#include <memory>
#include <string>

#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::rpc {

/// \brief Connection to an agent. Used on the event loop.
class AgentConnection {
 public:
  explicit AgentConnection(kj::Own<kj::AsyncIoStream> stream);

  /// \brief Connects and fetches the agent's interface, so that connecting to a process that is not
  /// an agent fails before any attempt is sent.
  [[nodiscard]] static kj::Promise<std::shared_ptr<AgentConnection>> Open(
      kj::AsyncIoProvider& io, kj::Timer& timer, const std::string& address,
      std::chrono::milliseconds timeout);

  [[nodiscard]] schema::AgentService::Client& Agent() noexcept { return m_agent; }
  [[nodiscard]] kj::Promise<void> OnDisconnect() { return m_rpc.onDisconnect(); }

 private:
  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyClient m_rpc;
  schema::AgentService::Client m_agent;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_AGENT_CONNECTION_H_
