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

/// \brief What a session needs from the process that accepted it.
class SessionHost {
 public:
  virtual ~SessionHost() = default;

  [[nodiscard]] virtual std::unique_ptr<RequestTask> MakeTask(CallerRequest request,
                                                              ResponseSink& sink) = 0;

  /// \brief The limits in force.
  [[nodiscard]] virtual CallerLimits Limits() const = 0;

  /// \brief Whether the caller should use another connection for its next request.
  [[nodiscard]] virtual bool ClosesConnections() const = 0;

  /// \brief Bytes of request bodies may be kept; false if the process holds too many.
  [[nodiscard]] virtual bool ReserveBody(std::size_t bytes) = 0;
  virtual void ReleaseBody(std::size_t bytes) noexcept = 0;

  /// \brief Keeps a task whose caller has gone until it ends by itself.
  virtual void Adopt(std::unique_ptr<RequestTask> task) = 0;

  /// \brief The session has ended and may be destroyed after the current event.
  virtual void OnSessionEnd(CallerSession& session) = 0;

  /// \brief A request was refused before it was read.
  virtual void OnUnreadRequest(int status, std::string_view reason) = 0;
};

/// \brief A caller's connection: reads one request after the other and writes their responses.
class CallerSession final : private net::StreamHandler,
                            private http1::MessageHandler,
                            private ResponseSink {
 public:
  /// \brief Takes a connection from the listener. Throws net::SocketFailed.
  CallerSession(net::EventLoop& loop, const Clock& clock, SessionHost& host, uv_stream_t* listener);
  ~CallerSession() override;

  /// \brief Ends the session now if it is idle; otherwise its next response is the last one.
  void CloseWhenIdle();

 private:
  enum class Phase : std::uint8_t { kReading, kHandling, kClosing };

  void OnData(std::string_view data) override;
  void OnEnd() override;
  void OnBroken(std::string_view error) override;
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

  /// Reads the next part of a request; keeps what is behind its end.
  void Parse(std::string_view data);
  void StartTask();
  void Refuse(int status, std::string_view reason);
  void OnTimeout();
  void ResponseDone();
  void NextRequest();
  void CallerGone();
  void End();
  void StartReadTimer();
  [[nodiscard]] std::string HeadText(int status, const std::vector<http::Header>& headers);

  net::EventLoop& m_loop;
  const Clock& m_clock;
  SessionHost& m_host;
  const CallerLimits m_limits;
  net::TcpStream m_stream;
  http1::MessageParser m_parser;
  net::Timer m_timer;
  /// Lets deferred functions notice that the session is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

  Phase m_phase = Phase::kReading;
  CallerRequest m_request;
  bool m_head_read = false;
  std::size_t m_reserved = 0;
  /// Bytes behind the request that is handled.
  std::string m_pending;
  bool m_keep_alive = true;
  bool m_is_head_request = false;
  bool m_close_when_idle = false;
  bool m_reading_paused = false;
  int m_refusal = 0;
  bool m_ended = false;
  std::unique_ptr<RequestTask> m_task;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CALLER_SESSION_H_
