#include <criterion/criterion.h>

#include "histories/control_gates.h"
#include "histories/control_orders.h"

namespace {

using wagtailwind::histories::AdmissionClosure;
using wagtailwind::histories::CheckAdmissionClosures;
using wagtailwind::histories::CheckOrders;
using wagtailwind::histories::EngineHistory;
using wagtailwind::histories::kNever;

constexpr std::int64_t kAdmissionBound = 5'000;
constexpr std::int64_t kOrderBound = 30'000;

std::size_t ClosureViolations(const AdmissionClosure& closure, const std::string& endpoint,
                              std::int64_t sent, std::int64_t answered) {
  return CheckAdmissionClosures({closure}, {{endpoint, sent, answered}}, kAdmissionBound)
      .violations.size();
}

std::size_t OrderViolations(const EngineHistory& engine) {
  return CheckOrders(engine, kOrderBound).violations.size();
}

}  // namespace

// Guards against a checker that misses new work at a drained endpoint, or reports requests that
// were sent before the drain or may have run after it.
Test(histories_control_gates, new_work_at_a_closed_gate_is_found) {
  const AdmissionClosure closure{"e", 1'000, 2'000, 9'000};
  cr_assert_eq(ClosureViolations(closure, "e", 2'500, 2'600), 1U);
  cr_assert_eq(ClosureViolations(closure, "other", 2'500, 2'600), 0U);
  cr_assert_eq(ClosureViolations(closure, "e", 1'500, 2'600), 0U);
  cr_assert_eq(ClosureViolations(closure, "e", 2'500, 9'100), 0U);
  cr_assert_eq(ClosureViolations({"e", 1'000, kNever, kNever}, "e", 1, 2), 1U);
}

// Guards against a checker that does not compare times with the bound.
Test(histories_control_gates, a_gate_that_closes_late_is_reported) {
  const auto findings =
      CheckAdmissionClosures({{"e", 1'000, 8'000, kNever}}, {{"e", 7'000, 7'100}}, kAdmissionBound);
  cr_assert(findings.violations.empty());
  cr_assert(findings.late.size() == 2 && findings.longest_ms == 7'000);
}

// Guards against a checker that misses a stale order accepted by an engine that checks tokens.
Test(histories_control_orders, a_stale_order_at_a_checking_engine_is_found) {
  EngineHistory engine{
      true, {{1, "1", 1, true}, {2, "2", 2, true}, {3, "1", 1, false}}, 2, "2", "2"};
  cr_assert_eq(OrderViolations(engine), 0U);
  engine.orders[2].taken = true;
  cr_assert_eq(OrderViolations(engine), 1U);
}

// Guards against a checker that misses a lasting effect of a stale order, or reports one that is
// overridden in time.
Test(histories_control_orders, a_stale_order_must_be_undone) {
  EngineHistory engine{false, {{1, "2", 2, true}, {2, "1", 1, true}}, 2, "2", "1"};
  cr_assert_eq(OrderViolations(engine), 2U);
  engine.orders.push_back({30'002, "2", 2, true});
  engine.loaded = "2";
  cr_assert_eq(OrderViolations(engine), 0U);
  cr_assert_eq(CheckOrders(engine, kOrderBound).longest_ms, 30'000);
  engine.orders.back().at = 30'003;
  cr_assert_eq(CheckOrders(engine, kOrderBound).late.size(), 1U);
}

// Guards against a checker that accepts orders with a token that was never issued.
Test(histories_control_orders, an_order_without_a_fence_is_found) {
  cr_assert_eq(OrderViolations({false, {{1, "1", 0, true}}, 1, "1", "1"}), 1U);
  cr_assert_eq(OrderViolations({false, {{1, "1", 9, true}}, 1, "1", "1"}), 1U);
}
