#ifndef WAGTAILWIND_FORWARD_EVENT_PACE_H_
#define WAGTAILWIND_FORWARD_EVENT_PACE_H_

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::forward {

/// \brief Mean time between the events of an endpoint's streams, over the last seconds.
class EventPace {
 public:
  /// \brief An event came this long after the one before it in its stream.
  void OnGap(std::chrono::nanoseconds gap, SteadyTime now) noexcept;

  /// \brief The mean gap; empty while there are too few recent ones.
  [[nodiscard]] std::optional<std::chrono::duration<double>> Mean(SteadyTime now) const noexcept;

 private:
  [[nodiscard]] double Decay(SteadyTime now) const noexcept;

  /// Decaying sums.
  double m_seconds = 0;
  double m_gaps = 0;
  SteadyTime m_updated{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_EVENT_PACE_H_
