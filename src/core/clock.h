#ifndef WAGTAILWIND_CORE_CLOCK_H_
#define WAGTAILWIND_CORE_CLOCK_H_

#include <chrono>

namespace wagtailwind {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// \brief Monotonic clock with an arbitrary epoch that also advances while the machine is
/// suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
};
using BootTime = BootClock::time_point;

/// \brief Source of time. Code that decides by time takes a clock as a parameter, so that tests can
/// control it.
class Clock {
 public:
  virtual ~Clock() = default;

  /// \brief Monotonic time, for intervals and deadlines.
  [[nodiscard]] virtual SteadyTime Now() const noexcept = 0;

  /// \brief Wall-clock time, for values that leave the process.
  [[nodiscard]] virtual WallTime WallNow() const noexcept = 0;

  /// \brief Monotonic time that includes suspension, for how long confirmed data stays valid.
  [[nodiscard]] virtual BootTime BootNow() const noexcept = 0;
};

/// \brief Clock that reads the operating system's clocks.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const noexcept override;
  [[nodiscard]] WallTime WallNow() const noexcept override;
  [[nodiscard]] BootTime BootNow() const noexcept override;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_CLOCK_H_
