#include "histories/control_versions.h"

#include <algorithm>

namespace wagtailwind::histories {

namespace {

using records::ConfigurationVersion;

std::string Name(const ProcessRun& run) {
  return run.process + " started at " + std::to_string(run.started);
}

// Lowest of the last versions that the processes had before a time; empty if no process was ready.
std::optional<ConfigurationVersion> VersionInForceEverywhere(const std::vector<ProcessRun>& runs,
                                                             std::int64_t time) {
  std::map<std::string, std::pair<std::int64_t, ConfigurationVersion>> latest;
  for (const ProcessRun& run : runs) {
    for (const VersionSample& sample : run.samples) {
      if (sample.ready && sample.answered < time) {
        auto& [at, version] = latest[run.process];
        if (sample.answered >= at) {
          at = sample.answered;
          version = sample.version;
        }
      }
    }
  }
  std::optional<ConfigurationVersion> lowest;
  for (const auto& [process, last] : latest) {
    lowest = std::min(lowest.value_or(last.second), last.second);
  }
  return lowest;
}

// Moves a time to the end of each absence that overlaps the bound after it.
std::int64_t SkipAbsences(std::int64_t time, std::vector<Interval> absences,
                          std::int64_t bound_ms) {
  std::ranges::sort(absences, {}, &Interval::begin);
  for (const Interval& absence : absences) {
    if (absence.end > time && absence.begin <= time + bound_ms) {
      time = absence.end;
    }
  }
  return time;
}

}  // namespace

Findings CheckVersionsMonotonic(const std::vector<ProcessRun>& runs) {
  Findings findings;
  for (const ProcessRun& run : runs) {
    for (std::size_t i = 1; i < run.samples.size(); ++i) {
      const VersionSample& before = run.samples[i - 1];
      const VersionSample& after = run.samples[i];
      if (before.incarnation == after.incarnation && after.version < before.version) {
        findings.violations.push_back(
            "version fell: " + Name(run) + " went from " + std::to_string(before.version) + " to " +
            std::to_string(after.version) + " at " + std::to_string(after.answered));
      }
    }
  }
  return findings;
}

Findings CheckStarts(const std::vector<ProcessRun>& runs) {
  Findings findings;
  for (const ProcessRun& run : runs) {
    const std::optional<ConfigurationVersion> needed = VersionInForceEverywhere(runs, run.started);
    const auto served = std::ranges::find_if(run.samples, &VersionSample::ready);
    if (needed && served != run.samples.end() && served->version < *needed) {
      findings.violations.push_back("start with an old configuration: " + Name(run) +
                                    " serves with version " + std::to_string(served->version) +
                                    " although " + std::to_string(*needed) +
                                    " was in force everywhere");
    }
  }
  return findings;
}

Findings MeasurePropagation(const std::vector<ProcessRun>& runs,
                            const std::vector<ChangeReport>& changes,
                            const std::vector<Interval>& outages, std::int64_t bound_ms) {
  Findings findings;
  for (const ChangeReport& change : changes) {
    if (change.outcome != records::ChangeOutcome::kAccepted) {
      continue;
    }
    for (const ProcessRun& run : runs) {
      std::vector<Interval> absences = run.paused;
      absences.insert(absences.end(), outages.begin(), outages.end());
      const std::int64_t from =
          SkipAbsences(std::max(change.reported, run.started), absences, bound_ms);
      if (from == kNever || run.samples.empty() || run.ended <= from) {
        continue;
      }
      const auto seen = std::ranges::find_if(run.samples, [&](const VersionSample& sample) {
        return sample.version >= change.version;
      });
      const bool in_force = seen != run.samples.end();
      const std::int64_t took = (in_force ? seen->answered : run.samples.back().asked) - from;
      const std::string what = "version " + std::to_string(change.version) + " at " + Name(run);
      if (took > bound_ms) {
        (in_force ? findings.late : findings.violations)
            .push_back(what + (in_force ? " took " : " is not in force after ") +
                       std::to_string(took) + " ms");
      }
      findings.longest_ms = std::max(findings.longest_ms, in_force ? took : 0);
    }
  }
  return findings;
}

}  // namespace wagtailwind::histories
