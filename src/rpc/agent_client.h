#ifndef WAGTAILWIND_RPC_AGENT_CLIENT_H_
#define WAGTAILWIND_RPC_AGENT_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "core/metrics.h"
#include "rpc/attempt.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::rpc {

/// \brief Bounds of the connections to agents.
struct AgentClientSettings {
  std::chrono::milliseconds connect_timeout{1'000};
  /// An attempt that is neither admitted nor refused for this long is lost.
  std::chrono::milliseconds admission_timeout{10'000};
  std::chrono::milliseconds idle_timeout{300'000};
};

/// \brief Connections to agents, opened on demand and kept until they break or are idle. The
/// member functions are to be called on the event loop, except the constructor and destructor,
/// which are not.
class AgentClient {
 public:
  /// \brief The parameters outlive the object.
  AgentClient(EventLoopThread& loop, AgentClientSettings settings, MetricsRegistry& metrics);

  /// \brief Cancels all attempts and closes all connections.
  ~AgentClient();
  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;

  /// \brief Starts an attempt.
  [[nodiscard]] std::shared_ptr<Attempt> Execute(const AgentAddress& agent, AttemptCall call,
                                                 std::shared_ptr<AttemptListener> listener);

  /// \brief Continues an answer. An unknown answer is refused with kAnswerNotFound.
  [[nodiscard]] std::shared_ptr<Attempt> Resume(const AgentAddress& agent, ResumeCall call,
                                                std::shared_ptr<AttemptListener> listener);

  /// \brief Tells a chat's home agent where the chat is served now. Best effort.
  void ChatMoved(const AgentAddress& home, const OrganisationName& organisation, const ChatId& chat,
                 const EndpointName& endpoint);

  /// \brief Connections that are open or being opened.
  [[nodiscard]] std::size_t Connections() const;

 private:
  struct State;
  EventLoopThread& m_loop;
  std::unique_ptr<State> m_state;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_AGENT_CLIENT_H_
