#include "histories/control_orders.h"

#include <algorithm>

namespace wagtailwind::histories {

namespace {

// Time from a stale order until the next accepted order of the current holder of the fence; empty
// if there is none.
std::optional<std::int64_t> TimeUntilOverridden(const std::vector<EngineOrder>& orders,
                                                std::size_t stale, std::uint64_t holder) {
  for (std::size_t i = stale + 1; i < orders.size(); ++i) {
    if (orders[i].taken && orders[i].fencing_token >= holder) {
      return orders[i].at - orders[stale].at;
    }
  }
  return std::nullopt;
}

}  // namespace

Findings CheckOrders(const EngineHistory& engine, std::int64_t bound_ms) {
  Findings findings;
  std::uint64_t holder = 0;
  for (std::size_t i = 0; i < engine.orders.size(); ++i) {
    const EngineOrder& order = engine.orders[i];
    const std::string what =
        "order of version " + order.version + " with token " + std::to_string(order.fencing_token);
    if (order.fencing_token == 0 || order.fencing_token > engine.fence) {
      findings.violations.push_back("order without a fence: " + what);
    }
    if (order.taken && order.fencing_token < holder) {
      if (engine.checks_fencing) {
        findings.violations.push_back("stale " + what + " was taken");
      } else if (const auto overridden = TimeUntilOverridden(engine.orders, i, holder)) {
        findings.longest_ms = std::max(findings.longest_ms, *overridden);
        if (*overridden > bound_ms) {
          findings.late.push_back("stale " + what + " overridden after " +
                                  std::to_string(*overridden) + " ms");
        }
      } else {
        findings.violations.push_back("stale " + what + " was not overridden");
      }
    }
    holder = std::max(holder, order.fencing_token);
  }
  if (engine.loaded != engine.target) {
    findings.violations.push_back("the engine has version " + engine.loaded + " and should have " +
                                  engine.target);
  }
  return findings;
}

}  // namespace wagtailwind::histories
