#include "core/periodic_thread.h"

#include <utility>

#include "absl/time/time.h"

namespace wagtailwind {

PeriodicThread::PeriodicThread(std::chrono::milliseconds interval, std::function<void()> function)
    : m_thread([this, interval, run = std::move(function)] {
        do {
          run();
        } while (!m_stop.WaitForNotificationWithTimeout(absl::FromChrono(interval)));
      }) {}

PeriodicThread::~PeriodicThread() {
  m_stop.Notify();
  m_thread.join();
}

}  // namespace wagtailwind
