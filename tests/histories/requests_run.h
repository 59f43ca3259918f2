#ifndef WAGTAILWIND_TESTS_HISTORIES_REQUESTS_RUN_H_
#define WAGTAILWIND_TESTS_HISTORIES_REQUESTS_RUN_H_

#include "histories/run_options.h"
#include "histories/verdict.h"

namespace wagtailwind::histories {

/// \brief Runs callers against a fleet with faults, and checks the request invariants.
[[nodiscard]] Verdict RunRequests(const RunOptions& options);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_REQUESTS_RUN_H_
