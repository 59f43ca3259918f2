#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_CLOCK_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace wagtailwind::testing {

/// \brief A clock that advances only when a test calls Advance() or Suspend().
class FakeClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const noexcept override {
    return SteadyTime(std::chrono::nanoseconds(m_nanoseconds.load()));
  }

  [[nodiscard]] WallTime WallNow() const noexcept override {
    constexpr std::chrono::seconds kEpoch{1'790'000'000};
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        kEpoch + std::chrono::nanoseconds(m_nanoseconds.load())));
  }

  [[nodiscard]] BootTime BootNow() const noexcept override {
    return BootTime(std::chrono::nanoseconds(m_nanoseconds.load() + m_suspended.load()));
  }

  void Advance(std::chrono::nanoseconds by) noexcept { m_nanoseconds += by.count(); }

  /// \brief Advances only the boot clock, as a suspended machine does.
  void Suspend(std::chrono::nanoseconds by) noexcept { m_suspended += by.count(); }

 private:
  // Starts at one hour, so that tests can subtract durations from it without a negative time.
  std::atomic<std::int64_t> m_nanoseconds{std::chrono::nanoseconds(std::chrono::hours(1)).count()};
  std::atomic<std::int64_t> m_suspended{0};
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_CLOCK_H_
