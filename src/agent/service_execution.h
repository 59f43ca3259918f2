#ifndef WAGTAILWIND_AGENT_SERVICE_EXECUTION_H_
#define WAGTAILWIND_AGENT_SERVICE_EXECUTION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/agent_call.h"
#include "agent/flow_core.h"
#include "endpoint/plain_service.h"
#include "requests/claim_log.h"

namespace wagtailwind::agent {

/// \brief Runs one call of a plain service: claims its request key, sends it and stores the answer.
class ServiceExecution final : public Execution,
                               public std::enable_shared_from_this<ServiceExecution> {
 public:
  /// \brief `key` is set for calls that are not repeatable.
  ServiceExecution(std::shared_ptr<FlowCore> core, AgentCall call,
                   std::optional<requests::RequestKey> key, std::shared_ptr<StoredAnswer> answer);

  /// \brief Claims the key if there is one, decides the attempt, and sends the call.
  /// `reservation` is released when the execution ends.
  void Start(std::uint64_t reservation);

  void Cancel() override;
  void CancelIfUnread(std::chrono::milliseconds max_unread) override;
  void Abort(requests::FailureReason reason) override;

 private:
  enum class Phase { kClaiming, kSending, kSent, kFinishing };

  [[nodiscard]] const PlainCall& Call() const { return std::get<PlainCall>(m_call.target); }
  /// Marks the call as sent and returns kNone, or returns why it must not be sent.
  [[nodiscard]] requests::FailureReason BeginSending();
  void OnClaim(requests::ClaimResult result);
  void Admit();
  void Refuse(requests::FailureReason reason, requests::Outcome outcome);
  void Send();
  void OnAnswer(endpoint::ServiceAnswer answer);
  [[nodiscard]] AnswerEnd StoreAnswer(endpoint::ServiceAnswer answer);
  void AbandonClaim();
  void Finish(AnswerEnd end);

  const std::shared_ptr<FlowCore> m_core;
  const AgentCall m_call;
  const std::optional<requests::RequestKey> m_key;
  const std::shared_ptr<StoredAnswer> m_answer;
  const SteadyTime m_deadline;
  /// Identifies this execution in the claim log. It differs from the request id because attempts of
  /// one request at two agents must not mistake each other's claim for their own.
  const RequestId m_claim_id;
  std::uint64_t m_number = 0;
  absl::Mutex m_mutex;
  Phase m_phase ABSL_GUARDED_BY(m_mutex) = Phase::kClaiming;
  requests::FailureReason m_stop_reason ABSL_GUARDED_BY(m_mutex) = requests::FailureReason::kNone;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_SERVICE_EXECUTION_H_
