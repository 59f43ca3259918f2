#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Checks that each load order carries an issued fencing token, that an engine that checks
/// tokens rejects the orders of a former holder, and that the current holder overrides them at an
/// engine that doesn't. `longest_ms` is the longest time until a stale order was overridden; `late`
/// lists the orders for which this took more than `bound_ms`.
[[nodiscard]] Findings CheckOrders(const EngineHistory& engine, std::int64_t bound_ms);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_ORDERS_H_
