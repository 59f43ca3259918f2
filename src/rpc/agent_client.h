#ifndef WAGTAILWIND_RPC_AGENT_CLIENT_H_
#define WAGTAILWIND_RPC_AGENT_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "core/metrics.h"
#include "rpc/attempt.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::rpc {

/// \brief Timeouts of the connections to agents.
struct AgentClientSettings {
  std::chrono::milliseconds connect_timeout{1'000};
  /// Time after which an attempt that is neither admitted nor refused is reported as lost.
  std::chrono::milliseconds admission_timeout{10'000};
  /// Time after which an unused connection is closed.
  std::chrono::milliseconds idle_timeout{300'000};
};

/// \brief Opens connections to agents on demand and keeps them until they break or are idle. The
/// member functions must be called on the event loop, the constructor and the destructor on another
/// thread.
class AgentClient {
 public:
  /// \brief `loop` and `metrics` must outlive this object.
  AgentClient(EventLoopThread& loop, AgentClientSettings settings, MetricsRegistry& metrics);

  /// \brief Cancels all attempts and closes all connections.
  ~AgentClient();
  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;

  /// \brief Starts an attempt.
  [[nodiscard]] std::shared_ptr<Attempt> Execute(const AgentAddress& agent, AttemptCall call,
                                                 std::shared_ptr<AttemptListener> listener);

  /// \brief Resumes an answer. If the agent does not know it, the attempt is refused with
  /// kAnswerNotFound.
  [[nodiscard]] std::shared_ptr<Attempt> Resume(const AgentAddress& agent, ResumeCall call,
                                                std::shared_ptr<AttemptListener> listener);

  /// \brief Notifies a chat's home agent of the endpoint that serves the chat now. Best effort.
  void NotifyChatMoved(const AgentAddress& home, const OrganisationName& organisation,
                       const ChatId& chat, const EndpointName& endpoint);

  /// \brief Returns the number of connections that are open or being opened.
  [[nodiscard]] std::size_t Connections() const;

 private:
  struct State;
  EventLoopThread& m_loop;
  std::unique_ptr<State> m_state;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_AGENT_CLIENT_H_
