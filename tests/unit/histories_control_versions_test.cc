#include <criterion/criterion.h>

#include "histories/control_versions.h"

namespace {

using wagtailwind::histories::ChangeReport;
using wagtailwind::histories::CheckStarts;
using wagtailwind::histories::CheckVersionsMonotonic;
using wagtailwind::histories::Findings;
using wagtailwind::histories::MeasurePropagation;
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

// Guards against a checker that misses a return to an older configuration.
Test(histories_control_versions, a_version_decrease_within_a_run_is_found) {
  const auto rising = RunOf("r", 0, {{10, 1}, {20, 3}, {30, 3}});
  cr_assert(CheckVersionsMonotonic({rising}).violations.empty());
  const auto falling = RunOf("r", 0, {{10, 3}, {20, 2}, {30, 3}});
  cr_assert_eq(CheckVersionsMonotonic({rising, falling}).violations.size(), 1U);
}

// Guards against a checker that accepts a start with an old configuration, or demands a version
// that was not yet in force at all processes.
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

// Guards against a checker that does not compare times with the bound, or counts pauses and
// outages.
Test(histories_control_versions, a_late_or_missing_version_is_found) {
  const std::vector<ChangeReport> changes{AcceptedAt(1'000, 2)};
  auto run = RunOf("r", 0, {{900, 1}, {9'000, 2}});
  const Findings late = MeasurePropagation({run}, changes, {}, kBound);
  cr_assert(late.late.size() == 1 && late.longest_ms == 8'000 && late.violations.empty());
  cr_assert(MeasurePropagation({run}, changes, {{2'000, 6'000}}, kBound).late.empty());
  run.paused = {{500, 8'500}};
  cr_assert_eq(MeasurePropagation({run}, changes, {}, kBound).longest_ms, 500);
  const auto missing = RunOf("r", 0, {{900, 1}, {20'000, 1}});
  cr_assert_eq(MeasurePropagation({missing}, changes, {}, kBound).violations.size(), 1U);
  auto ended = RunOf("r", 0, {{900, 1}});
  ended.ended = 950;
  cr_assert(MeasurePropagation({ended}, changes, {}, kBound).violations.empty());
}
