#ifndef WAGTAILWIND_NET_EVENT_LOOP_H_
#define WAGTAILWIND_NET_EVENT_LOOP_H_

#include <uv.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"

namespace wagtailwind::net {

namespace detail {
struct SocketFailedTag {
  static constexpr const char* kName = "socket_failed";
};
}  // namespace detail

/// \brief A socket could not be created, bound or opened.
using SocketFailed = wagtailwind::detail::NamedError<detail::SocketFailedTag>;

/// \brief A single-threaded event loop. All objects of this module must be used on the thread that
/// runs the loop, and destroyed before it.
class EventLoop {
 public:
  EventLoop();

  /// \brief Runs the pending close callbacks.
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Handles events until Stop() is called.
  void Run();
  void Stop() noexcept;

  /// \brief Handles events for at most `time`; for tests.
  void RunFor(std::chrono::milliseconds time);

  /// \brief Runs a function after the current callback has returned, so that it doesn't re-enter
  /// the object that posts it.
  void Post(std::function<void()> function);

  [[nodiscard]] uv_loop_t* Get() noexcept { return &m_loop; }

 private:
  uv_loop_t m_loop{};
};

/// \brief Calls a function once after a delay, or periodically. If the process was held up beyond
/// the end of the delay, events that arrived meanwhile are handled first, and may cancel the timer.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> function);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// \brief Starts or restarts the timer for one call; a negative delay counts as zero.
  void Start(std::chrono::nanoseconds delay);
  void StartPeriodic(std::chrono::milliseconds interval);
  void Cancel() noexcept;

 private:
  struct Handle {
    uv_timer_t timer{};
    std::function<void()> function;
    /// Loop time at which a one-shot timer is due, in milliseconds.
    std::uint64_t due = 0;
  };
  static void OnExpired(uv_timer_t* timer);

  Handle* m_handle;
};

/// \brief Calls a function each time a signal arrives.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop, int signal, std::function<void()> function);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct Handle {
    uv_signal_t signal{};
    std::function<void()> function;
  };
  Handle* m_handle;
};

}  // namespace wagtailwind::net

#endif  // WAGTAILWIND_NET_EVENT_LOOP_H_
