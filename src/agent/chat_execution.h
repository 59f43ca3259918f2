#ifndef WAGTAILWIND_AGENT_CHAT_EXECUTION_H_
#define WAGTAILWIND_AGENT_CHAT_EXECUTION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/agent_call.h"
#include "agent/flow_core.h"
#include "endpoint/model_engine.h"

namespace wagtailwind::agent {

/// \brief Runs one generation on the engine and stores its answer; resumes the stream after a lost
/// connection.
class ChatExecution final : public Execution,
                            public endpoint::GenerationSink,
                            public std::enable_shared_from_this<ChatExecution> {
 public:
  ChatExecution(std::shared_ptr<FlowCore> core, AgentCall call,
                std::shared_ptr<StoredAnswer> answer);

  /// \brief Sends the call to the engine. `reservation` is released when the execution ends.
  void Start(std::uint64_t reservation, std::uint32_t priority_rank);

  void Cancel() override;
  void CancelIfUnread(std::chrono::milliseconds max_unread) override;
  void Abort(requests::FailureReason reason) override;

  void OnAccepted(int status, std::string_view stream_id, std::uint32_t cached_tokens) override;
  void OnData(std::string_view data) override;
  void OnEnd(endpoint::TransferEnd end) override;

 private:
  [[nodiscard]] std::chrono::milliseconds Remaining() const;
  [[nodiscard]] const ChatCall& Chat() const { return std::get<ChatCall>(m_call.target); }
  [[nodiscard]] bool TryResume();
  [[nodiscard]] bool IsComplete() const;
  [[nodiscard]] AnswerEnd ToAnswerEnd(endpoint::TransferEnd end);
  /// Checks the answer of a transfer that ended without an error. If it is complete, records the
  /// chat's prefix.
  [[nodiscard]] AnswerEnd CheckCompletedAnswer();
  /// Cancels the generation; the answer ends with this reason.
  void CancelGeneration(requests::FailureReason reason);
  void CancelEngineStream();
  void SetTransfer(const std::shared_ptr<endpoint::Transfer>& transfer);
  [[nodiscard]] bool IsAborted();
  void Finish(AnswerEnd end);

  const std::shared_ptr<FlowCore> m_core;
  const AgentCall m_call;
  const std::shared_ptr<StoredAnswer> m_answer;
  const SteadyTime m_deadline;
  std::uint64_t m_number = 0;
  std::uint64_t m_reservation = 0;
  absl::Mutex m_mutex;
  std::shared_ptr<endpoint::Transfer> m_transfer ABSL_GUARDED_BY(m_mutex);
  std::string m_stream_id ABSL_GUARDED_BY(m_mutex);
  int m_status ABSL_GUARDED_BY(m_mutex) = 0;
  std::optional<requests::FailureReason> m_stop_reason ABSL_GUARDED_BY(m_mutex);
  bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
  bool m_resuming ABSL_GUARDED_BY(m_mutex) = false;
  bool m_resume_refused ABSL_GUARDED_BY(m_mutex) = false;
  int m_resumes_without_data ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_CHAT_EXECUTION_H_
