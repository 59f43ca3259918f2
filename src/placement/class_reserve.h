#ifndef WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_
#define WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_

#include <cstdint>

#include "core/clock.h"

namespace wagtailwind::placement {

/// \brief Room that the other classes leave to the lowest one. A part of the bound can be smaller
/// than one request; the lowest class therefore earns credit by what the others are given, and
/// while it has credit for a request that was refused, room for that request is kept. Not safe
/// to use from several threads.
class ClassReserve {
 public:
  explicit ClassReserve(double part) noexcept : m_part(part) {}

  void AdmittedOther(std::uint64_t cost, double bound) noexcept;
  void AdmittedLowest(std::uint64_t cost) noexcept;
  void RefusedLowest(std::uint64_t cost, SteadyTime now) noexcept;

  /// \brief Work tokens of a bound that other classes have to leave free.
  [[nodiscard]] double HeldFromOthers(double bound, std::uint64_t lowest_load,
                                      SteadyTime now) const noexcept;

  /// \brief Whether the lowest class may use the whole bound for a request.
  [[nodiscard]] bool IsDue(std::uint64_t cost, double bound,
                           std::uint64_t lowest_load) const noexcept;

 private:
  double m_part;
  double m_credit = 0;
  std::uint64_t m_refused_cost = 0;
  SteadyTime m_refused_at{};
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_
