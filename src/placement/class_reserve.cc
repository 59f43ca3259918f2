#include "placement/class_reserve.h"

#include <algorithm>
#include <chrono>

namespace wagtailwind::placement {

namespace {

// A refused request that has not come back after this time has gone elsewhere; no room is kept
// for it any longer.
constexpr std::chrono::seconds kRefusalMemory{10};

}  // namespace

void ClassReserve::AdmittedOther(std::uint64_t cost, double bound) noexcept {
  // Credit of more than one bound would let the lowest class crowd out the others later.
  m_credit = std::min(m_credit + m_part * static_cast<double>(cost),
                      std::max(bound, static_cast<double>(m_refused_cost)));
}

void ClassReserve::AdmittedLowest(std::uint64_t cost) noexcept {
  m_credit = std::max(0.0, m_credit - static_cast<double>(cost));
  m_refused_cost = 0;
}

void ClassReserve::RefusedLowest(std::uint64_t cost, SteadyTime now) noexcept {
  m_refused_cost = cost;
  m_refused_at = now;
}

double ClassReserve::HeldFromOthers(double bound, std::uint64_t lowest_load,
                                    SteadyTime now) const noexcept {
  const double unused = std::max(0.0, m_part * bound - static_cast<double>(lowest_load));
  const auto refused = static_cast<double>(m_refused_cost);
  const bool due = m_refused_cost > 0 && m_credit >= refused && now - m_refused_at < kRefusalMemory;
  return due ? std::max(unused, refused) : unused;
}

bool ClassReserve::IsDue(std::uint64_t cost, double bound,
                         std::uint64_t lowest_load) const noexcept {
  return static_cast<double>(lowest_load + cost) <= m_part * bound ||
         m_credit >= static_cast<double>(cost);
}

}  // namespace wagtailwind::placement
