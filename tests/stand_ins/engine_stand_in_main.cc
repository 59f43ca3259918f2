#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "stand_ins/engine_stand_in.h"
#include "stand_ins/stand_in_program.h"

namespace {

using wagtailwind::stand_ins::EngineOptions;

cxxopts::Options DescribeOptions() {
  cxxopts::Options options("engine_stand_in", "A model engine for tests");
  options.add_options()("listen", "ip:port",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "name", "name in status and history", cxxopts::value<std::string>()->default_value("engine"))(
      "token-us", "microseconds per output token", cxxopts::value<int>()->default_value("2000"))(
      "prefill-us", "microseconds per uncached prompt token",
      cxxopts::value<int>()->default_value("20"))(
      "concurrency", "maximum number of concurrent generations",
      cxxopts::value<std::size_t>()->default_value("16"))(
      "cache-tokens", "prefix cache limit in tokens",
      cxxopts::value<std::uint64_t>()->default_value("200000"))(
      "default-tokens", "output tokens of a request without max_tokens",
      cxxopts::value<std::uint32_t>()->default_value("16"))(
      "event-delay-ms", "delay of cache events in milliseconds",
      cxxopts::value<int>()->default_value("200"))(
      "event-gap", "omit every n-th cache event; 0 omits none",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "history-file", "file to which generations are appended",
      cxxopts::value<std::string>()->default_value(""))("load-lag-ms",
                                                        "age of load reports in milliseconds",
                                                        cxxopts::value<int>()->default_value("0"))(
      "check-fencing", "refuse old fencing tokens", cxxopts::value<bool>()->default_value("false"));
  return options;
}

EngineOptions ReadOptions(const cxxopts::ParseResult& parsed) {
  EngineOptions options;
  options.name = parsed["name"].as<std::string>();
  options.token_interval = std::chrono::microseconds(parsed["token-us"].as<int>());
  options.prefill_time_per_token = std::chrono::microseconds(parsed["prefill-us"].as<int>());
  options.concurrency = parsed["concurrency"].as<std::size_t>();
  options.cache_tokens_limit = parsed["cache-tokens"].as<std::uint64_t>();
  options.default_tokens = parsed["default-tokens"].as<std::uint32_t>();
  options.event_delay = std::chrono::milliseconds(parsed["event-delay-ms"].as<int>());
  options.event_gap = parsed["event-gap"].as<std::uint64_t>();
  options.load_lag = std::chrono::milliseconds(parsed["load-lag-ms"].as<int>());
  options.history_file = parsed["history-file"].as<std::string>();
  options.checks_fencing = parsed["check-fencing"].as<bool>();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const cxxopts::ParseResult parsed = DescribeOptions().parse(argc, argv);
    // Called before the engine starts its threads, so that only RunStandIn() receives the signals.
    wagtailwind::stand_ins::BlockStopSignals();
    wagtailwind::stand_ins::EngineStandIn engine(ReadOptions(parsed));
    return wagtailwind::stand_ins::RunStandIn(
        parsed["listen"].as<std::string>(),
        [&engine](const wagtailwind::http::Request& request) { return engine.Handle(request); });
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
