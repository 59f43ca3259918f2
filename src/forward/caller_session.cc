#include "forward/caller_session.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/status_text.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Limit of bytes that a caller may pipeline before the response to its current request.
constexpr std::size_t kMaxPendingBytes = 64U << 10U;

// Bytes of earlier responses that may wait for a caller while its next request is handled.
constexpr std::size_t kMaxQueuedBytes = 64U << 10U;

// A body that arrives slowly gets the idle timeout for each part of this size. A caller that sends
// a byte now and then gets it once.
constexpr std::size_t kProgressBytes = 64U << 10U;

// While the router stops, a new connection may wait this long for its first request, which is
// already on its way.
constexpr std::chrono::milliseconds kFirstRequestTime = 1'000ms;

// Time for a refused caller to read the response. Closing the connection with unread request bytes
// resets it, which can discard the response.
constexpr std::chrono::milliseconds kLingerTime = 500ms;

// Unsent bytes that the kernel holds for a caller while the process holds too many answers.
constexpr std::size_t kMinUnsentBytes = 16U << 10U;

// A reset discards what the caller's kernel has not received. Until that has received all bytes of
// an aborted response, it is polled, as long as it makes progress within this time.
constexpr std::chrono::milliseconds kDeliveryPollInterval = 20ms;
constexpr std::chrono::milliseconds kMaxDeliveryPause = 3'000ms;

constexpr int kRequestTimeout = 408;
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

std::string_view RefusalReason(int status) {
  return status == kUnavailable ? "too many bytes are held" : "body refused";
}

}  // namespace

CallerSession::CallerSession(net::EventLoop& loop, const Clock& clock, SessionHost& host,
                             uv_stream_t* listener)
    : m_loop(loop),
      m_clock(clock),
      m_host(host),
      m_limits(host.Limits()),
      m_accepted_at(clock.Now()),
      m_stream(loop, *this),
      m_parser(http1::MessageParser::Kind::kRequest, *this, m_limits.max_head_bytes),
      m_timer(loop, [this] { OnTimeout(); }) {
  m_stream.Accept(listener);
  m_stream.SetUnsentLimit(net::TcpStream::kRouterUnsentLimit);
  m_stream.StartReading();
  StartReadTimer();
}

CallerSession::~CallerSession() {
  *m_alive = false;
  m_host.ReleaseBody(m_reserved);
  CountResponses(0);
}

void CallerSession::CloseWhenIdle() {
  m_close_when_idle = true;
  if (m_phase != Phase::kReading || m_parser.InMessage() || m_stream.HasUnreadBytes()) {
    return;
  }
  const auto left = kFirstRequestTime - (m_clock.Now() - m_accepted_at);
  if (!m_has_had_request && left > 0ms && !IsMutantEnabled("forwarder_closes_new_connections")) {
    m_timer.Start(left);
    return;
  }
  BeginClose();
}

void CallerSession::BeginClose() {
  m_phase = Phase::kClosing;
  m_queued_before = m_stream.QueuedBytes();
  if (m_queued_before > 0) {
    m_stream.ShutDown();
    m_timer.Start(m_limits.idle_timeout);
  } else {
    End();
  }
}

void CallerSession::StartReadTimer() {
  m_timer.Start(m_parser.InMessage() ? m_limits.head_timeout : m_limits.idle_timeout);
}

void CallerSession::OnTimeout() {
  if (m_phase == Phase::kReading && m_parser.InMessage()) {
    Refuse(kRequestTimeout, "request was not completed in time");
    return;
  }
  if (m_is_aborting) {
    CheckDelivery();
    return;
  }
  if (m_phase == Phase::kHandling && !m_waits_for_drain) {
    return;
  }
  // A slow caller may take its time to read a response, but it has to make progress.
  const std::size_t queued = m_stream.QueuedBytes();
  if (queued > 0 && queued < std::exchange(m_queued_before, queued)) {
    CountResponses(m_stream.HeldBytes());
    m_timer.Start(m_limits.idle_timeout);
    return;
  }
  End();
}

void CallerSession::OnData(std::string_view data) {
  if (m_phase == Phase::kClosing) {
    return;
  }
  if (m_phase == Phase::kReading) {
    Parse(data);
    return;
  }
  m_pending.append(data);
  if (m_pending.size() > kMaxPendingBytes) {
    m_reading_paused = true;
    m_stream.StopReading();
  }
}

void CallerSession::Parse(std::string_view data) {
  const bool began = m_parser.InMessage();
  if (!began) {
    m_request.received_at = m_clock.Now();
  }
  data.remove_prefix(m_parser.Feed(data));
  m_pending.assign(data);
  switch (m_parser.state()) {
    case http1::MessageParser::State::kHeadTooLarge:
      Refuse(kHeadTooLarge, "request head exceeds the limit");
      return;
    case http1::MessageParser::State::kMalformed:
      Refuse(m_refusal != 0 ? m_refusal : kBadRequest, m_parser.Error());
      return;
    case http1::MessageParser::State::kMessageComplete:
      if (m_refusal != 0) {
        Refuse(m_refusal, RefusalReason(m_refusal));
        return;
      }
      StartTask();
      return;
    case http1::MessageParser::State::kReading:
      break;
  }
  if (m_refusal != 0) {
    Refuse(m_refusal, RefusalReason(m_refusal));
    return;
  }
  if (!began && m_parser.InMessage()) {
    StartReadTimer();
  }
}

bool CallerSession::OnHead(http1::MessageHead head) {
  m_request.head = std::move(head);
  if (m_request.head.content_length.value_or(0) > m_limits.max_body_bytes) {
    m_refusal = kBodyTooLarge;
    return true;
  }
  if (!m_request.head.http_1_1) {
    // HTTP/1.0 has no chunked encoding, so a complete response can't be told from a truncated one.
    m_refusal = kBadRequest;
  } else if (!m_host.ReserveBody(0)) {
    m_refusal = kUnavailable;
    return true;
  }
  m_request.body.reserve(static_cast<std::size_t>(m_request.head.content_length.value_or(0)));
  // The body must arrive within the idle timeout.
  m_timer.Start(m_limits.idle_timeout);
  if (http::FindHeader(m_request.head.headers, "Expect") == "100-continue") {
    m_stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void CallerSession::OnBody(std::string_view part) {
  if (m_refusal != 0) {
    return;
  }
  if (m_request.body.size() + part.size() > m_limits.max_body_bytes) {
    m_refusal = kBodyTooLarge;
    return;
  }
  if (!m_host.ReserveBody(part.size())) {
    m_refusal = kUnavailable;
    return;
  }
  m_reserved += part.size();
  m_request.body.append(part);
  if (m_request.body.size() - m_counted_progress >= kProgressBytes) {
    m_counted_progress = m_request.body.size();
    m_timer.Start(m_limits.idle_timeout);
  }
}

void CallerSession::StartTask() {
  // After a delay, the caller may have given up already, and the end of its connection is known
  // only after the request has been read.
  if (m_pending.empty() && m_stream.HasEnded()) {
    m_host.OnUnreadRequest(0, "caller has left");
    End();
    return;
  }
  m_phase = Phase::kHandling;
  m_has_had_request = true;
  m_counted_progress = 0;
  m_timer.Cancel();
  m_keep_alive = m_request.head.keep_alive;
  m_is_head_request = m_request.head.method == "HEAD";
  // The task counts what is queued for the caller while it runs.
  CountResponses(0);
  m_task = m_host.MakeTask(std::exchange(m_request, {}), *this);
  m_task->Start();
}

void CallerSession::Refuse(int status, std::string_view reason) {
  m_host.OnUnreadRequest(status, reason);
  m_keep_alive = false;
  m_phase = Phase::kHandling;
  std::vector<http::Header> headers;
  if (status == kUnavailable) {
    headers.push_back({"Retry-After", "0.5"});
  }
  Respond(status, headers, {});
}

std::string CallerSession::HeadText(int status, const std::vector<http::Header>& headers) {
  if (m_host.ClosesConnections() || m_close_when_idle) {
    m_keep_alive = false;
  }
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(StatusText(status)).append("\r\n");
  for (const http::Header& header : headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!m_keep_alive) {
    text.append("Connection: close\r\n");
  }
  return text;
}

void CallerSession::Respond(int status, const std::vector<http::Header>& headers,
                            std::string_view body) {
  std::string text = HeadText(status, headers);
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  if (!m_is_head_request) {
    text.append(body);
  }
  m_stream.Write(text);
  ResponseDone();
}

void CallerSession::BeginStream(int status, const std::vector<http::Header>& headers) {
  m_stream.Write(HeadText(status, headers).append("Transfer-Encoding: chunked\r\n\r\n"));
}

void CallerSession::StreamPart(std::string_view part) {
  if (part.empty() || m_is_head_request) {
    return;
  }
  char size[20];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
  std::string chunk;
  chunk.reserve(static_cast<std::size_t>(length) + part.size() + 2);
  chunk.append(size, static_cast<std::size_t>(length)).append(part).append("\r\n");
  m_stream.Write(chunk);
}

void CallerSession::EndStream() {
  if (!m_is_head_request) {
    m_stream.Write("0\r\n\r\n");
  }
  ResponseDone();
}

void CallerSession::SaveMemory() { m_stream.SetUnsentLimit(kMinUnsentBytes); }

void CallerSession::Abort() {
  m_stream.ResetOnClose();
  m_queued_before = m_stream.QueuedBytes() + m_stream.UnacknowledgedBytes();
  if (m_queued_before == 0 || IsMutantEnabled("forwarder_drops_undelivered_bytes")) {
    End();
    return;
  }
  m_phase = Phase::kClosing;
  m_is_aborting = true;
  m_progress_at = m_clock.Now();
  CountResponses(m_stream.HeldBytes());
  m_timer.Start(kDeliveryPollInterval);
  // Deferred, because the task calls this function.
  m_loop.Post([this, alive = m_alive] {
    if (*alive) {
      ReleaseTask();
    }
  });
}

void CallerSession::CheckDelivery() {
  const std::size_t left = m_stream.QueuedBytes() + m_stream.UnacknowledgedBytes();
  const SteadyTime now = m_clock.Now();
  if (left < std::exchange(m_queued_before, left)) {
    m_progress_at = now;
  }
  const auto max_pause = std::min(kMaxDeliveryPause, m_limits.idle_timeout);
  if (left == 0 || now - m_progress_at >= max_pause) {
    End();
    return;
  }
  CountResponses(m_stream.HeldBytes());
  m_timer.Start(kDeliveryPollInterval);
}

void CallerSession::CountResponses(std::size_t held) {
  if (!IsMutantEnabled("forwarder_ignores_finished_answers")) {
    m_host.ResizeResponses(std::exchange(m_counted_responses, held), held);
  }
}

void CallerSession::ReleaseTask() {
  m_task.reset();
  m_host.ReleaseBody(std::exchange(m_reserved, 0));
}

void CallerSession::ResponseDone() {
  CountResponses(m_stream.HeldBytes());
  // Deferred, because the task that calls this function is destroyed in NextRequest().
  m_loop.Post([this, alive = m_alive] {
    if (*alive && !m_ended) {
      NextRequest();
    }
  });
}

void CallerSession::NextRequest() {
  ReleaseTask();
  m_queued_before = m_stream.QueuedBytes();
  if (!m_keep_alive || m_close_when_idle) {
    m_phase = Phase::kClosing;
    m_stream.ShutDown();
    m_timer.Start(m_queued_before > 0 ? m_limits.idle_timeout : kLingerTime);
    return;
  }
  if (m_queued_before > kMaxQueuedBytes) {
    m_waits_for_drain = true;
    m_timer.Start(m_limits.idle_timeout);
    return;
  }
  m_phase = Phase::kReading;
  m_parser.Restart();
  if (std::exchange(m_reading_paused, false)) {
    m_stream.StartReading();
  }
  StartReadTimer();
  if (!m_pending.empty()) {
    // Moved out so that the buffer is freed: there are many sessions, most of them idle.
    const std::string pending = std::exchange(m_pending, {});
    Parse(pending);
  }
}

void CallerSession::OnDrained() {
  if (m_is_aborting) {
    return;
  }
  if (m_phase != Phase::kHandling || m_waits_for_drain) {
    CountResponses(0);
  }
  if (m_phase == Phase::kClosing && !m_ended) {
    m_timer.Start(kLingerTime);
  } else if (std::exchange(m_waits_for_drain, false)) {
    NextRequest();
  } else if (m_phase == Phase::kHandling && m_task) {
    m_task->OnSinkDrained();
  }
}

void CallerSession::OnEnd() { HandleDisconnect(); }

void CallerSession::OnError(std::string_view /*error*/) { HandleDisconnect(); }

void CallerSession::HandleDisconnect() {
  if (m_phase == Phase::kHandling && m_task && !m_ended && m_task->OnCallerDisconnected()) {
    m_host.KeepDetached(std::move(m_task), std::exchange(m_reserved, 0));
  }
  End();
}

void CallerSession::End() {
  if (!std::exchange(m_ended, true)) {
    m_phase = Phase::kClosing;
    m_stream.StopReading();
    m_timer.Cancel();
    m_host.OnSessionEnd(*this);
  }
}

}  // namespace wagtailwind::forward
