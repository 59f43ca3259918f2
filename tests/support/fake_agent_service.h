#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "requests/outcome.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::testing {

/// \brief What a fake agent does with its next attempt.
struct AgentPlan {
  /// kNone: the attempt is admitted.
  requests::FailureReason refusal = requests::FailureReason::kNone;
  requests::Outcome refusal_outcome = requests::Outcome::kNotRun;
  std::vector<std::string> redirects;
  std::string content_type = "text/event-stream";
  std::vector<std::string> chunks;
  /// Each head, chunk and admission also comes with the identity of another request.
  bool crossed_replies = false;
  bool duplicate_replies = false;
  bool wrong_admission = false;
  /// Skips bytes between chunks, or lies about the length.
  bool gap = false;
  bool wrong_length = false;
  /// The process vanishes instead of ending the answer.
  bool dies = false;
  /// Never ends the answer.
  bool hangs = false;
  /// Ends without a whole answer.
  bool incomplete = false;
  requests::Outcome end_outcome = requests::Outcome::kUnknown;
};

/// \brief An agent in this process, on loopback, with an event loop of its own.
class FakeAgentService {
 public:
  FakeAgentService();
  ~FakeAgentService();
  FakeAgentService(const FakeAgentService&) = delete;
  FakeAgentService& operator=(const FakeAgentService&) = delete;

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

  /// \brief Plans are used in order; the last one stays.
  void SetPlans(std::vector<AgentPlan> plans);

  /// \brief Closes the listener and all connections.
  void Die();

  [[nodiscard]] std::size_t Attempts() const;
  [[nodiscard]] std::uint64_t ChunksSent() const;
  [[nodiscard]] std::vector<std::string> MovedChats() const;

  /// \brief Waits until the router has cancelled this many attempts.
  void WaitForCancels(std::size_t count) const;

  /// \brief Waits until this many attempts have come.
  void WaitForAttempts(std::size_t count) const;

  static constexpr std::uint64_t kIncarnation = 77;
  /// The id of each answer, whichever endpoint the agent stands for.
  static constexpr const char* kAnswerId = "engine0~4d~000102030405060708090a0b0c0d0e0f";

 private:
  struct State;
  rpc::EventLoopThread m_loop;
  std::shared_ptr<State> m_state;
  std::string m_address;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_SERVICE_H_
