#ifndef WAGTAILWIND_BALANCING_EVENT_PACE_H_
#define WAGTAILWIND_BALANCING_EVENT_PACE_H_

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::balancing {

/// \brief Decaying mean of the time between events on the streams of an endpoint, over the last
/// seconds.
class EventPace {
 public:
  /// \brief Records the time between an event and the previous one of the same stream.
  void OnGap(std::chrono::nanoseconds gap, SteadyTime now) noexcept;

  /// \brief Returns the mean gap; empty while there are too few recent gaps.
  [[nodiscard]] std::optional<std::chrono::duration<double>> Mean(SteadyTime now) const noexcept;

 private:
  [[nodiscard]] double Decay(SteadyTime now) const noexcept;

  /// Exponentially decaying sums.
  double m_seconds = 0;
  double m_gaps = 0;
  SteadyTime m_updated{};
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_EVENT_PACE_H_
