#ifndef WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_
#define WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/random_source.h"

namespace wagtailwind::records {

/// \brief Decides when a process asks the platform for the configuration.
class WatchSchedule {
 public:
  enum class Action : std::uint8_t { kWatch, kRead, kWait };

  /// \brief What to do next; for kWait, for how long at most before asking again.
  struct Step {
    Action action = Action::kWait;
    std::chrono::milliseconds wait{};
  };

  /// \brief A process that is not a watcher reads by itself if its confirmation is older than this.
  static constexpr std::chrono::seconds kStaleAge{30};
  /// \brief Such reads are so far apart on average.
  static constexpr std::chrono::seconds kReadPeriod{60};

  explicit WatchSchedule(RandomSource& random) noexcept : m_random(random) {}

  /// \brief The next step at this time.
  [[nodiscard]] Step Next(SteadyTime now, bool is_watcher,
                          std::optional<std::chrono::milliseconds> confirmation_age);

  /// \brief The platform has answered.
  void Succeeded() noexcept;

  /// \brief The platform has not answered, or has refused the call for its rate.
  void Failed(SteadyTime now);

 private:
  [[nodiscard]] std::chrono::milliseconds Jitter(std::chrono::milliseconds bound);

  RandomSource& m_random;
  std::uint32_t m_failures = 0;
  SteadyTime m_not_before{};
  std::optional<SteadyTime> m_next_read;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_WATCH_SCHEDULE_H_
