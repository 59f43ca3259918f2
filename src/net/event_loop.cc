#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::net {

namespace {

void Check(int result, const char* call) {
  if (result < 0) {
    throw SocketFailed(std::string(call) + ": " + uv_strerror(result));
  }
}

}  // namespace

EventLoop::EventLoop() { Check(uv_loop_init(&m_loop), "uv_loop_init"); }

EventLoop::~EventLoop() {
  // Handles close asynchronously; their memory is freed in the callbacks.
  uv_run(&m_loop, UV_RUN_NOWAIT);
  uv_loop_close(&m_loop);
}

void EventLoop::Run() { uv_run(&m_loop, UV_RUN_DEFAULT); }

void EventLoop::Stop() noexcept { uv_stop(&m_loop); }

void EventLoop::RunFor(std::chrono::milliseconds time) {
  Timer end(*this, [this] { Stop(); });
  end.Start(time);
  Run();
}

void EventLoop::Post(std::function<void()> function) {
  struct Posted {
    uv_timer_t timer{};
    std::function<void()> function;
  };
  auto* posted = new Posted{.function = std::move(function)};
  uv_timer_init(&m_loop, &posted->timer);
  posted->timer.data = posted;
  uv_timer_start(
      &posted->timer,
      [](uv_timer_t* timer) {
        static_cast<Posted*>(timer->data)->function();
        uv_close(reinterpret_cast<uv_handle_t*>(timer),
                 [](uv_handle_t* handle) { delete static_cast<Posted*>(handle->data); });
      },
      0, 0);
}

Timer::Timer(EventLoop& loop, std::function<void()> function)
    : m_handle(new Handle{.function = std::move(function)}) {
  uv_timer_init(loop.Get(), &m_handle->timer);
  m_handle->timer.data = m_handle;
}

Timer::~Timer() {
  uv_timer_stop(&m_handle->timer);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->timer),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::Start(std::chrono::nanoseconds delay) {
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(delay, std::chrono::nanoseconds::zero()));
  // The loop's time is that of its last wake-up, which may be long ago in a busy callback.
  uv_update_time(m_handle->timer.loop);
  uv_timer_start(
      &m_handle->timer, [](uv_timer_t* timer) { static_cast<Handle*>(timer->data)->function(); },
      static_cast<std::uint64_t>(whole.count()), 0);
}

void Timer::StartPeriodic(std::chrono::milliseconds interval) {
  const auto milliseconds = static_cast<std::uint64_t>(interval.count());
  uv_timer_start(
      &m_handle->timer, [](uv_timer_t* timer) { static_cast<Handle*>(timer->data)->function(); },
      milliseconds, milliseconds);
}

void Timer::Cancel() noexcept { uv_timer_stop(&m_handle->timer); }

SignalWatcher::SignalWatcher(EventLoop& loop, int signal, std::function<void()> function)
    : m_handle(new Handle{.function = std::move(function)}) {
  uv_signal_init(loop.Get(), &m_handle->signal);
  m_handle->signal.data = m_handle;
  Check(
      uv_signal_start(
          &m_handle->signal,
          [](uv_signal_t* handle, int) { static_cast<Handle*>(handle->data)->function(); }, signal),
      "uv_signal_start");
}

SignalWatcher::~SignalWatcher() {
  uv_signal_stop(&m_handle->signal);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->signal),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

}  // namespace wagtailwind::net
