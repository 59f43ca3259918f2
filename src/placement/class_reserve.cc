#include "placement/class_reserve.h"

#include <algorithm>
#include <chrono>

namespace wagtailwind::placement {

namespace {

// A refused request that was not retried within this time is assumed to run elsewhere, and no work
// is reserved for it any longer.
constexpr std::chrono::seconds kMaxRefusalAge{10};

}  // namespace

void ClassReserve::OnOtherAdmitted(std::uint64_t cost, double bound) noexcept {
  // Credit above one bound would let the lowest class crowd out the others later. A refused request
  // larger than the bound may still collect its full cost.
  m_credit = std::min(m_credit + m_fraction * static_cast<double>(cost),
                      std::max(bound, static_cast<double>(m_refused_cost)));
}

void ClassReserve::OnLowestAdmitted(std::uint64_t cost) noexcept {
  m_credit = std::max(0.0, m_credit - static_cast<double>(cost));
  m_refused_cost = 0;
}

void ClassReserve::OnLowestRefused(std::uint64_t cost, SteadyTime now) noexcept {
  m_refused_cost = cost;
  m_refused_at = now;
}

double ClassReserve::ReservedWork(double bound, std::uint64_t lowest_load,
                                  SteadyTime now) const noexcept {
  const double unused = std::max(0.0, m_fraction * bound - static_cast<double>(lowest_load));
  const auto refused = static_cast<double>(m_refused_cost);
  const bool has_credit_for_refused =
      m_refused_cost > 0 && m_credit >= refused && now - m_refused_at < kMaxRefusalAge;
  return has_credit_for_refused ? std::max(unused, refused) : unused;
}

bool ClassReserve::MayUseWholeBound(std::uint64_t cost, double bound,
                                    std::uint64_t lowest_load) const noexcept {
  return static_cast<double>(lowest_load + cost) <= m_fraction * bound ||
         m_credit >= static_cast<double>(cost);
}

}  // namespace wagtailwind::placement
