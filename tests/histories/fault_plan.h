#ifndef WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_
#define WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace wagtailwind::histories {

/// \brief A kind of fault that a plan may choose. The runner knows what the name means.
struct FaultKind {
  std::string name;
  /// Targets are numbered from 0.
  std::size_t targets = 1;
  /// Chosen in proportion to this.
  std::uint32_t weight = 1;
  std::chrono::milliseconds shortest{0};
  std::chrono::milliseconds longest{0};
};

/// \brief One fault: begins at a time after the start of the run, and ends after a duration.
struct Fault {
  std::string kind;
  std::size_t target = 0;
  std::chrono::milliseconds begin{0};
  std::chrono::milliseconds duration{0};
};

/// \brief Chooses faults for a run by a seed, in order of time. Some begin together with the one
/// before, and some repeat it.
[[nodiscard]] std::vector<Fault> MakeFaultPlan(std::span<const FaultKind> kinds, std::uint64_t seed,
                                               std::chrono::milliseconds length);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_
