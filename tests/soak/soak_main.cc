// Runs routers and endpoints as processes, injects random faults, and checks the promises of the
// product while they run. One JSON line tells the result; the exit code is 1 if a promise was
// broken.

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

// Callers know the routers and connections are open before the first fault.
constexpr std::chrono::milliseconds kWarmUp = 2'000ms;

// Between the last fault and planned work, so that all programs are in contact again.
constexpr std::chrono::milliseconds kCalm = 3'500ms;

// Contact, a time in which requests must be served, and the longest request.
constexpr std::chrono::milliseconds kRecovery = 12'000ms;

struct Result {
  std::vector<std::string> broken;
  std::map<std::string, std::size_t> faults;
};

/// Faults of all kinds in the first half; planned work alone in the second, where the promises that
/// hold only without other trouble can be checked.
std::vector<histories::Fault> MakePlan(const soak::SoakFleet& fleet, std::uint64_t seed,
                                       std::chrono::seconds length) {
  std::vector<histories::Fault> plan = histories::MakeFaultPlan(fleet.Kinds(), seed, length / 2);
  std::chrono::milliseconds storm{0};
  for (const histories::Fault& fault : plan) {
    storm = std::max(storm, fault.begin + fault.duration);
  }
  for (histories::Fault& fault :
       histories::MakeFaultPlan(fleet.PlannedKinds(), seed + 1, length / 2)) {
    fault.begin += storm + kCalm;
    plan.push_back(fault);
  }
  return plan;
}

Result Run(const soak::SoakOptions& options, std::chrono::seconds length, std::size_t callers,
           soak::Ledger& ledger) {
  net::EventLoop loop;
  SeededRandomSource random(options.seed);
  const SystemClock clock;
  const auto adapter = adapter::MakeAdapter();
  soak::SoakFleet fleet(loop, random, ledger, options);
  std::list<soak::SoakCaller> all;
  for (std::size_t i = 0; i < callers; ++i) {
    all.emplace_back(loop, random, adapter->Names(), fleet, ledger);
  }
  const std::vector<histories::Fault> plan = MakePlan(fleet, options.seed, length);
  std::vector<histories::Fault> open;
  std::size_t next = 0;
  Result result;
  const SteadyTime start = clock.Now() + kWarmUp;
  SteadyTime next_check = start;
  SteadyTime next_configuration = start;
  SteadyTime end = SteadyTime::max();
  while (clock.Now() < end && result.broken.empty()) {
    loop.RunFor(kStep);
    fleet.Tick();
    const SteadyTime now = clock.Now();
    for (; next < plan.size() && start + plan[next].begin <= now; ++next) {
      fleet.Begin(plan[next]);
      open.push_back(plan[next]);
      ++result.faults[plan[next].kind];
    }
    std::erase_if(open, [&](const histories::Fault& fault) {
      const bool over = start + fault.begin + fault.duration <= now;
      if (over) {
        fleet.End(fault);
      }
      return over;
    });
    if (next == plan.size() && open.empty() && end == SteadyTime::max()) {
      ledger.OnHealed(now);
      end = now + kRecovery;
    }
    if (now >= next_configuration) {
      next_configuration = now + kConfigurationInterval;
      fleet.ChangeConfiguration();
    }
    if (now >= next_check) {
      next_check = now + kCheckInterval;
      result.broken = ledger.Check(now, false);
    }
  }
  if (result.broken.empty()) {
    result.broken = ledger.Check(clock.Now(), true);
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("soak", "Random faults for routers and endpoints, and checks.");
  options.add_options()("seed", "of the faults and requests",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "time in which faults begin", cxxopts::value<int>()->default_value("20"))(
      "routers", "processes", cxxopts::value<std::size_t>()->default_value("3"))(
      "endpoints", "processes of each of two services",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "callers", "connections", cxxopts::value<std::size_t>()->default_value("24"))(
      "mutant", "mechanism that the routers lack",
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
      throw std::runtime_error("no folder for the logs");
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
                           {"verdict", result.broken.empty() ? "pass" : "fail"},
                           {"requests", ledger.RequestCount()},
                           {"runs", ledger.RunCount()},
                           {"statuses", statuses},
                           {"faults", result.faults},
                           {"broken", result.broken}};
    if (result.broken.empty()) {
      std::filesystem::remove_all(folder);
    } else {
      line["logs"] = folder;
    }
    std::cout << line.dump() << '\n';
    return result.broken.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
  }
}
