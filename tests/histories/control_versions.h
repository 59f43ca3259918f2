#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Checks that the version never decreases within one incarnation of a process.
[[nodiscard]] Findings CheckVersionsMonotonic(const std::vector<ProcessRun>& runs);

/// \brief Checks that a started process never serves with a version below the one that was in force
/// at all processes before its start.
[[nodiscard]] Findings CheckStarts(const std::vector<ProcessRun>& runs);

/// \brief Measures how long accepted changes take to be in force at each process. The time counts
/// from the acceptance, or from the process start or the end of a pause or platform outage if that
/// is later. `late` lists changes that took more than `bound_ms`. `violations` lists changes that
/// were never observed in force, although the process was observed for longer than `bound_ms`.
[[nodiscard]] Findings MeasurePropagation(const std::vector<ProcessRun>& runs,
                                          const std::vector<ChangeReport>& changes,
                                          const std::vector<Interval>& outages,
                                          std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_
