#include "histories/control_run.h"

#include <algorithm>
#include <stdexcept>

#include "histories/control_changes.h"
#include "histories/control_faults.h"
#include "histories/control_fleet.h"
#include "histories/control_gates.h"
#include "histories/control_orders.h"
#include "histories/control_scenarios.h"
#include "histories/control_versions.h"

namespace wagtailwind::histories {

namespace {

// Design targets: a change is in force within 7 s, admission stops within 5 s, and a stale load
// order is overridden within 30 s.
constexpr std::int64_t kChangeBoundMs = 7'000;
constexpr std::int64_t kAdmissionBoundMs = 5'000;
constexpr std::int64_t kOrderBoundMs = 30'000;

constexpr int kOperators = 3;
constexpr std::uint64_t kMinAccepted = 10;
constexpr std::uint64_t kMinExecuted = 20;

/// \brief Adds the findings of checks to a verdict.
class VerdictBuilder {
 public:
  explicit VerdictBuilder(const RunOptions& options) : m_order_only(options.order_only) {
    verdict.seed = options.seed;
    verdict.mutant = options.mutant;
  }

  void Add(const std::string& invariant, const Findings& findings) {
    for (const std::string& violation : findings.violations) {
      verdict.violations.push_back({invariant, violation});
    }
    verdict.counts["late_" + invariant] += findings.late.size();
    auto& longest = verdict.counts["longest_ms_" + invariant];
    longest = std::max(longest,
                       static_cast<std::uint64_t>(std::max<std::int64_t>(findings.longest_ms, 0)));
    for (const std::string& late : findings.late) {
      if (!m_order_only) {
        verdict.violations.push_back({invariant + "_bound", late});
      }
    }
  }

  Verdict verdict;

 private:
  const bool m_order_only;
};

void CountReports(const std::vector<ChangeReport>& reports, Verdict& verdict) {
  for (const ChangeReport& report : reports) {
    ++verdict.counts["changes"];
    ++verdict.counts["changes_" + std::string(ToText(report.outcome))];
    verdict.counts["tools_killed"] += report.killed ? 1 : 0;
  }
}

std::string VacuousReason(const Verdict& verdict) {
  const auto count = [&](const std::string& name) {
    const auto found = verdict.counts.find(name);
    return found == verdict.counts.end() ? 0 : found->second;
  };
  if (verdict.faults.size() < 2) {
    return "fewer than two kinds of faults";
  }
  if (count("changes_accepted") < kMinAccepted) {
    return "too few accepted changes";
  }
  if (count("changes_not_accepted") + count("changes_unknown") == 0) {
    return "no change was refused or had an unknown outcome";
  }
  if (count("executed_requests") < kMinExecuted) {
    return "too few requests";
  }
  return count("fencing_tokens") < 2 ? "the engine had only one holder" : "";
}

}  // namespace

Verdict RunControl(const RunOptions& options) {
  VerdictBuilder builder(options);
  Verdict& verdict = builder.verdict;
  ControlFleet fleet(options);
  const records::Document before = fleet.Document();
  std::vector<AdmissionClosure> closures;
  EngineHistory engine;
  try {
    {
      Operators operators(fleet.tool, options.seed, kOperators);
      verdict.faults = RunFaults(fleet, operators, options);
      closures.push_back(DrainEngine(fleet, options.seed % 2, options.seed / 2 % 2));
    }
    if (!fleet.WaitForPlatformVersion()) {
      verdict.violations.push_back(
          {"spread", "configuration versions of processes and platform differ"});
    }
    engine = ReplaceFenceHolder(fleet, 0, options.seed);
    closures.push_back(MarkAgentLeaving(fleet, 1, options.seed % 2));
  } catch (const std::runtime_error& error) {
    // The records made before the error are still checked.
    verdict.violations.push_back({"scenario", error.what()});
  }
  fleet.callers.Stop();

  const std::vector<ChangeReport> reports = fleet.tool.Reports();
  const std::vector<ProcessRun> runs = fleet.Runs();
  const std::vector<ExecutedRequest> executed = fleet.callers.Executed();
  builder.Add("never_falls", CheckVersionsMonotonic(runs));
  builder.Add("start", CheckStarts(runs));
  builder.Add("spread", MeasurePropagation(runs, reports, fleet.Outages(), kChangeBoundMs));
  builder.Add("changes", CheckChanges(reports, before, fleet.Document()));
  builder.Add("gate", CheckAdmissionClosures(closures, executed, kAdmissionBoundMs));
  builder.Add("orders", CheckOrders(engine, kOrderBoundMs));

  CountReports(reports, verdict);
  verdict.counts["process_runs"] = runs.size();
  verdict.counts["executed_requests"] = executed.size();
  verdict.counts["engine_orders"] = engine.orders.size();
  verdict.counts["fencing_tokens"] = engine.fence;
  for (const ProcessRun& run : runs) {
    verdict.counts["version_samples"] += run.samples.size();
  }
  verdict.vacuous = VacuousReason(verdict);
  return verdict;
}

}  // namespace wagtailwind::histories
