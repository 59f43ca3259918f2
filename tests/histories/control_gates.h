#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Checks that no endpoint runs a request that was sent after its agent was observed to be
/// drained or leaving and answered before the drain was cancelled. `late` lists the agents that
/// took more than `bound_ms` to stop admission, and the requests that were sent after `bound_ms`
/// and before the agent was observed to have stopped admission, but still ran.
[[nodiscard]] Findings CheckAdmissionClosures(const std::vector<AdmissionClosure>& closures,
                                              const std::vector<ExecutedRequest>& requests,
                                              std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_
