#ifndef WAGTAILWIND_CORE_PERIODIC_THREAD_H_
#define WAGTAILWIND_CORE_PERIODIC_THREAD_H_

#include <chrono>
#include <functional>
#include <thread>

#include "absl/synchronization/notification.h"

namespace wagtailwind {

/// \brief Thread that calls a function immediately and then repeatedly, waiting for the interval
/// between two calls.
class PeriodicThread {
 public:
  PeriodicThread(std::chrono::milliseconds interval, std::function<void()> function);

  /// \brief Stops the thread after a call in progress has returned.
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

 private:
  absl::Notification m_stop;
  std::thread m_thread;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_PERIODIC_THREAD_H_
