#include "core/clock.h"

#include <ctime>

namespace wagtailwind {

SteadyTime SystemClock::Now() const noexcept { return std::chrono::steady_clock::now(); }

WallTime SystemClock::WallNow() const noexcept { return std::chrono::system_clock::now(); }

BootTime SystemClock::BootNow() const noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace wagtailwind
