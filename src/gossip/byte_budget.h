#ifndef WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_
#define WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_

#include <cstddef>

#include "core/clock.h"

namespace wagtailwind::gossip {

/// \brief Token bucket that bounds the bytes sent. For one thread.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst_bytes) noexcept
      : m_rate(bytes_per_second), m_burst(burst_bytes), m_level(burst_bytes) {}

  /// \brief Takes the bytes of a datagram; false if it must not be sent.
  [[nodiscard]] bool TrySpend(std::size_t bytes, SteadyTime now) noexcept;

  /// \brief Bytes that may be sent now.
  [[nodiscard]] double Level(SteadyTime now) noexcept;

 private:
  double m_rate;
  double m_burst;
  double m_level;
  SteadyTime m_refilled_at{};
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_BYTE_BUDGET_H_
