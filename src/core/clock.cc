#include "core/clock.h"

namespace wagtailwind {

SteadyTime SystemClock::Now() const noexcept { return std::chrono::steady_clock::now(); }

WallTime SystemClock::WallNow() const noexcept { return std::chrono::system_clock::now(); }

}  // namespace wagtailwind
