#ifndef WAGTAILWIND_AGENT_EXECUTION_FLOW_H_
#define WAGTAILWIND_AGENT_EXECUTION_FLOW_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/agent_call.h"
#include "agent/flow_core.h"

namespace wagtailwind::agent {

/// \brief The request path of an agent: gate, claim, endpoint, stored answer. Safe to use from
/// several threads; no call blocks, except WaitIdle() and the destructor.
class ExecutionFlow {
 public:
  ExecutionFlow(FlowParts parts, FlowSettings settings);

  /// \brief Aborts what runs, and waits until the claims that are under way have been answered.
  ~ExecutionFlow();

  ExecutionFlow(const ExecutionFlow&) = delete;
  ExecutionFlow& operator=(const ExecutionFlow&) = delete;

  /// \brief Runs one attempt. `decided` is called once, from any thread, possibly before the
  /// return. A repeated message of an attempt gets the same decision and runs nothing.
  void Execute(AgentCall call, const AdmissionCallback& decided);

  /// \brief The caller gave up before the decision arrived.
  void CancelUndecided(const AttemptId& id);

  /// \brief A kept answer; null if unknown or of another organisation.
  [[nodiscard]] std::shared_ptr<StoredAnswer> FindAnswer(
      std::string_view id, const OrganisationName& organisation) const;

  /// \brief Notes that a chat whose home is here is served elsewhere.
  void ChatMoved(const OrganisationName& organisation, const ChatId& chat,
                 const EndpointName& endpoint);

  /// \brief Periodic work, about once a second: retention, generations without a reader.
  void Tick();

  /// \brief Refuses new attempts from now on.
  void BeginStop();

  /// \brief Waits until nothing runs; false if that takes longer than `timeout`.
  [[nodiscard]] bool WaitIdle(std::chrono::milliseconds timeout) const;

  /// \brief Ends what still runs with this reason.
  void AbortAll(requests::FailureReason reason);

  /// \brief The engine has restarted, with an empty prefix cache.
  void OnEngineRestarted();

  [[nodiscard]] std::size_t Running() const;
  [[nodiscard]] Incarnation AgentIncarnation() const noexcept;

  /// \brief State as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  void Decide(const AttemptId& id, const Admission& admission);
  void Refuse(const AttemptId& id, Refusal refusal);
  [[nodiscard]] requests::FailureReason Check(const AgentCall& call) const;
  void ExecuteChat(AgentCall call);
  void ExecuteService(AgentCall call);
  [[nodiscard]] bool Redirect(const AgentCall& call, const ChatCall& chat);
  [[nodiscard]] bool EnterResult(const AgentCall& call, bool may_run_again, std::uint64_t call_hash,
                                 const std::shared_ptr<StoredAnswer>& answer);
  [[nodiscard]] placement::AdmissionDecision Admit(const AgentCall& call);
  void RefuseAtGate(const AttemptId& id, const placement::AdmissionDecision& decision,
                    StoredAnswer& answer);
  [[nodiscard]] std::shared_ptr<StoredAnswer> NewAnswer(const AgentCall& call);

  const std::shared_ptr<FlowCore> m_core;
  std::atomic<bool> m_stopping{false};
  mutable absl::Mutex m_mutex;
  std::set<RequestId> m_redirected ABSL_GUARDED_BY(m_mutex);
  std::unordered_map<AttemptId, std::weak_ptr<Execution>, AttemptIdHash> m_undecided
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_EXECUTION_FLOW_H_
