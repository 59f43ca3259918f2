#include "soak/soak_caller.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kConnectTimeout = 1'000ms;

// Callers wait longer than any route, so that a router that holds an answer back is seen.
constexpr std::chrono::milliseconds kPatience = 12'000ms;

constexpr std::uint64_t kLeaveOneIn = 8;
constexpr std::uint64_t kMaxPauseMs = 60;

}  // namespace

SoakCaller::SoakCaller(net::EventLoop& loop, RandomSource& random, const forward::WireNames& names,
                       CallerWorld& world, Ledger& ledger)
    : m_loop(loop),
      m_random(random),
      m_names(names),
      m_world(world),
      m_ledger(ledger),
      m_next(loop, [this] { Next(); }),
      m_leave(loop, [this] {
        m_request->left = true;
        DropConnection();
        Finish();
      }) {
  PauseThenNext();
}

void SoakCaller::PauseThenNext() {
  m_next.Start(std::chrono::milliseconds(1 + m_random.NextBelow(kMaxPauseMs)));
}

void SoakCaller::DropConnection() { m_connection.reset(); }

void SoakCaller::Next() {
  if (!m_connection) {
    const auto router = m_world.PickRouter();
    if (!router) {
      PauseThenNext();
      return;
    }
    m_router = router->first;
    m_connection =
        std::make_unique<http1::ClientConnection>(m_loop, router->second, kConnectTimeout);
  }
  SoakRequest request = m_world.NextRequest();
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
  m_leave.Start(is_stream && m_random.NextBelow(kLeaveOneIn) == 0
                    ? std::chrono::milliseconds(1 + m_random.NextBelow(1'000))
                    : kPatience);
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
    m_connection->SetIdleObserver(this);
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
  m_request->done = m_clock.Now();
  m_request = nullptr;
  m_leave.Cancel();
  PauseThenNext();
}

}  // namespace wagtailwind::soak
