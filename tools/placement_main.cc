// Compares placement policies in a discrete-event simulation of a fleet. See --help.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "placement_model/policy.h"
#include "placement_model/report.h"
#include "placement_model/scenario.h"
#include "placement_model/simulation.h"

namespace {

using wagtailwind::placement_model::NamedResult;
using wagtailwind::placement_model::Policy;
using wagtailwind::placement_model::Scenario;
using wagtailwind::placement_model::Simulation;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("placement", "Compares placement policies on a model of a fleet.");
  options.add_options()("size", "scenario: clearview, kandy-lanka or design",
                        cxxopts::value<std::string>()->default_value("clearview"))(
      "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "multiple", "bound of an engine's load as a multiple of the mean load",
      cxxopts::value<double>()->default_value("1.25"))(
      "load", "factor applied to the rate of new chats",
      cxxopts::value<double>()->default_value("1"))(
      "policy", "run only policies whose name contains this text",
      cxxopts::value<std::string>()->default_value(""))(
      "output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
      "jobs", "number of concurrent runs", cxxopts::value<unsigned>()->default_value("3"))(
      "help", "print this text");
  return options;
}

// Runs the policies on `jobs` threads.
std::vector<NamedResult> RunAll(const Scenario& scenario, const std::vector<Policy>& policies,
                                std::uint64_t seed, unsigned jobs) {
  std::vector<NamedResult> results(policies.size());
  std::atomic<std::size_t> next{0};
  const auto run_policies = [&] {
    for (std::size_t i = next++; i < policies.size(); i = next++) {
      results[i] = {policies[i].name, Simulation(scenario, policies[i], seed).Run()};
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(jobs, 1U); ++i) {
    threads.emplace_back(run_policies);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

int Run(const cxxopts::ParseResult& arguments) {
  auto scenario = wagtailwind::placement_model::FindScenario(arguments["size"].as<std::string>());
  const std::string output = arguments["output"].as<std::string>();
  if (!scenario || (output != "table" && output != "json")) {
    std::cerr << "placement: unknown --size or --output\n";
    return 2;
  }
  scenario->chats_per_second *= arguments["load"].as<double>();
  std::vector<Policy> policies =
      wagtailwind::placement_model::MakePolicies(arguments["multiple"].as<double>());
  const std::string name_filter = arguments["policy"].as<std::string>();
  std::erase_if(policies, [&](const Policy& policy) {
    return policy.name.find(name_filter) == std::string::npos;
  });
  const auto seed = arguments["seed"].as<std::uint64_t>();
  const std::vector<NamedResult> results =
      RunAll(*scenario, policies, seed, arguments["jobs"].as<unsigned>());
  std::cout << (output == "json"
                    ? wagtailwind::placement_model::ToJson(scenario->name, seed, results)
                    : wagtailwind::placement_model::ToTable(results));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "placement: " << error.what() << '\n';
    return 2;
  }
}
