#ifndef WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_
#define WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace wagtailwind::histories {

/// \brief A kind of fault that a plan may contain. The code that runs the plan interprets the name.
struct FaultKind {
  std::string name;
  /// Number of targets, which are numbered from 0.
  std::size_t targets = 1;
  /// Relative probability of this kind.
  std::uint32_t weight = 1;
  std::chrono::milliseconds shortest{0};
  std::chrono::milliseconds longest{0};
};

/// \brief One fault. `begin` is relative to the start of the run.
struct Fault {
  std::string kind;
  std::size_t target = 0;
  std::chrono::milliseconds begin{0};
  std::chrono::milliseconds duration{0};
};

/// \brief Generates the faults of a run from a seed, in order of time. Some faults begin at the
/// same time as the previous one, and some repeat it.
[[nodiscard]] std::vector<Fault> MakeFaultPlan(std::span<const FaultKind> kinds, std::uint64_t seed,
                                               std::chrono::milliseconds length);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_FAULT_PLAN_H_
