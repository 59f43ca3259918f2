#include "histories/requests_run.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "histories/caller.h"
#include "histories/execution_files.h"
#include "histories/fault_injector.h"
#include "histories/planned_stop.h"
#include "histories/request_checks.h"
#include "support/fleet.h"

namespace wagtailwind::histories {

namespace {

using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetOptions;
using wagtailwind::testing::FleetProcess;

constexpr std::uint64_t kCallers = 6;
constexpr int kAlreadyUsed = 409;

/// Temporary directory, removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "histories-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("mkdtemp failed");
    }
    m_path = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] std::filesystem::path File(const std::string& name) const { return m_path / name; }

 private:
  std::filesystem::path m_path;
};

FleetOptions MakeFleetOptions(const RunOptions& options, const std::filesystem::path& executions) {
  FleetOptions fleet;
  fleet.binary_dir = options.binary_dir;
  fleet.source_dir = options.source_dir;
  fleet.daemon = options.mutant.empty() ? "wagtailwindd" : "wagtailwindd_mutants";
  fleet.engine_arguments = {"--history-file", executions.string()};
  fleet.service_arguments = {"--history-file", executions.string()};
  return fleet;
}

std::vector<std::string> RouterAddresses(const Fleet& fleet) {
  std::vector<std::string> addresses;
  for (const FleetProcess& router : fleet.routers) {
    addresses.push_back(router.addresses.at("http"));
  }
  return addresses;
}

/// Makes the callers stop on scope exit, also if the run throws.
struct StopAtExit {
  explicit StopAtExit(CallerContext& run) : context(run) {}
  ~StopAtExit() {
    context.stopping = true;
    context.faults_ended = true;
  }
  StopAtExit(const StopAtExit&) = delete;
  StopAtExit& operator=(const StopAtExit&) = delete;

  CallerContext& context;
};

void RunCallers(CallerContext& context, std::uint64_t seed, FaultInjector& faults,
                const std::vector<Fault>& plan) {
  std::vector<std::jthread> threads;
  threads.reserve(kCallers);
  // Declared after `threads`, so that the callers are told to stop before the threads are joined.
  const StopAtExit stop(context);
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    threads.emplace_back([&context, seed, i] { Caller(context, i + 1, seed).Run(); });
  }
  faults.Run(plan);
  faults.EndAllFaults();
}

History RunHistory(const RunOptions& options, Verdict& verdict) {
  const TemporaryFolder folder;
  const std::filesystem::path executions = folder.File("executions.jsonl");
  Fleet fleet(MakeFleetOptions(options, executions));
  fleet.LoadRecordsAndWaitReady();
  RouterAddressList router_addresses;
  const auto update = [&router_addresses, &fleet] { router_addresses.Set(RouterAddresses(fleet)); };
  update();
  Recorder<Call> calls;
  CallerContext context{fleet.Options().deployment,
                        {"kandy-lanka", "colombo-general-hospital-kitchen", "negombo-school-meals"},
                        router_addresses,
                        calls};
  History history;
  history.stops = StopUnderTraffic(fleet, context, executions, update);
  FaultInjector faults(fleet, update);
  const std::vector<FaultKind> kinds = faults.Kinds();
  RunCallers(context, options.seed, faults, MakeFaultPlan(kinds, options.seed, options.length));
  verdict.faults = faults.Counts();
  // A graceful stop waits for late executions of lost attempts.
  (void)fleet.StopGracefully();
  history.calls = calls.Records();
  history.executions = ReadExecutions(executions);
  return history;
}

std::uint64_t CountAnswers(const History& history, Answer answer) {
  std::uint64_t count = 0;
  for (const Call& call : history.calls) {
    count += static_cast<std::uint64_t>(
        std::count_if(call.attempts.begin(), call.attempts.end(),
                      [answer](const Attempt& attempt) { return attempt.answer == answer; }));
  }
  return count;
}

std::uint64_t CountOnceOnly(const History& history) {
  return static_cast<std::uint64_t>(
      std::count_if(history.executions.begin(), history.executions.end(),
                    [](const Execution& execution) { return !execution.repeatable; }));
}

/// Counts attempts that are refused because their key was used, although the key had a result
/// before. This is allowed, but only the loss of an agent should cause it.
std::uint64_t CountForgottenResults(const History& history) {
  std::uint64_t count = 0;
  for (const Call& call : history.calls) {
    bool has_result = false;
    for (const Attempt& attempt : call.attempts) {
      count += has_result && attempt.status == kAlreadyUsed ? 1U : 0U;
      has_result = has_result || attempt.answer == Answer::kResult;
    }
  }
  return count;
}

std::string VacuousReason(const Verdict& verdict) {
  if (verdict.faults.empty()) {
    return "no fault took place";
  }
  if (verdict.counts.at("unknown") + verdict.counts.at("lost") == 0) {
    return "no outcome was ambiguous";
  }
  return verdict.counts.at("once_only_executions") == 0 ? "nothing was executed" : "";
}

void FillCounts(const History& history, Verdict& verdict) {
  verdict.counts["calls"] = history.calls.size();
  verdict.counts["executions"] = history.executions.size();
  verdict.counts["once_only_executions"] = CountOnceOnly(history);
  verdict.counts["results"] = CountAnswers(history, Answer::kResult);
  verdict.counts["not_run"] = CountAnswers(history, Answer::kNotRun);
  verdict.counts["unknown"] = CountAnswers(history, Answer::kUnknown);
  verdict.counts["lost"] = CountAnswers(history, Answer::kLost);
  verdict.counts["forgotten_results"] = CountForgottenResults(history);
  for (const char* invariant :
       {"duplicate", "false_not_run", "incomplete", "crossed", "unanswered", "cut_by_stop"}) {
    verdict.counts[invariant] = 0;
  }
  for (const Violation& violation : verdict.violations) {
    ++verdict.counts[violation.invariant];
  }
}

}  // namespace

Verdict RunRequests(const RunOptions& options) {
  Verdict verdict;
  verdict.seed = options.seed;
  verdict.mutant = options.mutant;
  const History history = RunHistory(options, verdict);
  verdict.violations = CheckRequests(history);
  FillCounts(history, verdict);
  verdict.vacuous = VacuousReason(verdict);
  return verdict;
}

}  // namespace wagtailwind::histories
