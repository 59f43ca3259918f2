#include "forward/session_table.h"

#include <utility>
#include <vector>

#include "forward/log_events.h"

namespace wagtailwind::forward {

void SessionTable::Accept(SessionHost& host, uv_stream_t* listener) {
  try {
    auto session = std::make_unique<CallerSession>(m_loop, m_clock, host, listener);
    CallerSession* key = session.get();
    m_sessions.emplace(key, std::move(session));
  } catch (const net::SocketFailed& error) {
    Log(kAcceptFailed, {{"error", error.what()}});
  }
}

void SessionTable::Remove(CallerSession& session) {
  m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive), key = &session] {
    if (!alive.expired()) {
      m_sessions.erase(key);
    }
  });
}

void SessionTable::CloseIdle() {
  std::vector<CallerSession*> sessions;
  sessions.reserve(m_sessions.size());
  for (const auto& [key, session] : m_sessions) {
    sessions.push_back(key);
  }
  for (CallerSession* session : sessions) {
    session->CloseWhenIdle();
  }
}

}  // namespace wagtailwind::forward
