#ifndef WAGTAILWIND_CORE_PERIODIC_THREAD_H_
#define WAGTAILWIND_CORE_PERIODIC_THREAD_H_

#include <chrono>
#include <functional>
#include <thread>

#include "absl/synchronization/notification.h"

namespace wagtailwind {

/// \brief A thread that runs a function at an interval, the first time at once.
class PeriodicThread {
 public:
  PeriodicThread(std::chrono::milliseconds interval, std::function<void()> function);

  /// \brief Waits for a run that is in progress, and ends the thread.
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

 private:
  absl::Notification m_stop;
  std::thread m_thread;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_PERIODIC_THREAD_H_
