#ifndef WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_
#define WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_

#include <cstddef>

#include "core/clock.h"

namespace wagtailwind::gossip {

/// \brief Token bucket that limits the number of bytes sent. Not thread-safe.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst_bytes) noexcept
      : m_rate(bytes_per_second), m_burst(burst_bytes), m_level(burst_bytes) {}

  /// \brief Deducts the size of a datagram; returns false, and deducts nothing, if the budget is
  /// too small to send it.
  [[nodiscard]] bool TrySpend(std::size_t bytes, SteadyTime now) noexcept;

  /// \brief Returns the number of bytes that may be sent now.
  [[nodiscard]] double Level(SteadyTime now) noexcept;

 private:
  double m_rate;
  double m_burst;
  double m_level;
  SteadyTime m_refilled_at{};
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_
