#include "http1/client_connection.h"

#include <utility>

#include "core/mutant.h"

namespace wagtailwind::http1 {

namespace {

// Limits the memory used for a malformed response. Endpoints send far smaller heads.
constexpr std::size_t kMaxResponseHeadBytes = 64U << 10U;

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

// Limits on what may precede the response to a call: interim responses, and late copies of earlier
// responses.
constexpr int kMaxSkippedResponses = 16;
constexpr std::size_t kMaxSkippedBytes = 512U << 10U;

}  // namespace

std::string_view ToText(ConnectionEnd end) noexcept {
  switch (end) {
    case ConnectionEnd::kNotConnected:
      return "not_connected";
    case ConnectionEnd::kClosed:
      return "closed";
    case ConnectionEnd::kReset:
      return "reset";
    case ConnectionEnd::kMalformed:
      return "malformed";
  }
  return "unknown";
}

ClientConnection::ClientConnection(net::EventLoop& loop, const std::string& address,
                                   std::chrono::milliseconds connect_timeout)
    : m_stream(loop, *this),
      m_connect_timer(std::make_unique<net::Timer>(
          loop, [this] { End(ConnectionEnd::kNotConnected, "connect timed out"); })),
      m_parser(MessageParser::Kind::kResponse, *this, kMaxResponseHeadBytes) {
  m_connect_timer->Start(connect_timeout);
  m_stream.Connect(address);
}

void ClientConnection::Send(std::string request, bool is_head, ResponseObserver& observer) {
  m_observer = &observer;
  m_is_head = is_head;
  m_in_call = true;
  m_skipping_response = false;
  m_skipped_responses = 0;
  m_skipped_bytes = 0;
  m_parser.Restart();
  if (!m_connected) {
    m_pending_request = std::move(request);
    return;
  }
  m_observer->OnSending();
  m_stream.Write(request);
  m_observer->OnWriteProgress();
}

void ClientConnection::OnConnected() {
  m_connected = true;
  m_connect_timer.reset();
  m_stream.SetUnsentLimit(net::TcpStream::kRouterUnsentLimit);
  m_stream.StartReading();
  if (m_in_call) {
    if (!m_observer->UpdateRequest(m_pending_request)) {
      End(ConnectionEnd::kNotConnected, "not sent in time");
      return;
    }
    m_observer->OnSending();
    m_stream.Write(m_pending_request);
    std::string().swap(m_pending_request);
    m_observer->OnWriteProgress();
  }
}

void ClientConnection::OnDrained() {
  if (m_in_call && m_observer != nullptr) {
    m_observer->OnWriteProgress();
  }
}

void ClientConnection::OnData(std::string_view data) {
  if (!m_in_call) {
    End(ConnectionEnd::kMalformed, "received bytes on an idle connection");
    return;
  }
  while (!data.empty()) {
    data.remove_prefix(m_parser.Feed(data));
    if (const std::string_view violation = Violation(); !violation.empty()) {
      End(ConnectionEnd::kMalformed, violation);
      return;
    }
    if (m_parser.state() == MessageParser::State::kReading) {
      return;
    }
    if (m_parser.state() != MessageParser::State::kMessageComplete) {
      End(ConnectionEnd::kMalformed, m_parser.Error());
      return;
    }
    if (!m_skipping_response) {
      FinishCall(data);
      return;
    }
    if (!m_keep_alive) {
      End(ConnectionEnd::kMalformed, "a response to another call ended the connection");
      return;
    }
    m_skipping_response = false;
    m_parser.Restart();
  }
}

void ClientConnection::OnEnd() {
  if (m_in_call) {
    m_parser.FeedEnd();
    if (m_parser.state() == MessageParser::State::kMessageComplete && !m_skipping_response) {
      m_keep_alive = false;
      FinishCall({});
      return;
    }
  }
  End(ConnectionEnd::kClosed, "closed by the peer");
}

void ClientConnection::OnError(std::string_view error) {
  End(m_connected ? ConnectionEnd::kReset : ConnectionEnd::kNotConnected, error);
}

bool ClientConnection::OnHead(MessageHead head) {
  m_keep_alive = head.keep_alive;
  if (head.status < kFirstStatus || head.status > kLastStatus) {
    m_has_invalid_status = true;
    return false;
  }
  if (head.status < kFirstFinalStatus && !IsMutantEnabled("interim_response_is_final")) {
    // An interim response, which is followed by the final one.
    m_switched_protocol = head.status == kSwitchingProtocols;
    m_skipping_response = true;
    m_keep_alive = true;
    ++m_skipped_responses;
    return false;
  }
  m_skipping_response = !m_observer->OnResponseHead(std::move(head));
  m_skipped_responses += m_skipping_response ? 1 : 0;
  return !m_is_head;
}

std::string_view ClientConnection::Violation() const noexcept {
  if (m_has_invalid_status) {
    return "response with an invalid status";
  }
  if (m_switched_protocol) {
    return "switched to another protocol without being asked";
  }
  return m_skipped_responses > kMaxSkippedResponses || m_skipped_bytes > kMaxSkippedBytes
             ? "too many bytes before the response"
             : "";
}

void ClientConnection::OnBody(std::string_view part) {
  if (m_skipping_response) {
    m_skipped_bytes += part.size();
  } else {
    m_observer->OnResponseBody(part);
  }
}

void ClientConnection::FinishCall(std::string_view rest) {
  m_in_call = false;
  // Bytes after the response belong to no call, so the connection must not be reused.
  const bool reusable = m_keep_alive && rest.empty() && m_stream.QueuedBytes() == 0;
  ResponseObserver* observer = std::exchange(m_observer, nullptr);
  observer->OnResponseEnd(reusable);
}

void ClientConnection::End(ConnectionEnd end, std::string_view detail) {
  m_in_call = false;
  m_connect_timer.reset();
  ResponseObserver* observer = std::exchange(m_observer, nullptr);
  if (observer != nullptr) {
    const std::string text(detail);
    observer->OnConnectionEnd(end, text);
  }
}

}  // namespace wagtailwind::http1
