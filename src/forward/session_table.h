#ifndef WAGTAILWIND_FORWARD_SESSION_TABLE_H_
#define WAGTAILWIND_FORWARD_SESSION_TABLE_H_

#include <memory>
#include <unordered_map>

#include "core/clock.h"
#include "forward/caller_session.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief The sessions of one listener.
class SessionTable {
 public:
  SessionTable(net::EventLoop& loop, const Clock& clock) : m_loop(loop), m_clock(clock) {}

  /// \brief Accepts a connection. Logs the error if the connection has already been closed.
  void Accept(SessionHost& host, uv_stream_t* listener);

  /// \brief Destroys a session after the current event.
  void Remove(CallerSession& session);

  /// \brief Ends idle sessions now, and the others after their next response.
  void CloseIdle();

  [[nodiscard]] std::size_t Size() const noexcept { return m_sessions.size(); }

 private:
  net::EventLoop& m_loop;
  const Clock& m_clock;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unordered_map<CallerSession*, std::unique_ptr<CallerSession>> m_sessions;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_SESSION_TABLE_H_
