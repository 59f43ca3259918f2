#include "net/event_loop.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::net {

namespace {

// A timer that fires later than this shows that the process was held up.
constexpr std::uint64_t kHeldUpMs = 50;

void ThrowOnError(int result, const char* call) {
  if (result < 0) {
    throw SocketFailed(std::string(call) + ": " + uv_strerror(result));
  }
}

}  // namespace

EventLoop::EventLoop() { ThrowOnError(uv_loop_init(&m_loop), "uv_loop_init"); }

EventLoop::~EventLoop() {
  // Handles are closed asynchronously, and their memory is freed in the close callbacks.
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
  struct PostedTask {
    uv_timer_t timer{};
    std::function<void()> function;
  };
  auto* task = new PostedTask{.function = std::move(function)};
  uv_timer_init(&m_loop, &task->timer);
  task->timer.data = task;
  uv_timer_start(
      &task->timer,
      [](uv_timer_t* timer) {
        static_cast<PostedTask*>(timer->data)->function();
        uv_close(reinterpret_cast<uv_handle_t*>(timer),
                 [](uv_handle_t* handle) { delete static_cast<PostedTask*>(handle->data); });
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
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(delay, std::chrono::nanoseconds::zero()));
  // The loop caches the time of its last wake-up, which is out of date in a long callback.
  uv_update_time(m_handle->timer.loop);
  const auto milliseconds = static_cast<std::uint64_t>(rounded_up.count());
  m_handle->due = uv_now(m_handle->timer.loop) + milliseconds;
  uv_timer_start(&m_handle->timer, &Timer::OnExpired, milliseconds, 0);
}

// The loop runs expired timers before it reads its sockets. After a pause of the process, a
// time-out would otherwise discard an answer that has already arrived.
void Timer::OnExpired(uv_timer_t* timer) {
  auto* handle = static_cast<Handle*>(timer->data);
  const std::uint64_t now = uv_now(timer->loop);
  if (now > handle->due + kHeldUpMs && !IsMutantEnabled("timers_run_before_events")) {
    handle->due = now;
    uv_timer_start(timer, &Timer::OnExpired, 1, 0);
    return;
  }
  handle->function();
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
  ThrowOnError(
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
