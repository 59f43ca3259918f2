#ifndef WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_
#define WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <thread>

namespace wagtailwind::rpc {

/// \brief Thread with a kj event loop. All RPC objects of a process are used on this thread.
class EventLoopThread {
 public:
  EventLoopThread();

  /// \brief Runs the functions that were already posted, then stops the loop and joins the thread.
  ~EventLoopThread();

  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// \brief Runs a function on the loop without waiting for it. Functions of one caller run in the
  /// order of posting.
  void Post(std::function<void()> function);

  /// \brief Runs a function on the loop and waits for it. Must not be called on the loop.
  void Run(const std::function<void()>& function);

  /// \brief Returns the loop's network; use only on the loop.
  [[nodiscard]] kj::AsyncIoProvider& Io() noexcept;

  /// \brief Returns the loop's timer; use only on the loop.
  [[nodiscard]] kj::Timer& Timer() noexcept;

 private:
  struct State;
  std::unique_ptr<State> m_state;
  std::thread m_thread;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_EVENT_LOOP_THREAD_H_
