#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Each order carries a token that was issued; an order of a former holder has no effect at
/// an engine that checks tokens, and no lasting one at another. `longest_ms` is the longest time
/// until such an order was undone; `late` names those over `bound_ms`.
[[nodiscard]] Findings CheckOrders(const EngineHistory& engine, std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_
