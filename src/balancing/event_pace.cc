#include "balancing/event_pace.h"

#include <cmath>

namespace wagtailwind::balancing {

namespace {

// Time constant of the mean: longer than an engine takes to process a single prompt between events,
// short compared to a slow phase.
constexpr std::chrono::duration<double> kTimeConstant{2.0};

// Minimum decayed number of gaps for a meaningful mean.
constexpr double kMinGaps = 8.0;

}  // namespace

double EventPace::Decay(SteadyTime now) const noexcept {
  const std::chrono::duration<double> age = now - m_updated;
  return std::exp(-age / kTimeConstant);
}

void EventPace::OnGap(std::chrono::nanoseconds gap, SteadyTime now) noexcept {
  const double factor = Decay(now);
  m_seconds = m_seconds * factor + std::chrono::duration<double>(gap).count();
  m_gaps = m_gaps * factor + 1;
  m_updated = now;
}

std::optional<std::chrono::duration<double>> EventPace::Mean(SteadyTime now) const noexcept {
  if (m_gaps * Decay(now) < kMinGaps) {
    return std::nullopt;
  }
  return std::chrono::duration<double>(m_seconds / m_gaps);
}

}  // namespace wagtailwind::balancing
