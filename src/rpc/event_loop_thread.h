#ifndef WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_
#define WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <thread>

namespace wagtailwind::rpc {

/// \brief A thread that runs a kj event loop. All RPC objects of a process live on it.
class EventLoopThread {
 public:
  EventLoopThread();

  /// \brief Runs what was posted before, then ends the loop and joins the thread.
  ~EventLoopThread();

  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// \brief Runs a function on the loop. Returns at once; order of one caller's functions is kept.
  void Post(std::function<void()> function);

  /// \brief Runs a function on the loop and waits for it. Not to be called on the loop.
  void Run(const std::function<void()>& function);

  /// \brief The loop's network; use only on the loop.
  [[nodiscard]] kj::AsyncIoProvider& Io() noexcept;

  /// \brief The loop's timer; use only on the loop.
  [[nodiscard]] kj::Timer& Timer() noexcept;

 private:
  struct State;
  std::unique_ptr<State> m_state;
  std::thread m_thread;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_
