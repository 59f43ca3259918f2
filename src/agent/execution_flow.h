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

/// \brief The request path of an agent: admits attempts at the gate, claims request keys, calls the
/// endpoint and stores answers. Safe to use from several threads; no call blocks, except WaitIdle()
/// and the destructor.
class ExecutionFlow {
 public:
  ExecutionFlow(FlowDependencies parts, FlowSettings settings);

  /// \brief Aborts the running executions and waits until pending claims have been answered.
  ~ExecutionFlow();

  ExecutionFlow(const ExecutionFlow&) = delete;
  ExecutionFlow& operator=(const ExecutionFlow&) = delete;

  /// \brief Runs one attempt. `decided` is called once, from any thread, possibly before this
  /// function returns. A duplicated message gets the decision of the first and runs nothing.
  void Execute(AgentCall call, const AdmissionCallback& decided);

  /// \brief Cancels an attempt whose caller disconnected before the decision.
  void CancelUndecided(const AttemptId& id);

  /// \brief Returns a stored answer; null if unknown or of another organisation.
  [[nodiscard]] std::shared_ptr<StoredAnswer> FindAnswer(
      std::string_view id, const OrganisationName& organisation) const;

  /// \brief Records that a chat whose home is this endpoint is served by `endpoint`, or removes
  /// that record if `endpoint` is this endpoint.
  void ChatMoved(const OrganisationName& organisation, const ChatId& chat,
                 const EndpointName& endpoint);

  /// \brief Removes expired answers and results, cancels generations without a reader, and updates
  /// gauges. To be called about once a second.
  void Tick();

  /// \brief Refuses new attempts from now on.
  void BeginStop();

  /// \brief Waits until no execution is running; returns false on timeout.
  [[nodiscard]] bool WaitIdle(std::chrono::milliseconds timeout) const;

  /// \brief Aborts all running executions with this reason.
  void AbortAll(requests::FailureReason reason);

  /// \brief Clears the prefix directory, because a restarted engine has an empty prefix cache.
  void OnEngineRestarted();

  [[nodiscard]] std::size_t Running() const;
  [[nodiscard]] Incarnation AgentIncarnation() const noexcept;

  /// \brief Returns the state as JSON.
  [[nodiscard]] std::string DumpState() const;

 private:
  void Decide(const AttemptId& id, const Admission& admission);
  void Refuse(const AttemptId& id, Refusal refusal);
  /// Returns why the call can't be accepted now, or kNone.
  [[nodiscard]] requests::FailureReason CheckCall(const AgentCall& call) const;
  void ExecuteChat(AgentCall call);
  void ExecuteService(AgentCall call);
  /// Redirects a call whose chat has moved to another endpoint; returns false if the call is to run
  /// here.
  [[nodiscard]] bool TryRedirect(const AgentCall& call, const ChatCall& chat);
  /// Enters `answer` as the result of the call's key. If the key has a usable answer or belongs to
  /// another call, decides the attempt and returns false.
  [[nodiscard]] bool InsertResult(const AgentCall& call, bool may_run_again,
                                  std::uint64_t call_hash,
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
