#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Within one life of a process the version never falls.
[[nodiscard]] Findings CheckVersionsNeverFall(const std::vector<ProcessRun>& runs);

/// \brief A process that starts never serves with a version below the one that was in force
/// everywhere before.
[[nodiscard]] Findings CheckStarts(const std::vector<ProcessRun>& runs);

/// \brief How long accepted changes take to be in force at each process, from the acceptance or
/// from the end of what kept the process away: its start, a pause or an outage of the platform.
/// `late` names those that took more than `bound_ms`; `violations` those never seen in force.
[[nodiscard]] Findings MeasureSpread(const std::vector<ProcessRun>& runs,
                                     const std::vector<ChangeReport>& changes,
                                     const std::vector<Interval>& outages, std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_VERSIONS_H_
