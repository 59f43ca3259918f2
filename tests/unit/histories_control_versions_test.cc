#include <criterion/criterion.h>

#include "histories/control_versions.h"

namespace {

using wagtailwind::histories::ChangeReport;
using wagtailwind::histories::CheckStarts;
using wagtailwind::histories::CheckVersionsNeverFall;
using wagtailwind::histories::Findings;
using wagtailwind::histories::MeasureSpread;
using wagtailwind::histories::ProcessRun;

constexpr std::int64_t kBound = 7'000;

ProcessRun RunOf(const std::string& process, std::int64_t started,
                 const std::vector<std::pair<std::int64_t, std::uint64_t>>& versions) {
  ProcessRun run;
  run.process = process;
  run.started = started;
  for (const auto& [time, version] : versions) {
    run.samples.push_back({time - 1, time, 1, version, true});
  }
  return run;
}

ChangeReport AcceptedAt(std::int64_t time, std::uint64_t version) {
  ChangeReport change;
  change.outcome = wagtailwind::records::ChangeOutcome::kAccepted;
  change.version = version;
  change.reported = time;
  return change;
}

}  // namespace

// Guards against a checker that overlooks a configuration that reverts.
Test(histories_control_versions, a_fall_within_a_life_is_found) {
  const auto rising = RunOf("r", 0, {{10, 1}, {20, 3}, {30, 3}});
  cr_assert(CheckVersionsNeverFall({rising}).violations.empty());
  const auto falling = RunOf("r", 0, {{10, 3}, {20, 2}, {30, 3}});
  cr_assert_eq(CheckVersionsNeverFall({rising, falling}).violations.size(), 1U);
}

// Guards against a checker that accepts a start with an old configuration, or refuses one that was
// not in force everywhere.
Test(histories_control_versions, a_start_below_what_was_in_force_everywhere_is_found) {
  const auto router = RunOf("router", 0, {{10, 4}, {90, 5}});
  const auto agent = RunOf("agent", 0, {{10, 5}});
  const auto starts = [&](std::uint64_t version) {
    return CheckStarts({router, agent, RunOf("agent", 100, {{120, version}})}).violations.size();
  };
  cr_assert_eq(starts(4), 1U);
  cr_assert_eq(starts(5), 0U);
  const auto late_router = RunOf("router", 0, {{10, 4}, {110, 5}});
  cr_assert(CheckStarts({late_router, agent, RunOf("agent", 100, {{120, 4}})}).violations.empty());
  auto unready = RunOf("agent", 100, {{120, 0}, {130, 5}});
  unready.samples.front().ready = false;
  cr_assert(CheckStarts({router, agent, unready}).violations.empty());
}

// Guards against a bound that is not measured, or measured over a pause or an outage.
Test(histories_control_versions, a_late_or_missing_version_is_found) {
  const std::vector<ChangeReport> changes{AcceptedAt(1'000, 2)};
  auto run = RunOf("r", 0, {{900, 1}, {9'000, 2}});
  const Findings late = MeasureSpread({run}, changes, {}, kBound);
  cr_assert(late.late.size() == 1 && late.longest_ms == 8'000 && late.violations.empty());
  cr_assert(MeasureSpread({run}, changes, {{2'000, 6'000}}, kBound).late.empty());
  run.paused = {{500, 8'500}};
  cr_assert_eq(MeasureSpread({run}, changes, {}, kBound).longest_ms, 500);
  const auto missing = RunOf("r", 0, {{900, 1}, {20'000, 1}});
  cr_assert_eq(MeasureSpread({missing}, changes, {}, kBound).violations.size(), 1U);
  auto ended = RunOf("r", 0, {{900, 1}});
  ended.ended = 950;
  cr_assert(MeasureSpread({ended}, changes, {}, kBound).violations.empty());
}
