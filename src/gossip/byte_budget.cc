#include "gossip/byte_budget.h"

#include <algorithm>
#include <chrono>

namespace wagtailwind::gossip {

double ByteBudget::Level(SteadyTime now) noexcept {
  if (now > m_refilled_at) {
    const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
    m_level = std::min(m_burst, m_level + m_rate * seconds);
    m_refilled_at = now;
  }
  return m_level;
}

bool ByteBudget::TrySpend(std::size_t bytes, SteadyTime now) noexcept {
  const auto cost = static_cast<double>(bytes);
  if (Level(now) < cost) {
    return false;
  }
  m_level -= cost;
  return true;
}

}  // namespace wagtailwind::gossip
