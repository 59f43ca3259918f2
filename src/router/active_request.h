#ifndef WAGTAILWIND_ROUTER_ACTIVE_REQUEST_H_
#define WAGTAILWIND_ROUTER_ACTIVE_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "router/answer_channel.h"
#include "router/caller_error.h"
#include "router/event_stream_ids.h"
#include "router/flow_context.h"
#include "router/request_decision.h"
#include "router/validated_request.h"

namespace wagtailwind::router {

/// \brief A validated request and its candidates, as prepared by a worker.
struct PreparedRequest {
  ValidatedRequest request;
  std::vector<Candidate> candidates;
  /// The chat's home agent: the first candidate if the placement hint is ignored. It records which
  /// endpoint serves the chat.
  std::optional<Candidate> home_agent;
  SteadyTime received{};
};

/// \brief Runs one request on the event loop by executing the steps of its RequestDecision.
class ActiveRequest final : public rpc::AttemptListener,
                            public std::enable_shared_from_this<ActiveRequest> {
 public:
  ActiveRequest(std::shared_ptr<FlowContext> context, PreparedRequest prepared,
                std::shared_ptr<AnswerChannel> channel);

  void Begin();

  /// \brief Ends the request; has no effect if it has already ended.
  void Abort(requests::FailureReason reason);

  /// \name Events of the current attempt
  /// @{
  void OnHandedOver() override;
  void OnNotHandedOver() override;
  void OnAdmitted(std::string_view answer_id) override;
  void OnRefused(const rpc::AttemptRefusal& refusal) override;
  void OnHead(const rpc::AnswerHead& head) override;
  void OnChunk(std::string_view data, std::function<void()> consumed) override;
  void OnEnd(const rpc::AnswerEnd& end) override;
  void OnLost(requests::FailureReason reason) override;
  /// @}

 private:
  enum class BreakerResult : std::uint8_t { kSuccess, kFailure, kNeutral };

  void Apply(const Step& step);
  void ReportToBreaker(BreakerResult result);
  void StartAttempt(const Step& step);
  void Finish(const Step& step);
  void FinishWithError(const CallerError& error);
  void SendCompleteAnswer();
  void SendStreamHead();
  void NotifyHomeAgent();
  void CountOutcome(const Step& step);
  [[nodiscard]] bool IsEventStream() const;
  [[nodiscard]] ResponseHead MakeHead(bool streamed) const;
  [[nodiscard]] std::chrono::milliseconds Remaining() const;
  [[nodiscard]] rpc::AttemptCall MakeCall(const Step& step) const;

  const std::shared_ptr<FlowContext> m_context;
  PreparedRequest m_prepared;
  const std::shared_ptr<AnswerChannel> m_channel;
  RequestDecision m_decision;
  std::shared_ptr<rpc::Attempt> m_attempt;
  std::uint32_t m_attempt_number = 0;
  Candidate m_candidate;
  std::string m_answer_id;
  std::optional<rpc::AnswerHead> m_head;
  std::optional<EventStreamIds> m_event_ids;
  std::string m_body;
  /// Whether the circuit breaker of m_candidate still needs the result of the attempt.
  bool m_breaker_pending = false;
  bool m_head_sent = false;
  bool m_done = false;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_ACTIVE_REQUEST_H_
