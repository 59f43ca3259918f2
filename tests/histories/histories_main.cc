#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <map>

#include "histories/control_run.h"
#include "histories/requests_run.h"

namespace {

using wagtailwind::histories::RunOptions;
using wagtailwind::histories::Verdict;

constexpr int kUsageError = 2;

const std::map<std::string, std::function<Verdict(const RunOptions&)>>& Runs() {
  static const std::map<std::string, std::function<Verdict(const RunOptions&)>> runs{
      {"requests", wagtailwind::histories::RunRequests},
      {"control", wagtailwind::histories::RunControl}};
  return runs;
}

cxxopts::ParseResult Parse(int argc, char** argv) {
  cxxopts::Options options("histories", "Checks histories of concurrent runs with faults");
  options.add_options()("run", "run to execute: requests or control",
                        cxxopts::value<std::string>())(
      "seed", "seed of faults and callers", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "mutant", "mechanism to remove", cxxopts::value<std::string>()->default_value(""))(
      "seconds", "seconds during which faults begin", cxxopts::value<int>()->default_value("8"))(
      "order-only", "report times over the bounds without failing the run",
      cxxopts::value<bool>()->default_value("false"));
  options.parse_positional({"run"});
  return options.parse(argc, argv);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const cxxopts::ParseResult parsed = Parse(argc, argv);
    RunOptions options;
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.mutant = parsed["mutant"].as<std::string>();
    options.length = std::chrono::seconds(parsed["seconds"].as<int>());
    options.order_only = parsed["order-only"].as<bool>();
    options.binary_dir = WAGTAILWIND_BINARY_DIR;
    options.source_dir = WAGTAILWIND_SOURCE_DIR;
    if (!options.mutant.empty()) {
      setenv("WAGTAILWIND_MUTANT", options.mutant.c_str(), 1);
    }
    return ReportVerdict(Runs().at(parsed["run"].as<std::string>())(options));
  } catch (const std::exception& error) {
    std::cerr << "histories: " << error.what() << '\n';
    return kUsageError;
  }
}
