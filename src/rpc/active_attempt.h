#ifndef WAGTAILWIND_RPC_ACTIVE_ATTEMPT_H_
#define WAGTAILWIND_RPC_ACTIVE_ATTEMPT_H_

#include <kj/async.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

#include "core/metrics.h"
#include "rpc/agent_connection.h"
#include "rpc/attempt.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::rpc {

/// \brief State that all attempts of a client share.
struct AttemptContext {
  kj::TaskSet& tasks;
  kj::Timer& timer;
  std::chrono::milliseconds admission_timeout;
  /// Counts replies that were dropped because they did not belong to the attempt.
  Counter& dropped_replies;
};

/// \brief One attempt or one resumed answer. Checks each reply and passes it to the listener. Used
/// on the event loop.
class ActiveAttempt final : public Attempt, public std::enable_shared_from_this<ActiveAttempt> {
 public:
  /// \brief The context must exist until the attempt has ended.
  ActiveAttempt(AttemptContext& context, Incarnation agent_incarnation,
                std::variant<AttemptCall, ResumeCall> call,
                std::shared_ptr<AttemptListener> listener);
  ~ActiveAttempt() noexcept override;
  ActiveAttempt(const ActiveAttempt&) = delete;
  ActiveAttempt& operator=(const ActiveAttempt&) = delete;

  void Cancel() override;

  /// \brief Sends the attempt over a connection.
  void Send(const std::shared_ptr<AgentConnection>& connection);

  /// \brief Ends the attempt because no connection could be opened.
  void FailBeforeHandOver();

  [[nodiscard]] bool ended() const noexcept { return m_phase == Phase::kEnded; }

  /// \name Messages to the answer sink
  /// @{
  /// \brief Returns a promise that resolves when the attempt is admitted or ends.
  [[nodiscard]] kj::Promise<void> WhenAdmitted();
  void HandleHead(kj::ArrayPtr<const kj::byte> request_id, std::uint32_t attempt,
                  schema::AnswerHead::Reader head);
  [[nodiscard]] kj::Promise<void> HandleChunk(std::uint64_t offset,
                                              kj::ArrayPtr<const kj::byte> data);
  void HandleEnd(schema::AnswerEnd::Reader end);
  void HandleSinkReleased();
  /// @}

 private:
  enum class Phase : std::uint8_t { kConnecting, kHandedOver, kAdmitted, kAnswering, kEnded };

  void SendExecute(const std::shared_ptr<AgentConnection>& connection, const AttemptCall& call);
  void SendResume(const std::shared_ptr<AgentConnection>& connection, const ResumeCall& call);
  void HandleAdmission(schema::Admission::Reader admission);
  void HandleResumed(bool found);
  void Admit(std::string_view answer_id);
  /// Reports the attempt as lost if it is not admitted or refused within the admission timeout.
  void StartAdmissionTimer();
  /// Counts and logs a reply that is ignored.
  void CountDroppedReply(std::string_view message);
  /// Ends the attempt and calls OnLost(), unless it has ended already.
  void ReportLost(requests::FailureReason reason);
  /// Cancels the call after an invalid message and reports the attempt as lost.
  void FailOnProtocolError(std::string_view error);
  /// Returns whether a reply belongs to this attempt.
  [[nodiscard]] bool IsMatch(kj::ArrayPtr<const kj::byte> request_id, std::uint32_t attempt) const;
  /// Releases the resources of the attempt; returns the listener for a final event.
  [[nodiscard]] std::shared_ptr<AttemptListener> End();

  AttemptContext& m_context;
  const Incarnation m_agent_incarnation;
  std::variant<AttemptCall, ResumeCall> m_call;
  std::shared_ptr<AttemptListener> m_listener;
  std::shared_ptr<AgentConnection> m_connection;
  Phase m_phase = Phase::kConnecting;
  bool m_sink_released = false;
  std::uint64_t m_next_offset = 0;
  kj::Maybe<schema::CallHandle::Client> m_handle;
  kj::Own<kj::PromiseFulfiller<void>> m_admitted_fulfiller;
  kj::ForkedPromise<void> m_admitted;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_ACTIVE_ATTEMPT_H_
