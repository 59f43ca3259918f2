#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "requests/outcome.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::testing {

/// \brief How a fake agent handles an attempt.
struct AgentPlan {
  /// Reason of the refusal; kNone admits the attempt.
  requests::FailureReason refusal = requests::FailureReason::kNone;
  requests::Outcome refusal_outcome = requests::Outcome::kNotRun;
  std::vector<std::string> redirects;
  std::string content_type = "text/event-stream";
  std::vector<std::string> chunks;
  /// Also sends a head that carries another attempt number, before the correct one.
  bool crossed_replies = false;
  /// Sends the head and each chunk twice.
  bool duplicate_replies = false;
  /// Sends the admission with another attempt number.
  bool wrong_admission = false;
  /// Skips a byte offset after each chunk.
  bool gap = false;
  /// Reports a wrong total length at the end.
  bool wrong_length = false;
  /// Closes all connections instead of ending the answer, as if the process had crashed.
  bool dies = false;
  /// Never ends the answer.
  bool hangs = false;
  /// Ends the answer as incomplete.
  bool incomplete = false;
  requests::Outcome end_outcome = requests::Outcome::kUnknown;
};

/// \brief An agent that runs in this process with its own event loop and listens on loopback.
class FakeAgentService {
 public:
  FakeAgentService();
  ~FakeAgentService();
  FakeAgentService(const FakeAgentService&) = delete;
  FakeAgentService& operator=(const FakeAgentService&) = delete;

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

  /// \brief Sets the plans of the next attempts, in order. The last plan applies to all further
  /// ones.
  void SetPlans(std::vector<AgentPlan> plans);

  /// \brief Closes the listener and all connections.
  void Die();

  [[nodiscard]] std::size_t Attempts() const;
  [[nodiscard]] std::uint64_t ChunksSent() const;
  [[nodiscard]] std::vector<std::string> MovedChats() const;

  /// \brief Waits until the router has cancelled this many attempts.
  void WaitForCancels(std::size_t count) const;

  /// \brief Waits until this many attempts have been received.
  void WaitForAttempts(std::size_t count) const;

  static constexpr std::uint64_t kIncarnation = 77;
  /// Id of every answer, regardless of the endpoint.
  static constexpr const char* kAnswerId = "engine0~4d~000102030405060708090a0b0c0d0e0f";

 private:
  struct State;
  rpc::EventLoopThread m_loop;
  std::shared_ptr<State> m_state;
  std::string m_address;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_
