#include "soak/soak_caller.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kConnectTimeout = 1'000ms;

// Longer than the timeout of any route, so that a router that doesn't answer in time is detected.
constexpr std::chrono::milliseconds kCallerTimeout = 12'000ms;

constexpr std::uint64_t kDisconnectOneIn = 8;
constexpr std::uint64_t kMaxPauseMs = 60;

}  // namespace

SoakCaller::SoakCaller(net::EventLoop& loop, RandomSource& random, const forward::WireNames& names,
                       Workload& workload, Ledger& ledger)
    : m_loop(loop),
      m_random(random),
      m_names(names),
      m_workload(workload),
      m_ledger(ledger),
      m_next_timer(loop, [this] { SendNext(); }),
      m_disconnect_timer(loop, [this] {
        m_request->disconnected = true;
        DropConnection();
        Finish();
      }) {
  ScheduleNext();
}

void SoakCaller::ScheduleNext() {
  m_next_timer.Start(std::chrono::milliseconds(1 + m_random.NextBelow(kMaxPauseMs)));
}

void SoakCaller::DropConnection() { m_connection.reset(); }

void SoakCaller::SendNext() {
  if (!m_connection) {
    const auto router = m_workload.PickRouter();
    if (!router) {
      ScheduleNext();
      return;
    }
    m_router = router->first;
    m_connection =
        std::make_unique<http1::ClientConnection>(m_loop, router->second, kConnectTimeout);
  }
  SoakRequest request = m_workload.NextRequest();
  request.router = m_router;
  request.sent = m_clock.Now();
  const bool is_stream = request.kind == forward::RequestKind::kStream;
  const std::string text =
      (request.kind == forward::RequestKind::kNonIdempotent ? "POST " : "GET ") + request.prefix +
      "x?size=" + std::to_string(request.size) + "&pause=" + (is_stream ? "60" : "20") +
      " HTTP/1.1\r\nHost: soak.example\r\n" + m_names.attempt_id + ": " + request.attempt + "\r\n" +
      m_names.api_key + ": " + request.api_key + "\r\n" + m_names.deadline + ": " +
      std::to_string(request.timeout.count()) + "\r\nContent-Length: 0\r\n\r\n";
  m_request = &m_ledger.Begin(std::move(request));
  m_disconnect_timer.Start(is_stream && m_random.NextBelow(kDisconnectOneIn) == 0
                               ? std::chrono::milliseconds(1 + m_random.NextBelow(1'000))
                               : kCallerTimeout);
  m_connection->Send(text, false, *this);
}

bool SoakCaller::OnResponseHead(http1::MessageHead head) {
  m_request->status = head.status;
  m_request->is_signed = !http::FindHeader(head.headers, m_names.signature).empty();
  return true;
}

void SoakCaller::OnResponseBody(std::string_view part) { m_request->body.append(part); }

void SoakCaller::OnResponseEnd(bool reusable) {
  m_request->complete = true;
  if (reusable) {
    m_connection->SetObserver(this);
  } else {
    DropConnection();
  }
  Finish();
}

void SoakCaller::OnConnectionEnd(http1::ConnectionEnd /*end*/, std::string_view /*detail*/) {
  DropConnection();
  if (m_request != nullptr) {
    Finish();
  }
}

void SoakCaller::Finish() {
  m_request->ended = m_clock.Now();
  m_request = nullptr;
  m_disconnect_timer.Cancel();
  ScheduleNext();
}

}  // namespace wagtailwind::soak
