// Measures the latency that router and agent add to streams, by comparison with the same callers
// connecting directly to the engine stand-ins in the same run.
#include <algorithm>
#include <cxxopts.hpp>
#include <exception>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/caller.h"
#include "support/fleet.h"
#include "support/load_generator.h"
#include "support/process_usage.h"

namespace {

using wagtailwind::testing::ChatRequest;
using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetOptions;
using wagtailwind::testing::FleetProcess;
using wagtailwind::testing::LoadCaller;
using wagtailwind::testing::LoadResult;
using wagtailwind::testing::ProcessUsage;
using wagtailwind::testing::ReadProcessUsage;
using Json = nlohmann::ordered_json;

// Target time between tokens, from section 1.3 of the design.
constexpr int kTokenIntervalMs = 53;
// About one second per call, so that a run has many samples of the time to the first token.
constexpr int kTokensPerCall = 19;

struct Arguments {
  std::vector<int> streams;
  int seconds = 0;
  int engines = 0;
  int token_ms = 0;
  std::size_t threads = 0;
  bool json = false;
};

struct FleetUsage {
  ProcessUsage router;
  /// Sum of all agents.
  ProcessUsage agents;
};

/// \brief Results at one number of streams: directly to the engines, then through the fleet. The
/// usage is read before and after the second phase.
struct Measurement {
  int streams = 0;
  LoadResult direct;
  LoadResult fleet;
  FleetUsage before;
  FleetUsage after;
};

FleetUsage ReadUsage(const Fleet& fleet) {
  FleetUsage usage;
  usage.router = ReadProcessUsage(fleet.routers[0].process.Id());
  for (const FleetProcess& agent : fleet.agents) {
    const ProcessUsage agent_usage = ReadProcessUsage(agent.process.Id());
    usage.agents.cpu_seconds += agent_usage.cpu_seconds;
    usage.agents.resident_bytes += agent_usage.resident_bytes;
    usage.agents.waits += agent_usage.waits;
  }
  return usage;
}

std::vector<LoadCaller> MakeCallers(const Fleet& fleet, int streams, bool direct) {
  std::vector<LoadCaller> callers;
  for (int i = 0; i < streams; ++i) {
    ChatRequest request;
    request.organisation = fleet.Options().deployment.folder;
    request.model = fleet.Options().deployment.model;
    request.chat = "latency-" + std::to_string(i);
    request.stream = true;
    request.max_tokens = kTokensPerCall;
    request.messages = {"Summarise the returns of route " + std::to_string(i)};
    const FleetProcess& engine = fleet.engines[static_cast<std::size_t>(i) % fleet.engines.size()];
    const std::string address =
        direct ? engine.addresses.at("listening") : fleet.routers[0].addresses.at("http");
    callers.push_back({address, ChatBody(request), ChatHeaders(request)});
  }
  return callers;
}

LoadResult RunPhase(const Fleet& fleet, const Arguments& arguments, int streams, bool direct) {
  const std::chrono::milliseconds start_spread(std::min(kTokensPerCall * arguments.token_ms, 1000));
  return RunLoad(MakeCallers(fleet, streams, direct), std::chrono::seconds(arguments.seconds),
                 start_spread, arguments.threads);
}

Measurement Measure(const Fleet& fleet, const Arguments& arguments, int streams) {
  Measurement measurement;
  measurement.streams = streams;
  measurement.direct = RunPhase(fleet, arguments, streams, true);
  measurement.before = ReadUsage(fleet);
  measurement.fleet = RunPhase(fleet, arguments, streams, false);
  measurement.after = ReadUsage(fleet);
  return measurement;
}

double Quantile(std::vector<double> samples, double quantile) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank),
                   samples.end());
  return samples[rank];
}

Json QuantilesToJson(const std::vector<double>& direct, const std::vector<double>& fleet) {
  Json figures{{"samples", fleet.size()}};
  for (const auto& [name, quantile] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
    const double direct_value = Quantile(direct, quantile);
    const double fleet_value = Quantile(fleet, quantile);
    figures[name] = {{"direct_ms", direct_value},
                     {"fleet_ms", fleet_value},
                     {"added_ms", fleet_value - direct_value}};
  }
  return figures;
}

Json CostToJson(const ProcessUsage& before, const ProcessUsage& after, const LoadResult& load,
                int streams) {
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  const auto resident_growth =
      static_cast<double>(after.resident_bytes) - static_cast<double>(before.resident_bytes);
  const auto tokens = static_cast<double>(std::max<std::uint64_t>(load.tokens, 1));
  return {{"cores", cpu / load.wall_seconds},
          {"cpu_ms_per_stream_second", cpu * 1000 / load.wall_seconds / streams},
          {"cpu_us_per_token", cpu * 1e6 / tokens},
          {"sleeps_per_token", static_cast<double>(after.waits - before.waits) / tokens},
          {"resident_mb", static_cast<double>(after.resident_bytes) / 1e6},
          {"resident_growth_kb_per_stream", resident_growth / 1e3 / streams}};
}

Json GeneratorToJson(const LoadResult& load) {
  return {{"cores", load.cpu_seconds / load.wall_seconds},
          {"busiest_thread_share", load.busiest_thread_cpu_seconds / load.wall_seconds}};
}

Json MeasurementToJson(const Measurement& measurement) {
  const auto& [streams, direct, fleet, before, after] = measurement;
  return {{"streams", streams},
          {"tokens_per_second", static_cast<double>(fleet.tokens) / fleet.wall_seconds},
          {"whole_answers", fleet.whole_answers},
          {"failures", fleet.failures + direct.failures},
          {"first_token", QuantilesToJson(direct.first_token_ms, fleet.first_token_ms)},
          {"between_tokens", QuantilesToJson(direct.gap_ms, fleet.gap_ms)},
          {"token_transit", QuantilesToJson(direct.transit_ms, fleet.transit_ms)},
          {"router", CostToJson(before.router, after.router, fleet, streams)},
          {"agents", CostToJson(before.agents, after.agents, fleet, streams)},
          {"generator", {{"direct", GeneratorToJson(direct)}, {"fleet", GeneratorToJson(fleet)}}}};
}

void PrintQuantiles(const std::string& name, const Json& figures) {
  std::cout << "  " << std::left << std::setw(16) << name << std::right;
  for (const char* quantile : {"p50", "p95", "p99"}) {
    const Json& entry = figures.at(quantile);
    std::cout << "  " << quantile << ' ' << entry.at("direct_ms").get<double>() << " -> "
              << entry.at("fleet_ms").get<double>() << " (+" << entry.at("added_ms").get<double>()
              << ")";
  }
  std::cout << "  ms, n=" << figures.at("samples") << '\n';
}

void PrintLevel(const Json& level) {
  std::cout << std::fixed << std::setprecision(2) << level.at("streams") << " streams, "
            << level.at("tokens_per_second").get<double>() << " tokens/s, "
            << level.at("whole_answers") << " whole answers, " << level.at("failures")
            << " failures\n";
  PrintQuantiles("first token", level.at("first_token"));
  PrintQuantiles("between tokens", level.at("between_tokens"));
  PrintQuantiles("token transit", level.at("token_transit"));
  for (const char* process : {"router", "agents"}) {
    const Json& cost = level.at(process);
    std::cout << "  " << std::left << std::setw(16) << process << std::right << "  "
              << cost.at("cores").get<double>() << " cores, "
              << cost.at("cpu_us_per_token").get<double>() << " us/token, "
              << cost.at("sleeps_per_token").get<double>() << " sleeps/token, "
              << cost.at("resident_mb").get<double>() << " MB, "
              << cost.at("resident_growth_kb_per_stream").get<double>() << " KB/stream\n";
  }
  const Json& generator = level.at("generator").at("fleet");
  std::cout << "  generator         " << generator.at("cores").get<double>()
            << " cores, busiest thread " << generator.at("busiest_thread_share").get<double>()
            << " of a core\n\n"
            << std::flush;
}

FleetOptions MakeFleetOptions(const Arguments& arguments) {
  FleetOptions options;
  options.binary_dir = WAGTAILWIND_BINARY_DIR;
  options.source_dir = WAGTAILWIND_SOURCE_DIR;
  options.routers = 1;
  options.engines = arguments.engines;
  options.services = 0;
  options.engine_arguments = {"--token-us", std::to_string(arguments.token_ms * 1000),
                              "--concurrency", "400"};
  return options;
}

int Run(const Arguments& arguments) {
  Fleet fleet(MakeFleetOptions(arguments));
  fleet.LoadRecordsAndWaitReady();
  fleet.WaitAllKnown();
  Json report{{"seconds", arguments.seconds},
              {"engines", arguments.engines},
              {"token_ms", arguments.token_ms},
              {"levels", Json::array()}};
  bool failed = false;
  for (const int streams : arguments.streams) {
    const Json level = MeasurementToJson(Measure(fleet, arguments, streams));
    failed = failed || level.at("failures") != 0;
    report["levels"].push_back(level);
    if (!arguments.json) {
      PrintLevel(level);
    }
  }
  if (arguments.json) {
    std::cout << report.dump(2) << '\n';
  }
  return failed ? 1 : 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("latency", "Measures the latency that router and agent add to streams.");
  options.add_options()("streams", "numbers of concurrent streams, measured one after another",
                        cxxopts::value<std::vector<int>>()->default_value("1,50,280,600"))(
      "seconds", "duration of each phase in seconds", cxxopts::value<int>()->default_value("10"))(
      "engines", "engines, each with its own agent", cxxopts::value<int>()->default_value("7"))(
      "token-ms", "milliseconds between two tokens of an engine",
      cxxopts::value<int>()->default_value(std::to_string(kTokenIntervalMs)))(
      "threads", "threads of the load generator",
      cxxopts::value<std::size_t>()->default_value("2"))(
      "output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "help", "print this text");
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run({parsed["streams"].as<std::vector<int>>(), parsed["seconds"].as<int>(),
                parsed["engines"].as<int>(), parsed["token-ms"].as<int>(),
                parsed["threads"].as<std::size_t>(), parsed["output"].as<std::string>() == "json"});
  } catch (const std::exception& error) {
    std::cerr << "latency: " << error.what() << '\n';
    return 2;
  }
}
