#ifndef WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_
#define WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/random_source.h"

namespace wagtailwind::records {

/// \brief Schedules a process's watches and reads of the configuration at the platform.
class WatchSchedule {
 public:
  enum class Action : std::uint8_t { kWatch, kRead, kWait };

  /// \brief Next action. For kWait, `wait` is the time after which to call Next() again.
  struct Step {
    Action action = Action::kWait;
    std::chrono::milliseconds wait{};
  };

  /// \brief Age of the confirmation above which a process that is not a watcher reads the
  /// configuration itself.
  static constexpr std::chrono::seconds kMaxConfirmationAge{30};
  /// \brief Mean time between such reads.
  static constexpr std::chrono::seconds kReadPeriod{60};

  explicit WatchSchedule(RandomSource& random) noexcept : m_random(random) {}

  /// \brief Returns the next step at this time.
  [[nodiscard]] Step Next(SteadyTime now, bool is_watcher,
                          std::optional<std::chrono::milliseconds> confirmation_age);

  /// \brief Records that the platform responded; resets the backoff.
  void OnSuccess() noexcept;

  /// \brief Records that a call failed or was rate-limited; starts the next backoff.
  void OnFailure(SteadyTime now);

 private:
  /// A random duration from 1 ms to `bound`.
  [[nodiscard]] std::chrono::milliseconds Jitter(std::chrono::milliseconds bound);

  RandomSource& m_random;
  std::uint32_t m_failures = 0;
  /// End of the backoff.
  SteadyTime m_backoff_end{};
  std::optional<SteadyTime> m_next_read;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_
