// Measures the control plane of real daemons on the loopback interface at several fleet sizes: time
// until a change is in force, control traffic, calls to the platform, CPU and memory. See --help.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

#include "core/log.h"
#include "platform/http_key_value_service.h"
#include "records/change.h"
#include "support/fleet.h"
#include "support/process_usage.h"

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::system_clock;
using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetProcess;
using wagtailwind::testing::ProcessUsage;

// Rate of changes in the design: 7,100 per day.
constexpr double kDesignChangesPerSecond = 0.082;
constexpr int kFastRateFactor = 10;
constexpr milliseconds kPollInterval{250};
constexpr seconds kConvergenceTimeout{300};

struct Options {
  std::string binary_dir;
  std::string source_dir;
  int changes = 5;
  seconds idle{30};
  int organisations = 280;
  int workers = 1;
};

// A change that the key-value service accepted.
struct AcceptedChange {
  std::uint64_t version = 0;
  system_clock::time_point at;
};

// Usage and metrics of all daemons, and call counts of the platform, at one time.
struct Sample {
  std::vector<ProcessUsage> usage;
  std::vector<std::map<std::string, double>> metrics;
  Json platform;
  std::chrono::steady_clock::time_point at;
};

std::vector<const FleetProcess*> Daemons(const Fleet& fleet) {
  std::vector<const FleetProcess*> daemons;
  for (const std::vector<FleetProcess>* group : {&fleet.agents, &fleet.routers}) {
    for (const FleetProcess& process : *group) {
      daemons.push_back(&process);
    }
  }
  return daemons;
}

Sample TakeSample(const Fleet& fleet) {
  Sample sample;
  sample.at = std::chrono::steady_clock::now();
  for (const FleetProcess* daemon : Daemons(fleet)) {
    sample.usage.push_back(wagtailwind::testing::ReadProcessUsage(daemon->process.Id()));
  }
  sample.platform =
      Json::parse(Fleet::Fetch(fleet.key_values->addresses.at("listening"), "/stats"));
  for (const FleetProcess* daemon : Daemons(fleet)) {
    sample.metrics.push_back(wagtailwind::testing::ParseMetrics(
        Fleet::Fetch(daemon->addresses.at("admin"), "/metrics")));
  }
  return sample;
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const long index = std::lround(fraction * static_cast<double>(values.size() - 1));
  return values[static_cast<std::size_t>(index)];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

Json MeanAndWorst(const std::vector<double>& values) {
  return {{"mean", Mean(values)}, {"worst", Quantile(values, 1)}};
}

Json ComputePlatformRates(const Sample& before, const Sample& after, double elapsed_seconds) {
  Json rates = Json::object();
  for (const auto& [kind, count] : after.platform.items()) {
    rates[kind] = (count.get<double>() - before.platform.value(kind, 0.0)) / elapsed_seconds;
  }
  return rates;
}

// Returns the mean and the worst process for each rate between two samples, and the rates of
// platform calls.
Json ComputeRates(const Sample& before, const Sample& after) {
  const double elapsed_seconds = std::chrono::duration<double>(after.at - before.at).count();
  std::map<std::string, std::vector<double>> values;
  for (std::size_t i = 0; i < after.usage.size(); ++i) {
    const auto rate = [&](const char* prefix, const char* label) {
      return (wagtailwind::testing::SumOf(after.metrics[i], prefix, label) -
              wagtailwind::testing::SumOf(before.metrics[i], prefix, label)) /
             elapsed_seconds;
    };
    const double sent = rate("wagtailwind_gossip_bytes_total", "direction=\"sent\"");
    const double received = rate("wagtailwind_gossip_bytes_total", "direction=\"received\"");
    values["sent_bytes_per_s"].push_back(sent);
    values["received_bytes_per_s"].push_back(received);
    values["control_bytes_per_s"].push_back(sent + received);
    values["sent_datagrams_per_s"].push_back(
        rate("wagtailwind_gossip_datagrams_total", "direction=\"sent\""));
    values["member_pulls_per_s"].push_back(
        rate("wagtailwind_gossip_pulls_total", "kind=\"members\""));
    values["configuration_pulls_per_s"].push_back(
        rate("wagtailwind_gossip_pulls_total", "kind=\"configuration\""));
    values["probe_failures_per_s"].push_back(rate("wagtailwind_gossip_probe_failures_total", ""));
    values["cpu_percent"].push_back(
        100 * (after.usage[i].cpu_seconds - before.usage[i].cpu_seconds) / elapsed_seconds);
    // The count covers running threads only, so it falls when threads end between the samples.
    values["waits_per_s"].push_back(std::max(0.0, static_cast<double>(after.usage[i].waits) -
                                                      static_cast<double>(before.usage[i].waits)) /
                                    elapsed_seconds);
    values["resident_mib"].push_back(after.usage[i].resident_bytes / (1024 * 1024));
    values["private_mib"].push_back(after.usage[i].private_bytes / (1024 * 1024));
    values["threads"].push_back(static_cast<double>(after.usage[i].threads));
  }
  Json rates{{"seconds", elapsed_seconds}};
  for (const auto& [name, process_values] : values) {
    rates[name] = MeanAndWorst(process_values);
  }
  rates["platform_calls_per_s"] = ComputePlatformRates(before, after, elapsed_seconds);
  return rates;
}

system_clock::time_point ParseTime(const std::string& text) {
  std::tm parts{};
  std::istringstream input(text);
  input >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  int millisecond_part = 0;
  char dot = 0;
  input >> dot >> millisecond_part;
  if (!input) {
    throw std::runtime_error("invalid time in a log line: " + text);
  }
  return system_clock::from_time_t(timegm(&parts)) + milliseconds(millisecond_part);
}

// Returns the time at which each version came into force at a daemon, from log event 4500.
std::map<std::uint64_t, system_clock::time_point> InForceTimes(const std::filesystem::path& log) {
  std::map<std::uint64_t, system_clock::time_point> times;
  std::ifstream input(log);
  std::string line;
  while (std::getline(input, line)) {
    if (line.find("\"event\":4500") == std::string::npos) {
      continue;
    }
    const Json event = Json::parse(line, nullptr, false);
    if (event.is_object()) {
      times.emplace(std::stoull(event["version"].get<std::string>()),
                    ParseTime(event["time"].get<std::string>()));
    }
  }
  return times;
}

// Summarises, over all daemons and changes, the time from acceptance of a change until a version
// that includes it is in force.
Json SummariseDelays(const Fleet& fleet, const std::vector<AcceptedChange>& changes) {
  std::vector<double> delays;
  std::size_t missing = 0;
  for (const FleetProcess* daemon : Daemons(fleet)) {
    const auto times = InForceTimes(fleet.LogFile(*daemon));
    for (const AcceptedChange& change : changes) {
      const auto found = times.lower_bound(change.version);
      if (found == times.end()) {
        ++missing;
        continue;
      }
      const auto delay = std::chrono::duration<double, std::milli>(found->second - change.at);
      delays.push_back(std::max(0.0, delay.count()));
    }
  }
  return {{"changes", changes.size()},
          {"missing", missing},
          {"median_ms", Quantile(delays, 0.5)},
          {"p95_ms", Quantile(delays, 0.95)},
          {"worst_ms", Quantile(delays, 1)}};
}

// Changes organisation records in the key-value service.
class ChangeWriter {
 public:
  explicit ChangeWriter(const std::string& address) : m_service(address, m_metrics) {}

  // Writes the records `organisation-<first>` to `organisation-<first + count - 1>` as one change.
  AcceptedChange PutOrganisations(int first, int count, int weight) {
    wagtailwind::records::Change change;
    change.id = "propagation-" + std::to_string(++m_change_count);
    for (int i = first; i < first + count; ++i) {
      change.edits.push_back({.key = {"organisation", "organisation-" + std::to_string(i)},
                              .schema = 2,
                              .body = Json{{"weight", weight},
                                           {"default_class", "normal"},
                                           {"allowed_models", Json::array({"returns-summary"})}}
                                          .dump(),
                              .if_version = std::nullopt});
    }
    const auto result = wagtailwind::records::ChangeRecords(
        change, m_service, m_random,
        [](milliseconds pause) { std::this_thread::sleep_for(pause); });
    if (result.outcome != wagtailwind::records::ChangeOutcome::kAccepted) {
      throw std::runtime_error("change not accepted: " + result.message);
    }
    return {result.version, system_clock::now()};
  }

 private:
  wagtailwind::MetricsRegistry m_metrics;
  wagtailwind::SeededRandomSource m_random{1};
  wagtailwind::platform::HttpKeyValueService m_service;
  int m_change_count = 0;
};

// Makes `count` changes at `rate` per second.
Json MeasureChanges(const Fleet& fleet, ChangeWriter& writer, int count, double rate) {
  const Sample before = TakeSample(fleet);
  const auto start = std::chrono::steady_clock::now();
  std::vector<AcceptedChange> changes;
  for (int i = 0; i < count; ++i) {
    changes.push_back(writer.PutOrganisations(0, 1, 2 + i % 5));
    std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                              std::chrono::duration<double>((i + 1) / rate)));
  }
  Json result = ComputeRates(before, TakeSample(fleet));
  // A change must be in force at all daemons within 7 s.
  std::this_thread::sleep_for(seconds(8));
  result["in_force"] = SummariseDelays(fleet, changes);
  return result;
}

bool AllMembersKnown(const Fleet& fleet, std::size_t count) {
  return std::ranges::all_of(Daemons(fleet), [count](const FleetProcess* daemon) {
    const auto metrics =
        wagtailwind::testing::ParseMetrics(Fleet::Fetch(daemon->addresses.at("admin"), "/metrics"));
    // Suspects count as known: on a busy machine some members are suspected at any time.
    return wagtailwind::testing::SumOf(metrics, "wagtailwind_gossip_members{", "alive") +
               wagtailwind::testing::SumOf(metrics, "wagtailwind_gossip_members{", "suspect") >=
           static_cast<double>(count);
  });
}

// Measures the start of a fleet until all daemons know all members.
Json MeasureStart(Fleet& fleet, std::size_t count, std::chrono::steady_clock::time_point start) {
  const auto elapsed = [start] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  Json result{{"launched_s", elapsed()}};
  fleet.LoadRecordsAndWaitReady();
  result["ready_s"] = elapsed();
  const auto deadline = std::chrono::steady_clock::now() + kConvergenceTimeout;
  bool known = AllMembersKnown(fleet, count);
  while (!known && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    known = AllMembersKnown(fleet, count);
  }
  result["members_known_s"] = known ? Json(elapsed()) : Json(nullptr);
  const Sample sample = TakeSample(fleet);
  result["platform_calls"] = sample.platform;
  std::vector<double> cpu;
  std::vector<double> pulls;
  for (std::size_t i = 0; i < sample.usage.size(); ++i) {
    cpu.push_back(sample.usage[i].cpu_seconds);
    pulls.push_back(wagtailwind::testing::SumOf(sample.metrics[i], "wagtailwind_gossip_pulls_total",
                                                "members"));
  }
  result["cpu_s"] = MeanAndWorst(cpu);
  result["member_pulls"] = MeanAndWorst(pulls);
  return result;
}

Json Measure(int processes, const Options& options) {
  wagtailwind::testing::FleetOptions fleet_options;
  fleet_options.binary_dir = options.binary_dir;
  fleet_options.source_dir = options.source_dir;
  fleet_options.deployment.zones.clear();
  for (int i = 1; i <= 8; ++i) {
    fleet_options.deployment.zones.push_back("zone-" + std::to_string(i));
  }
  fleet_options.engines = std::max(1, processes / 10);
  fleet_options.services = std::max(1, processes / 10);
  fleet_options.routers = processes - fleet_options.engines - fleet_options.services;
  fleet_options.extra_settings = "workers: " + std::to_string(options.workers) + "\n";
  const auto start = std::chrono::steady_clock::now();
  Fleet fleet(fleet_options);
  Json result{{"processes", processes}};
  result["start"] = MeasureStart(fleet, static_cast<std::size_t>(processes), start);
  ChangeWriter writer(fleet.key_values->addresses.at("listening"));
  writer.PutOrganisations(0, options.organisations, 1);
  // Waits until the daemons have propagated the initial records, which takes some seconds.
  std::this_thread::sleep_for(seconds(15));
  const Sample before = TakeSample(fleet);
  std::this_thread::sleep_for(options.idle);
  result["idle"] = ComputeRates(before, TakeSample(fleet));
  result["changing"] = MeasureChanges(fleet, writer, options.changes, kDesignChangesPerSecond);
  result["changing_fast"] = MeasureChanges(fleet, writer, options.changes * kFastRateFactor / 2,
                                           kDesignChangesPerSecond * kFastRateFactor);
  return result;
}

// Fits a least-squares line over the fleet sizes to each number below `value`, whose JSON pointer
// in a row is `path`.
void AddSlopes(const std::vector<Json>& rows, const Json& value, const std::string& path,
               Json& slopes) {
  if (value.is_object()) {
    for (const auto& [key, child] : value.items()) {
      std::string child_path = path;
      child_path.append("/").append(key);
      AddSlopes(rows, child, child_path, slopes);
    }
    return;
  }
  if (!value.is_number()) {
    return;
  }
  std::vector<double> x;
  std::vector<double> y;
  for (const Json& row : rows) {
    const Json& at = row.value(Json::json_pointer(path), Json(nullptr));
    if (at.is_number()) {
      x.push_back(row["processes"].get<double>());
      y.push_back(at.get<double>());
    }
  }
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    covariance += (x[i] - Mean(x)) * (y[i] - Mean(y));
    variance += (x[i] - Mean(x)) * (x[i] - Mean(x));
  }
  if (x.size() > 1 && variance > 0) {
    slopes[path] = {{"per_100_processes", 100 * covariance / variance},
                    {"at_0", Mean(y) - Mean(x) * covariance / variance}};
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("propagation", "Measures the control plane of real daemons.");
  auto add = parser.add_options();
  add("processes", "numbers of daemons, 80% of them routers",
      cxxopts::value<std::vector<int>>()->default_value("10,30"));
  add("changes", "changes at the design rate; 5 times as many at 10 times the rate",
      cxxopts::value<int>()->default_value("5"));
  add("idle", "duration of the measurement without changes in seconds",
      cxxopts::value<int>()->default_value("30"));
  add("organisations", "number of organisation records",
      cxxopts::value<int>()->default_value("280"));
  add("workers", "worker threads of each daemon", cxxopts::value<int>()->default_value("1"));
  add("binary-dir", "build directory", cxxopts::value<std::string>()->default_value("build"));
  add("source-dir", "source directory", cxxopts::value<std::string>()->default_value("."));
  add("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
  add("help", "print this text");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  wagtailwind::InitialiseLogging(wagtailwind::LogLevel::kError, "propagation");
  Options options;
  options.binary_dir = arguments["binary-dir"].as<std::string>();
  options.source_dir = arguments["source-dir"].as<std::string>();
  options.changes = arguments["changes"].as<int>();
  options.idle = seconds(arguments["idle"].as<int>());
  options.organisations = arguments["organisations"].as<int>();
  options.workers = arguments["workers"].as<int>();
  const bool json = arguments["output"].as<std::string>() == "json";
  std::vector<Json> rows;
  for (const int processes : arguments["processes"].as<std::vector<int>>()) {
    rows.push_back(Measure(processes, options));
    std::cout << rows.back().dump(json ? -1 : 2) << std::endl;
  }
  Json slopes = Json::object();
  AddSlopes(rows, rows.back(), "", slopes);
  if (rows.size() > 1) {
    std::cout << Json{{"slopes", slopes}}.dump(json ? -1 : 2) << std::endl;
  }
  return 0;
}
