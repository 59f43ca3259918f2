#ifndef WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_
#define WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_

#include <cstdint>

#include "core/clock.h"

namespace wagtailwind::placement {

/// \brief Reserves a fraction of the bound for the lowest priority class. That fraction can be
/// smaller than one request; the lowest class therefore earns credit in proportion to the work that
/// is admitted for the other classes. Once the credit covers a refused request of the lowest class,
/// the cost of that request is reserved. Not thread-safe.
class ClassReserve {
 public:
  explicit ClassReserve(double fraction) noexcept : m_fraction(fraction) {}

  /// \brief Adds credit for work that was admitted for another class.
  void OnOtherAdmitted(std::uint64_t cost, double bound) noexcept;

  /// \brief Spends credit on an admitted request of the lowest class.
  void OnLowestAdmitted(std::uint64_t cost) noexcept;

  /// \brief Records the latest refused request of the lowest class.
  void OnLowestRefused(std::uint64_t cost, SteadyTime now) noexcept;

  /// \brief Work tokens of the bound that other classes have to leave free.
  [[nodiscard]] double ReservedWork(double bound, std::uint64_t lowest_load,
                                    SteadyTime now) const noexcept;

  /// \brief Whether the lowest class may use the whole bound for a request.
  [[nodiscard]] bool MayUseWholeBound(std::uint64_t cost, double bound,
                                      std::uint64_t lowest_load) const noexcept;

 private:
  double m_fraction;
  double m_credit = 0;
  std::uint64_t m_refused_cost = 0;
  SteadyTime m_refused_at{};
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_CLASS_RESERVE_H_
