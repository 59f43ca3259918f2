#ifndef WAGTAILWIND_FORWARD_FORWARD_TASK_H_
#define WAGTAILWIND_FORWARD_FORWARD_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancing/admission_control.h"
#include "balancing/endpoint_ranking.h"
#include "balancing/prompt.h"
#include "core/log.h"
#include "forward/event_framer.h"
#include "forward/forward_context.h"
#include "forward/response_sink.h"
#include "router/request_decision.h"

namespace wagtailwind::forward {

/// \brief Forwards one request: admission, choice of endpoints, attempts, and the response.
class ForwardTask final : public RequestTask, private http1::ResponseObserver {
 public:
  /// \brief `context` and `sink` must outlive the task. `on_detached_end` is called when a task
  /// whose caller has disconnected ends by itself.
  ForwardTask(ForwardContext& context, CallerRequest request, ResponseSink& sink,
              std::function<void(ForwardTask&)> on_detached_end);
  ~ForwardTask() override;

  void Start() override;
  void OnSinkDrained() override;
  [[nodiscard]] bool OnCallerDisconnected() override;

 private:
  /// Classification of an endpoint's response by its head.
  enum class AnswerKind : std::uint8_t {
    kNone,
    /// The endpoint has not run the request.
    kRefusal,
    /// Another process answers at the endpoint's address.
    kOtherProcess,
    /// The endpoint ran the request and reports a failure.
    kFailure,
    /// A success that is buffered before it is passed on.
    kBuffered,
    /// A stream of events, passed on as they arrive.
    kEvents,
    /// A success without the endpoint's signature, or with a content encoding, which was not
    /// requested.
    kInvalid,
  };

  /// State of one attempt.
  struct Attempt {
    std::uint32_t number = 0;
    std::optional<EndpointConnection> connection{};
    bool sent = false;
    SteadyTime sent_at{};
    AnswerKind kind = AnswerKind::kNone;
    http1::MessageHead answer_head{};
    std::string answer_body{};
    /// Size of the body at the last restart of the silence timer.
    std::size_t counted_progress = 0;
    std::size_t error_bytes = 0;
    /// Size of events that the caller had already received.
    std::size_t repeated_bytes = 0;
    std::string_view invalid_reason{};
    EventFramer framer{};
    bool reading_paused = false;
    /// The request was not written, because it was too late for that.
    bool withdrawn = false;
    /// Time of the last event of this attempt.
    std::optional<SteadyTime> last_event_at{};
  };

  /// Observes the connection of the attempt that is set aside. Its answer is not read meanwhile.
  class SetAsideObserver final : public http1::ResponseObserver {
   public:
    [[nodiscard]] bool OnResponseHead(http1::MessageHead) override { return false; }
    void OnResponseBody(std::string_view) override {}
    void OnResponseEnd(bool) override { ended = true; }
    void OnConnectionEnd(http1::ConnectionEnd, std::string_view) override { ended = true; }

    bool ended = false;
  };

  /// \name Admission
  /// @{
  [[nodiscard]] bool FindRoute();
  [[nodiscard]] bool CheckKey();
  /// Whether the configuration was confirmed recently enough to accept keys.
  [[nodiscard]] bool AreKeysConfirmed() const;
  /// Whether the request's key, if it needs one, is still accepted.
  [[nodiscard]] bool IsKeyAccepted() const;
  /// Returns a hash of what the request asks for, and for whom. It is the same on all routers, and
  /// each time that the request comes again.
  [[nodiscard]] balancing::PromptPart HashContent() const;
  /// Refuses an unknown route or key: permanently, or with a retry time if the configuration may be
  /// outdated.
  void RefuseUnknown(requests::FailureReason reason);
  /// Refuses a request whose key may have been revoked.
  void RefuseUnconfirmed();
  /// Reads the parts of the request, and refuses one that crashes endpoints.
  [[nodiscard]] bool CheckQuarantine();
  /// Whether endpoints crash under the request.
  [[nodiscard]] bool IsQuarantined() const;
  [[nodiscard]] requests::FailureReason QuarantineReason() const noexcept;
  [[nodiscard]] bool FindEndpoints();
  /// Refuses a request that would be late, or make more urgent ones late. `cost` is its work by the
  /// caller's token counts.
  [[nodiscard]] bool CheckAdmission(const balancing::Ranking& ranked, double cost);
  void RefuseAdmission(const balancing::AdmissionDecision& decision, double work, double occupancy);
  /// Logs and shows that refusals for a shortage of capacity begin or end.
  void ReportShortage(bool was_limiting, SteadyTime now);
  /// Ends the part of the request in the admission control.
  void EndAdmission(bool is_served);
  void ReadDeadline();
  /// Refuses a request that arrives late in a planned stop, if it may be cut at the end of the
  /// stop.
  [[nodiscard]] bool CheckStop();
  [[nodiscard]] std::optional<ServiceName> ChooseService() const;
  /// @}

  /// \name Attempts
  /// @{
  /// Starts the attempt that the step asks for, or finishes the request.
  void RunStep(router::Step step);
  [[nodiscard]] bool StartAttempt(const router::Step& step, const balancing::EndpointPtr& endpoint);
  [[nodiscard]] std::string RequestText(const balancing::EndpointPtr& endpoint) const;
  void EndAttempt(Attempt& attempt);
  /// Cancels an attempt for a reason that is not the endpoint's fault.
  void CancelAttempt(Attempt& attempt);
  /// Ends an attempt that was lost, and counts it against its endpoint.
  void EndLostAttempt(Attempt& attempt, requests::FailureReason reason, std::string_view detail);
  void CountAttempt(std::string_view result);
  /// Logs a failed attempt; `what` is the field that shows what the endpoint did.
  void LogFailedAttempt(const balancing::EndpointPtr& endpoint, std::string_view reason,
                        const LogField& what, std::string_view detail = {}) const;
  /// Ends the current attempt as lost, and runs the next step after a delay.
  void FailAttempt(requests::FailureReason reason, std::string_view detail,
                   std::chrono::milliseconds retry_delay = std::chrono::milliseconds(0));
  /// Reports a request that waited for its answer when the endpoint closed the connection. Returns
  /// the time after which it is known whether the request may be repeated.
  std::chrono::milliseconds ReportLostRequest(const Attempt& attempt, http1::ConnectionEnd end);
  void OnRetryTimer();
  void OnSilenceTimeout();
  /// Whether a silent request may move to another endpoint now.
  [[nodiscard]] bool HasAlternative() const;
  /// Sets the current attempt aside, and asks another endpoint to run or continue the request.
  void AskOtherEndpoint();
  /// Continues with the attempt that was set aside, since no other endpoint has accepted the
  /// request. Returns false if there is none.
  [[nodiscard]] bool ResumeSetAside();
  /// Gives up the attempt that was set aside, since another endpoint may run the request.
  void LoseSetAside();
  /// Cancels the attempt that was set aside, since the request has ended.
  void CancelSetAside();
  /// Starts the timer that moves a repeatable request away from a silent endpoint.
  void RestartSilenceTimer();
  void OnDeadlineTimer();
  /// Ends the request and its current attempt.
  void Abort(requests::FailureReason reason);
  [[nodiscard]] std::chrono::nanoseconds TimeLeft() const;
  /// @}

  /// \name Answer of the endpoint
  /// @{
  [[nodiscard]] bool UpdateRequest(std::string& request) override;
  void OnSending() override;
  void OnWriteProgress() override { CountMemory(); }
  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override;
  void OnResponseBody(std::string_view part) override;
  void OnResponseEnd(bool reusable) override;
  void OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) override;
  [[nodiscard]] AnswerKind Classify(const http1::MessageHead& head) const;
  void RecordLoadReport(const http1::MessageHead& head);
  /// Whether the endpoint that is named in the request has sent this head.
  [[nodiscard]] bool IsEndpointsOwn(const http1::MessageHead& head) const;
  void RecordRequestLimit(const http1::MessageHead& head);
  /// Pauses an endpoint that names a time in a refusal.
  void RecordPause(const http1::MessageHead& head);
  /// Stops using an endpoint that announces in its answer that it leaves.
  void RecordLeaving(const http1::MessageHead& head);
  /// Whether the current answer is a stream that ended, but broke off before its end.
  [[nodiscard]] bool IsBrokenStream() const noexcept;
  /// Whether the current answer is not a success.
  [[nodiscard]] bool IsErrorAnswer() const noexcept;
  void ReadBuffered(std::string_view part);
  void ReadEvents(std::string_view part);
  void ReadErrorBody(std::string_view part);
  /// Stops reading the current answer, and ends the attempt after the current event.
  void AbandonAnswer(std::string_view reason);
  /// Ends the attempt of an error answer whose body is incomplete.
  void EndErrorAnswer();
  /// Passes bytes on to the caller, and stops reading while too many are queued for it.
  void PassOn(std::string_view bytes);
  /// Continues to read the answer after a pause for a slow caller.
  void ResumeReading();
  /// Counts bytes of an answer whose caller has disconnected, and ends the request after too many.
  void CountUnreadBytes(std::size_t count);
  [[nodiscard]] bool HasTooManyUnreadBytes() const noexcept;
  /// Updates the memory that this request counts for in the process's budget.
  void CountMemory();
  /// Returns the bytes of an attempt's request that are held until its endpoint reads them.
  [[nodiscard]] static std::size_t HeldRequestBytes(const Attempt& attempt) noexcept;
  void FinishAnswer();
  /// Handles an error response to a request that the endpoint has run.
  void FinishFailure(const balancing::EndpointPtr& endpoint);
  /// Marks that the bytes sent to the caller can't be continued by another attempt.
  void PinAttempt();
  void OnEvent(std::string_view event, std::optional<std::uint64_t> id);
  [[nodiscard]] std::vector<http::Header> CallerHeaders(const http1::MessageHead& head) const;
  /// @}

  /// \name Response to the caller
  /// @{
  /// Refuses with a random time around `retry_after`, if there is one.
  void Refuse(int status, requests::FailureReason reason,
              std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  /// Refuses with this time exactly, if there is one.
  void RefuseUntil(int status, requests::FailureReason reason,
                   std::optional<std::chrono::milliseconds> retry_after);
  void Finish(const router::Step& step);
  void FinishNotRun(requests::FailureReason reason);
  /// Returns the Retry-After for a caller whose request can be sent after `wait`.
  [[nodiscard]] static std::chrono::milliseconds RetryAfterWait(std::chrono::nanoseconds wait);
  /// Returns the Retry-After for a request that all endpoints have refused as full; empty if the
  /// time is too long for the caller.
  [[nodiscard]] std::optional<std::chrono::milliseconds> WaitWhenFull() const;
  /// Returns the time until an endpoint of the service takes a request; 0 if there is none.
  [[nodiscard]] std::chrono::nanoseconds EndpointWait() const;
  void Close(int status, std::string_view outcome, requests::FailureReason reason);
  void BeginStreamToCaller();
  /// @}

  ForwardContext& m_context;
  CallerRequest m_request;
  /// Null once the caller has disconnected.
  ResponseSink* m_sink;
  std::function<void(ForwardTask&)> m_on_detached_end;

  std::shared_ptr<const RoutingConfiguration> m_configuration;
  std::shared_ptr<const Route> m_route;
  std::string_view m_id;
  OrganisationName m_organisation;
  /// Owner of the request's key; null if it needs none.
  const ApiKeyOwner* m_key_owner = nullptr;
  std::uint32_t m_priority = 0;
  ServiceName m_service;
  SteadyTime m_deadline{};
  std::vector<balancing::EndpointPtr> m_ranked;
  /// Empty for requests without a prompt.
  std::optional<balancing::SharedPrompt> m_prompt;
  /// What crashes of endpoints are traced to: the parts of the prompt, and the content as a whole.
  std::vector<balancing::PromptPart> m_parts;
  bool m_at_home = false;
  /// Endpoint from which other endpoints fetch the prompt's shared parts; null if the first
  /// endpoint is expected to have them.
  balancing::EndpointPtr m_cached_at;
  double m_mean_load = 0;
  balancing::TypicalLoad m_typical_load;
  /// Empty if the endpoints were ranked without learned performance.
  std::optional<balancing::TypicalPerformance> m_typical_performance;

  /// Null without admission control.
  balancing::AdmissionControl* m_admission = nullptr;
  /// Empty before the request is admitted, and after its end.
  std::optional<balancing::AdmissionTicket> m_admission_ticket;

  std::optional<router::RequestDecision> m_decision;
  /// Fires at the deadline; before the admission, polls for the first configuration.
  net::Timer m_deadline_timer;
  net::Timer m_silence_timer;
  /// Delays m_delayed_step until it is known whether the endpoint of the last attempt has crashed.
  net::Timer m_retry_timer;
  router::Step m_delayed_step;

  EndpointName m_last_endpoint;
  Attempt m_current;
  /// A silent attempt that goes on if the endpoint of the current one refuses the request.
  std::optional<Attempt> m_set_aside;
  SetAsideObserver m_set_aside_observer;

  /// Whether any attempt was written to a connection.
  bool m_any_sent = false;
  /// Bytes of answers that arrived after the caller had disconnected.
  std::size_t m_unread_bytes = 0;
  /// Bytes that this request counts for in the process's budget.
  std::size_t m_counted_memory = 0;
  /// Head of the first response that began a stream, which is used for the response to the caller.
  std::optional<http1::MessageHead> m_stream_head;
  bool m_stream_began = false;
  bool m_is_pinned = false;
  std::optional<std::uint64_t> m_last_event_id;
  std::uint64_t m_events = 0;
  SteadyTime m_first_event_at{};
  /// An endpoint's error response, passed on unless a later attempt succeeds.
  std::optional<std::pair<http1::MessageHead, std::string>> m_failure;
  bool m_done = false;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_FORWARD_TASK_H_
