// Runs routers and endpoints as processes, injects random faults, and checks the invariants that
// the product guarantees. Prints the result as one JSON line; the exit code is 1 if an invariant
// was violated.

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

#include "platform/adapter.h"
#include "soak/soak_fleet.h"

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)

constexpr std::chrono::milliseconds kStep = 20ms;
constexpr std::chrono::milliseconds kCheckInterval = 1'000ms;
constexpr std::chrono::milliseconds kConfigurationInterval = 1'700ms;

// Time before the first fault in which callers connect to the routers.
constexpr std::chrono::milliseconds kWarmUp = 2'000ms;

// Pause between the last fault and the planned operations, in which all programs reconnect.
constexpr std::chrono::milliseconds kReconnectPause = 3'500ms;

// Covers reconnection, a period in which requests must succeed, and the longest request.
constexpr std::chrono::milliseconds kRecoveryPhase = 12'000ms;

struct Result {
  std::vector<std::string> violations;
  std::map<std::string, std::size_t> faults;
};

/// Appends the faults of a plan after `begin`. Returns when its last fault ends.
std::chrono::milliseconds Append(const std::vector<histories::Fault>& faults,
                                 std::chrono::milliseconds begin,
                                 std::vector<histories::Fault>& plan) {
  std::chrono::milliseconds end = begin;
  for (histories::Fault fault : faults) {
    fault.begin += begin;
    end = std::max(end, fault.begin + fault.duration);
    plan.push_back(std::move(fault));
  }
  return end;
}

/// Plans a few restores of the key-value service. With more, it would hardly ever serve.
std::vector<histories::Fault> MakeRestorePlan(const soak::SoakFleet& fleet, std::uint64_t seed,
                                              std::chrono::milliseconds length) {
  constexpr std::size_t kKeptOneIn = 8;
  std::vector<histories::Fault> kept;
  const auto all = histories::MakeFaultPlan(fleet.RestoreFaultKinds(), seed, length);
  for (std::size_t i = 0; i < all.size(); i += kKeptOneIn) {
    kept.push_back(all[i]);
  }
  return kept;
}

/// Plans faults of all kinds in the first half and only planned operations in the second half, so
/// that the invariants that apply only without faults can be checked. Endpoints that announce that
/// they leave, and evacuations, are planned beside the first half and after the second one.
std::vector<histories::Fault> MakePlan(const soak::SoakFleet& fleet, std::uint64_t seed,
                                       std::chrono::seconds length) {
  const auto leaving = [&](std::uint64_t leaving_seed) {
    return histories::MakeFaultPlan(fleet.LeavingFaultKinds(), leaving_seed, length / 4);
  };
  std::vector<histories::Fault> plan;
  std::chrono::milliseconds end{0};
  for (const auto& faults :
       {histories::MakeFaultPlan(fleet.FaultKinds(), seed, length / 2),
        histories::MakeFaultPlan(fleet.EndlessFaultKinds(), seed + 2, length / 2),
        MakeRestorePlan(fleet, seed + 5, length / 2), leaving(seed + 3)}) {
    end = std::max(end, Append(faults, 0ms, plan));
  }
  end = Append(histories::MakeFaultPlan(fleet.PlannedFaultKinds(), seed + 1, length / 2),
               end + kReconnectPause, plan);
  Append(leaving(seed + 4), end + kReconnectPause, plan);
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const histories::Fault& a, const histories::Fault& b) { return a.begin < b.begin; });
  return plan;
}

Result Run(const soak::SoakOptions& options, std::chrono::seconds length, std::size_t callers,
           soak::Ledger& ledger) {
  net::EventLoop loop;
  SeededRandomSource random(options.seed);
  const SystemClock clock;
  const auto adapter = adapter::MakeAdapter();
  soak::SoakFleet fleet(loop, random, ledger, options);
  std::list<soak::SoakCaller> all_callers;
  for (std::size_t i = 0; i < callers; ++i) {
    all_callers.emplace_back(loop, random, adapter->Names(), fleet, ledger);
  }
  const std::vector<histories::Fault> plan = MakePlan(fleet, options.seed, length);
  std::vector<histories::Fault> active;
  std::size_t next = 0;
  Result result;
  const SteadyTime start = clock.Now() + kWarmUp;
  SteadyTime next_check = start;
  SteadyTime next_configuration = start;
  SteadyTime end = SteadyTime::max();
  while (clock.Now() < end && result.violations.empty()) {
    loop.RunFor(kStep);
    fleet.Tick();
    const SteadyTime now = clock.Now();
    for (; next < plan.size() && start + plan[next].begin <= now; ++next) {
      fleet.Begin(plan[next]);
      active.push_back(plan[next]);
      ++result.faults[plan[next].kind];
    }
    std::erase_if(active, [&](const histories::Fault& fault) {
      const bool over = start + fault.begin + fault.duration <= now;
      if (over) {
        fleet.End(fault);
      }
      return over;
    });
    if (next == plan.size() && active.empty() && end == SteadyTime::max()) {
      ledger.OnLastFaultEnd(now);
      end = now + kRecoveryPhase;
    }
    if (now >= next_configuration) {
      next_configuration = now + kConfigurationInterval;
      fleet.ChangeConfiguration();
    }
    if (now >= next_check) {
      next_check = now + kCheckInterval;
      result.violations = ledger.Check(now, false);
    }
  }
  if (result.violations.empty()) {
    result.violations = ledger.Check(clock.Now(), true);
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "soak", "Injects random faults into routers and endpoints and checks invariants.");
  options.add_options()("seed", "seed of the faults and requests",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "length of the period in which faults begin",
      cxxopts::value<int>()->default_value("20"))(
      "routers", "number of routers", cxxopts::value<std::size_t>()->default_value("3"))(
      "endpoints", "number of endpoints of each of two services",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "callers", "number of callers, each with one connection",
      cxxopts::value<std::size_t>()->default_value("24"))(
      "mutant", "name of the mutant that the routers run",
      cxxopts::value<std::string>()->default_value(""))("help", "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    soak::SoakOptions soak;
    soak.seed = arguments["seed"].as<std::uint64_t>();
    soak.routers = arguments["routers"].as<std::size_t>();
    soak.endpoints = arguments["endpoints"].as<std::size_t>();
    soak.mutant = arguments["mutant"].as<std::string>();
    setenv("WAGTAILWIND_MUTANT", soak.mutant.c_str(), 1);
    std::string folder = std::filesystem::temp_directory_path() / "soak-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
      throw std::runtime_error("cannot create a folder for the logs");
    }
    soak.folder = folder;
    soak::Ledger ledger{soak.bounds};
    const Result result = Run(soak, std::chrono::seconds(arguments["seconds"].as<int>()),
                              arguments["callers"].as<std::size_t>(), ledger);
    nlohmann::json statuses;
    for (const auto& [status, count] : ledger.Statuses()) {
      statuses[status == 0 ? "none" : std::to_string(status)] = count;
    }
    nlohmann::json line = {{"seed", soak.seed},
                           {"verdict", result.violations.empty() ? "pass" : "fail"},
                           {"requests", ledger.RequestCount()},
                           {"runs", ledger.RunCount()},
                           {"statuses", statuses},
                           {"faults", result.faults},
                           {"broken", result.violations}};
    if (result.violations.empty()) {
      std::filesystem::remove_all(folder);
    } else {
      line["logs"] = folder;
    }
    std::cout << line.dump() << '\n';
    return result.violations.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
  }
}
