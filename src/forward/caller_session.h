#ifndef WAGTAILWIND_FORWARD_CALLER_SESSION_H_
#define WAGTAILWIND_FORWARD_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "forward/response_sink.h"
#include "forward/routing.h"
#include "http1/message_parser.h"
#include "net/tcp_stream.h"

namespace wagtailwind::forward {

class CallerSession;

/// \brief Interface through which a session uses the process that accepted it.
class SessionHost {
 public:
  virtual ~SessionHost() = default;

  [[nodiscard]] virtual std::unique_ptr<RequestTask> MakeTask(CallerRequest request,
                                                              ResponseSink& sink) = 0;

  /// \brief Returns the limits in force.
  [[nodiscard]] virtual CallerLimits Limits() const = 0;

  /// \brief Returns whether responses ask the caller to use another connection for its next
  /// request.
  [[nodiscard]] virtual bool ClosesConnections() const = 0;

  /// \brief Reserves memory for a request, whose body grows by `bytes`; false if the process
  /// already holds too much.
  [[nodiscard]] virtual bool ReserveBody(std::size_t bytes) = 0;
  virtual void ReleaseBody(std::size_t bytes) noexcept = 0;

  /// \brief Records that the bytes of finished responses which a session holds have changed.
  virtual void ResizeResponses(std::size_t before, std::size_t after) noexcept = 0;

  /// \brief Keeps a task whose caller has disconnected alive until the task ends by itself. The
  /// host then releases the `reserved` bytes of its request.
  virtual void KeepDetached(std::unique_ptr<RequestTask> task, std::size_t reserved) = 0;

  /// \brief Called when the session has ended; it may be destroyed after the current event.
  virtual void OnSessionEnd(CallerSession& session) = 0;

  /// \brief Called when a request is refused before it has been read completely.
  virtual void OnUnreadRequest(int status, std::string_view reason) = 0;
};

/// \brief Connection of a caller: reads requests one at a time and writes their responses.
class CallerSession final : private net::StreamHandler,
                            private http1::MessageHandler,
                            private ResponseSink {
 public:
  /// \brief Accepts a connection from the listener. Throws net::SocketFailed.
  CallerSession(net::EventLoop& loop, const Clock& clock, SessionHost& host, uv_stream_t* listener);
  ~CallerSession() override;

  /// \brief Ends the session now if it is idle; otherwise after its next response. A new session
  /// gets some time for its first request.
  void CloseWhenIdle();

 private:
  enum class Phase : std::uint8_t { kReading, kHandling, kClosing };

  void OnData(std::string_view data) override;
  void OnEnd() override;
  void OnError(std::string_view error) override;
  void OnDrained() override;

  [[nodiscard]] bool OnHead(http1::MessageHead head) override;
  void OnBody(std::string_view part) override;
  void OnMessageComplete() override {}

  void Respond(int status, const std::vector<http::Header>& headers,
               std::string_view body) override;
  void BeginStream(int status, const std::vector<http::Header>& headers) override;
  void StreamPart(std::string_view part) override;
  void EndStream() override;
  void Abort() override;
  [[nodiscard]] std::size_t QueuedBytes() const override { return m_stream.QueuedBytes(); }
  [[nodiscard]] std::size_t HeldBytes() const override { return m_stream.HeldBytes(); }
  void SaveMemory() override;

  /// Parses the next bytes of a request and keeps those after its end in m_pending.
  void Parse(std::string_view data);
  void StartTask();
  void Refuse(int status, std::string_view reason);
  void OnTimeout();
  void ResponseDone();
  void NextRequest();
  void ReleaseTask();
  /// Sets the bytes for which the session counts in the process's memory.
  void CountResponses(std::size_t held);
  /// Ends an aborted response once the caller has received what was written.
  void CheckDelivery();
  /// Closes the connection when the caller has had time to read what is queued for it.
  void BeginClose();
  void HandleDisconnect();
  void End();
  void StartReadTimer();
  [[nodiscard]] std::string HeadText(int status, const std::vector<http::Header>& headers);

  net::EventLoop& m_loop;
  const Clock& m_clock;
  SessionHost& m_host;
  const CallerLimits m_limits;
  const SteadyTime m_accepted_at;
  net::TcpStream m_stream;
  http1::MessageParser m_parser;
  net::Timer m_timer;
  /// Set to false by the destructor, so that deferred functions can detect that the session is
  /// gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

  Phase m_phase = Phase::kReading;
  CallerRequest m_request;
  std::size_t m_reserved = 0;
  /// Body bytes at the last restart of the timer.
  std::size_t m_counted_progress = 0;
  /// Bytes received after the end of the current request.
  std::string m_pending;
  bool m_keep_alive = true;
  bool m_is_head_request = false;
  bool m_close_when_idle = false;
  bool m_reading_paused = false;
  bool m_has_had_request = false;
  /// The response is complete, but too many of its bytes wait for the caller to handle more
  /// requests.
  bool m_waits_for_drain = false;
  /// Bytes that were queued for the caller when the timer was last checked.
  std::size_t m_queued_before = 0;
  /// Bytes of finished responses for which the session counts in the process's memory.
  std::size_t m_counted_responses = 0;
  /// The response ends with a reset once the caller has received what was written.
  bool m_is_aborting = false;
  /// Time at which the caller last received bytes of an aborted response.
  SteadyTime m_progress_at{};
  int m_refusal = 0;
  bool m_ended = false;
  std::unique_ptr<RequestTask> m_task;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CALLER_SESSION_H_
