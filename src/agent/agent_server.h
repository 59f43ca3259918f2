#ifndef WAGTAILWIND_AGENT_AGENT_SERVER_H_
#define WAGTAILWIND_AGENT_AGENT_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "agent/execution_flow.h"
#include "rpc/bootstrap_listener.h"
#include "rpc/event_loop_thread.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::agent {

/// \brief The RPC listener of an agent.
class AgentServer {
 public:
  /// \brief Makes the capability that `Bootstrap.peer` returns; called on the event loop.
  using PeerFactory = std::function<rpc::schema::PeerService::Client()>;

  /// \brief Listens on `ip:port`. The loop and the flow must outlive this object, and the loop must
  /// outlive the flow. Without a factory, `Bootstrap.peer` fails. Throws http::ListenFailed.
  AgentServer(rpc::EventLoopThread& loop, ExecutionFlow& flow, std::string_view listen_address,
              PeerFactory peer = nullptr);

  /// \brief Closes the listener and all connections.
  ~AgentServer();

  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  /// \brief Returns the address with the bound port.
  [[nodiscard]] const std::string& Address() const noexcept { return m_listener->Address(); }

  /// \brief Refuses new attempts and waits until all answers have been delivered. After `timeout`,
  /// ends the remaining answers with `shutdown_timeout` and returns false.
  [[nodiscard]] bool Drain(std::chrono::milliseconds timeout);

  /// \brief Returns the state as JSON. Must not be called on the event loop.
  [[nodiscard]] std::string DumpState() const;

 private:
  struct State;
  rpc::EventLoopThread& m_loop;
  ExecutionFlow& m_flow;
  std::shared_ptr<State> m_state;
  std::unique_ptr<rpc::BootstrapListener> m_listener;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_AGENT_SERVER_H_
