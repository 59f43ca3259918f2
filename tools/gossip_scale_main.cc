// Measures the gossip protocol at several fleet sizes. The daemon's protocol objects run in one
// process with a fake clock. See --help.

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/log.h"
#include "support/gossip_cluster.h"

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wagtailwind::gossip::MemberState;
using wagtailwind::testing::GossipCluster;

struct Options {
  std::uint64_t seed = 1;
  std::size_t zones = 8;
  std::size_t regions = 3;
  int changes = 5;
  int kills = 3;
  // Duration of each traffic measurement and of the run with lost datagrams.
  seconds traffic_duration{60};
  // Duration for which one region is cut off; 0 skips the zone loss and region cut.
  seconds region_cut_duration{600};
};

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

milliseconds ElapsedSince(GossipCluster& cluster, wagtailwind::SteadyTime start) {
  return std::chrono::duration_cast<milliseconds>(cluster.Time().Now() - start);
}

GossipCluster::Settings ClusterSettings(std::size_t nodes, const Options& options) {
  return {.nodes = nodes, .zones = options.zones, .regions = options.regions, .seed = options.seed};
}

bool AllHaveVersion(GossipCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.IsAlive(i) && cluster.Replica(i).Digest().version < version) {
      return false;
    }
  }
  return true;
}

// Publishes a version at the first live node from index `at` on.
void Publish(GossipCluster& cluster, std::size_t at, std::uint64_t version) {
  while (!cluster.IsAlive(at)) {
    at = (at + 1) % cluster.size();
  }
  cluster.Replica(at).Publish(version, 300);
  cluster.Node(at).NotifyConfigurationChanged();
}

// Measures the time from publishing a version at one node until all live nodes have it.
Json MeasureChanges(GossipCluster& cluster, const Options& options, std::uint64_t& version) {
  std::vector<double> times;
  int timeouts = 0;
  for (int i = 0; i < options.changes; ++i) {
    const auto start = cluster.Time().Now();
    Publish(cluster, static_cast<std::size_t>(i) * 17 % cluster.size(), ++version);
    const bool all =
        cluster.RunUntil([&] { return AllHaveVersion(cluster, version); }, seconds(30));
    timeouts += all ? 0 : 1;
    times.push_back(static_cast<double>(ElapsedSince(cluster, start).count()));
    cluster.Run(seconds(2));
  }
  std::ranges::sort(times);
  return {{"median_ms", times[times.size() / 2]}, {"worst_ms", times.back()}, {"missed", timeouts}};
}

// Counts live members that were declared dead, once for each node that did so: recoveries so far,
// plus live members that a node considers dead now.
std::uint64_t CountFalseDeaths(GossipCluster& cluster) {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    count += cluster.Metrics(i).GetCounter("gossip_recoveries_total").value();
    for (std::size_t j = 0; j < cluster.size(); ++j) {
      const bool is_false_death = cluster.IsAlive(i) && cluster.IsAlive(j) && i != j &&
                                  cluster.StateIn(i, j) == MemberState::kDead;
      count += is_false_death ? 1 : 0;
    }
  }
  return count;
}

// Returns the fraction of (live node, killed node) pairs in which the live node considers the
// killed one dead.
double DetectedFraction(GossipCluster& cluster, const std::vector<std::size_t>& killed) {
  std::size_t known = 0;
  std::size_t total = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    for (const std::size_t index : killed) {
      total += cluster.IsAlive(i) ? 1 : 0;
      known += cluster.IsAlive(i) && cluster.StateIn(i, index) == MemberState::kDead ? 1 : 0;
    }
  }
  return static_cast<double>(known) / static_cast<double>(total);
}

// Kills the nodes and measures the time until half and all of the detections have occurred.
Json MeasureDetection(GossipCluster& cluster, const std::vector<std::size_t>& killed) {
  const auto start = cluster.Time().Now();
  for (const std::size_t index : killed) {
    cluster.Kill(index);
  }
  cluster.RunUntil([&] { return DetectedFraction(cluster, killed) >= 0.5; }, seconds(60));
  const auto half_time = ElapsedSince(cluster, start);
  const bool all =
      cluster.RunUntil([&] { return DetectedFraction(cluster, killed) >= 1.0; }, seconds(60));
  return {{"half_ms", half_time.count()},
          {"all_ms", all ? Json(ElapsedSince(cluster, start).count()) : Json(nullptr)}};
}

// Measures traffic and CPU time per node; with `version`, a new version is published every 10 s.
Json MeasureTraffic(GossipCluster& cluster, seconds duration, std::uint64_t* version) {
  std::vector<GossipCluster::Traffic> before;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    before.push_back(cluster.SentBy(i));
  }
  const double cpu_at_start = CpuSeconds();
  for (seconds at{0}; at < duration; at += seconds(10)) {
    if (version != nullptr) {
      Publish(cluster, static_cast<std::size_t>(at.count()) % cluster.size(), ++*version);
    }
    cluster.Run(seconds(10));
  }
  const double cpu_seconds = CpuSeconds() - cpu_at_start;
  const auto duration_seconds = static_cast<double>(duration.count());
  double bytes = 0;
  double worst = 0;
  double datagrams = 0;
  std::uint64_t table_pulls = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const auto sent =
        static_cast<double>(cluster.SentBy(i).bytes - before[i].bytes) / duration_seconds;
    bytes += sent;
    worst = std::max(worst, sent);
    datagrams +=
        static_cast<double>(cluster.SentBy(i).datagrams - before[i].datagrams) / duration_seconds;
    table_pulls += cluster.SentBy(i).pulled_tables - before[i].pulled_tables;
  }
  const auto nodes = static_cast<double>(cluster.size());
  return {{"mean_bytes_per_s", bytes / nodes},
          {"worst_bytes_per_s", worst},
          {"datagrams_per_s", datagrams / nodes},
          {"table_pulls", table_pulls},
          {"cpu_ms_per_node_s", cpu_seconds * 1000 / nodes / duration_seconds}};
}

// Measures the ages of the load entries that all nodes have of the agents in their zone. Missing
// entries count as older than 10 s.
Json MeasureLoadAges(GossipCluster& cluster, const Options& options) {
  std::vector<std::size_t> agents(options.zones, 0);
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    agents[cluster.ZoneOf(i)] += cluster.Table(i).Self().endpoint.has_value() ? 1 : 0;
  }
  std::vector<double> ages;
  std::size_t expected = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    expected += agents[cluster.ZoneOf(i)];
    for (const auto& [hash, age] : cluster.Loads(i).Ages()) {
      ages.push_back(static_cast<double>(age.count()));
    }
  }
  std::ranges::sort(ages);
  const auto fresh = std::ranges::lower_bound(ages, 10'000.0) - ages.begin();
  return {{"p50_ms", ages[ages.size() / 2]},
          {"p95_ms", ages[ages.size() * 95 / 100]},
          {"share_under_10s", static_cast<double>(fresh) / static_cast<double>(expected)}};
}

Json MeasureZoneLoss(std::size_t nodes, const Options& options) {
  GossipCluster cluster(ClusterSettings(nodes, options));
  cluster.Run(seconds(5));
  std::vector<std::size_t> killed;
  for (std::size_t i = 0; i < nodes; ++i) {
    if (cluster.ZoneOf(i) == 1) {
      killed.push_back(i);
    }
  }
  Json result = MeasureDetection(cluster, killed);
  result["false_deaths"] = CountFalseDeaths(cluster);
  return result;
}

bool MembersAgree(GossipCluster& cluster) {
  for (std::size_t i = 1; i < cluster.size(); ++i) {
    if (cluster.Table(i).Digest() != cluster.Table(0).Digest()) {
      return false;
    }
  }
  return true;
}

// Cuts one region off while versions are published, then measures the time until all nodes have the
// newest version and the same member table.
Json MeasureRegionPartition(std::size_t nodes, const Options& options) {
  GossipCluster cluster(ClusterSettings(nodes, options));
  cluster.Run(seconds(5));
  std::uint64_t version = 0;
  Publish(cluster, 0, ++version);
  cluster.Run(seconds(5));
  cluster.SetPartition([&cluster](std::size_t from, std::size_t to) {
    return (cluster.RegionOf(from) == 2) != (cluster.RegionOf(to) == 2);
  });
  for (seconds at{0}; at < options.region_cut_duration; at += seconds(10)) {
    Publish(cluster, 0, ++version);
    cluster.Run(seconds(10));
  }
  const std::uint64_t version_in_cut_region = cluster.Replica(2).Digest().version;
  cluster.SetPartition({});
  const auto start = cluster.Time().Now();
  const bool all = cluster.RunUntil([&] { return AllHaveVersion(cluster, version); }, seconds(120));
  Json result{{"cut_s", options.region_cut_duration.count()},
              {"versions_missed", version - version_in_cut_region}};
  result["newest_everywhere_ms"] = all ? Json(ElapsedSince(cluster, start).count()) : Json(nullptr);
  const bool agree = cluster.RunUntil([&] { return MembersAgree(cluster); }, seconds(300));
  result["members_agree_ms"] = agree ? Json(ElapsedSince(cluster, start).count()) : Json(nullptr);
  return result;
}

Json Measure(std::size_t nodes, const Options& options) {
  Json result{{"nodes", nodes}};
  const double heap = HeapBytes();
  GossipCluster cluster(ClusterSettings(nodes, options));
  cluster.Run(seconds(20));
  result["memory_kib_per_node"] = (HeapBytes() - heap) / static_cast<double>(nodes) / 1024;
  result["idle"] = MeasureTraffic(cluster, options.traffic_duration, nullptr);
  result["loads"] = MeasureLoadAges(cluster, options);
  std::uint64_t version = 0;
  result["changing"] = MeasureTraffic(cluster, options.traffic_duration, &version);
  result["change"] = MeasureChanges(cluster, options, version);
  result["kills"] = Json::array();
  for (int i = 0; i < options.kills; ++i) {
    result["kills"].push_back(
        MeasureDetection(cluster, {static_cast<std::size_t>(i) * 7 % nodes + 1}));
  }
  result["false_deaths"] = CountFalseDeaths(cluster);
  cluster.SetLoss(0.05);
  cluster.Run(options.traffic_duration);
  result["change_at_5_percent_loss"] = MeasureChanges(cluster, options, version);
  result["false_deaths_at_5_percent_loss"] = CountFalseDeaths(cluster);
  return result;
}

void PrintTable(const Json& row) {
  for (const auto& [key, value] : row.items()) {
    std::cout << (key == "nodes" ? "" : "  ") << key << ": " << value.dump() << '\n';
  }
  std::cout << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("gossip_scale", "Measures the gossip protocol at several fleet sizes.");
  auto add = parser.add_options();
  add("sizes", "numbers of nodes, measured one after another",
      cxxopts::value<std::vector<std::size_t>>()->default_value("30,100,300,1000,1840"));
  add("seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("zones", "availability zones", cxxopts::value<std::size_t>()->default_value("8"));
  add("regions", "regions", cxxopts::value<std::size_t>()->default_value("3"));
  add("idle", "duration of each traffic measurement in seconds",
      cxxopts::value<int>()->default_value("60"));
  add("cut", "seconds for which a region is cut off; 0: skip zone loss and region cut",
      cxxopts::value<int>()->default_value("3600"));
  add("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
  add("help", "print this text");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  wagtailwind::InitialiseLogging(wagtailwind::LogLevel::kError, "gossip_scale");
  Options options;
  options.seed = arguments["seed"].as<std::uint64_t>();
  options.zones = arguments["zones"].as<std::size_t>();
  options.regions = arguments["regions"].as<std::size_t>();
  options.traffic_duration = seconds(arguments["idle"].as<int>());
  options.region_cut_duration = seconds(arguments["cut"].as<int>());
  const bool json = arguments["output"].as<std::string>() == "json";
  for (const std::size_t nodes : arguments["sizes"].as<std::vector<std::size_t>>()) {
    Json row = Measure(nodes, options);
    if (options.region_cut_duration > seconds(0)) {
      row["zone_loss"] = MeasureZoneLoss(nodes, options);
      row["region_cut"] = MeasureRegionPartition(nodes, options);
    }
    if (json) {
      std::cout << row.dump() << std::endl;
    } else {
      PrintTable(row);
    }
  }
  return 0;
}
