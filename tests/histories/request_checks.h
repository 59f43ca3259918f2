#ifndef WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_
#define WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_

#include <vector>

#include "histories/history.h"

namespace wagtailwind::histories {

using Violations = std::vector<Violation>;

/// \name One check for each invariant
/// @{

/// \brief Invariant R5: at most one execution for each organisation and key of a call that is not
/// repeatable, and one result for each key.
[[nodiscard]] Violations CheckOnceOnly(const History& history);

/// \brief Invariant R4: each execution belongs to an attempt that began before it and was not
/// answered with "not run".
[[nodiscard]] Violations CheckNotRun(const History& history);

/// \brief Invariant R3: each answer belongs to the caller's request and comes from one generation,
/// resumed streams continue without gap or overlap, and an answer presented as complete is
/// complete.
[[nodiscard]] Violations CheckAnswers(const History& history);

/// \brief Invariant R1: each chat that its caller did not give up has a complete answer.
[[nodiscard]] Violations CheckAnswered(const History& history);

/// \brief Invariant R7: a planned stop ends with status 0 and interrupts no call in flight.
[[nodiscard]] Violations CheckPlannedStops(const History& history);

/// @}

/// \brief Runs all of these checks.
[[nodiscard]] Violations CheckRequests(const History& history);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_REQUEST_CHECKS_H_
