#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief No endpoint runs a request that was sent after its agent was seen to be drained or
/// leaving and answered before that was taken back. `late` names agents that took more than
/// `bound_ms` to close, and requests that were sent later than that and run nevertheless.
[[nodiscard]] Findings CheckClosedGates(const std::vector<ClosedGate>& gates,
                                        const std::vector<ExecutedRequest>& requests,
                                        std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_GATES_H_
