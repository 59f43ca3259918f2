#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_RUN_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_RUN_H_

#include "histories/run_options.h"
#include "histories/verdict.h"

namespace wagtailwind::histories {

/// \brief Runs operators and callers against a fleet with faults, and checks the invariants of
/// records, configuration, drains and engine orders.
[[nodiscard]] Verdict RunControl(const RunOptions& options);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_RUN_H_
