#ifndef WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_
#define WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_

#include <vector>

#include "histories/history.h"

namespace wagtailwind::histories {

using Violations = std::vector<Violation>;

/// \name One check for each promise
/// @{

/// \brief R5: at most one execution for each organisation and key of a call that is not repeatable,
/// and one result for each key.
[[nodiscard]] Violations CheckOnceOnly(const History& history);

/// \brief R4: each execution belongs to an attempt that began before it and was not told "not run".
[[nodiscard]] Violations CheckNotRun(const History& history);

/// \brief R3: each answer is the caller's own and from one generation, resumed streams join without
/// gap or overlap, and what is presented as whole is whole.
[[nodiscard]] Violations CheckAnswers(const History& history);

/// \brief R1: each chat that was not given up has got a whole answer.
[[nodiscard]] Violations CheckAnswered(const History& history);

/// \brief R7: a planned stop ends with status 0 and cuts no call in flight.
[[nodiscard]] Violations CheckPlannedStops(const History& history);

/// @}

/// \brief All of them.
[[nodiscard]] Violations CheckRequests(const History& history);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_
