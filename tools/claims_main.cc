// Measures the claim log over HTTP with the key-value stand-in: added latency, calls to the
// platform, memory per remembered key, and the time in which a successor loads a partition. See
// --help.

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/log.h"
#include "core/random_source.h"
#include "platform/http_key_value_service.h"
#include "requests/claim_log.h"
#include "requests/claim_partition.h"
#include "support/stand_in_process.h"

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;
using wagtailwind::requests::ClaimResult;
using wagtailwind::requests::detail::ClaimPartitionLog;
using wagtailwind::requests::detail::PendingClaim;
using wagtailwind::testing::StandInProcess;

// Same values as in the agent.
constexpr std::size_t kPlatformThreads = 4;
constexpr std::size_t kMaxQueuedCommits = 64;

constexpr const char* kService = "returns-api";
constexpr const char* kOrganisation = "kandy-lanka";

// The objects by which one agent claims request keys. Several agents run in this process.
struct Agent {
  explicit Agent(const std::string& address)
      : key_values(address, metrics),
        workers(kPlatformThreads, kMaxQueuedCommits),
        log(wagtailwind::requests::MakeClaimLog(wagtailwind::ServiceName(kService), key_values,
                                                workers, clock, metrics)) {}

  wagtailwind::SystemClock clock;
  wagtailwind::MetricsRegistry metrics;
  wagtailwind::platform::HttpKeyValueService key_values;
  wagtailwind::WorkerPool workers;
  std::unique_ptr<wagtailwind::requests::ClaimLog> log;
};

// Collects the results and latencies of claims. Thread-safe.
class ClaimStatistics {
 public:
  void RecordStart() {
    const std::lock_guard lock(m_mutex);
    ++m_pending;
  }

  void RecordResult(ClaimResult result, SteadyClock::duration latency) {
    const std::lock_guard lock(m_mutex);
    ++m_counts.at(static_cast<std::size_t>(result));
    m_latencies_ms.push_back(std::chrono::duration<double, std::milli>(latency).count());
    --m_pending;
    m_claim_ended.notify_all();
  }

  // Waits until all started claims have a result.
  Json WaitAndSummarise() {
    std::unique_lock lock(m_mutex);
    m_claim_ended.wait(lock, [this] { return m_pending == 0; });
    std::ranges::sort(m_latencies_ms);
    const auto quantile = [this](double fraction) {
      return m_latencies_ms[static_cast<std::size_t>(
          fraction * static_cast<double>(m_latencies_ms.size() - 1))];
    };
    return {{"claimed", m_counts[0]},           {"taken", m_counts[1]},
            {"unavailable", m_counts[2]},       {"p50_ms", quantile(0.5)},
            {"p95_ms", quantile(0.95)},         {"p99_ms", quantile(0.99)},
            {"worst_ms", m_latencies_ms.back()}};
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_claim_ended;
  std::size_t m_pending = 0;
  std::array<std::size_t, 3> m_counts{};
  std::vector<double> m_latencies_ms;
};

// Returns a version 7 UUID with the current time.
std::string NewRequestKey(wagtailwind::RandomSource& random) {
  const auto now = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
  wagtailwind::RequestId bytes = random.NewRequestId();
  for (std::size_t i = 0; i < 6; ++i) {
    bytes.at(i) = static_cast<std::uint8_t>(now >> (8 * (5 - i)));
  }
  bytes[6] = static_cast<std::uint8_t>(0x70 | (bytes[6] & 0x0f));
  bytes[8] = static_cast<std::uint8_t>(0x80 | (bytes[8] & 0x3f));
  std::string text = wagtailwind::ToHex(bytes);
  for (const std::size_t position : {8, 13, 18, 23}) {
    text.insert(position, 1, '-');
  }
  return text;
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Json FetchStats(StandInProcess& stand_in) { return Json::parse(stand_in.Fetch("/stats")); }

// Submits claims at a constant rate. Each partition has one owner, as in the fleet.
Json MeasureRate(std::size_t agent_count, int rate, seconds duration, int write_limit) {
  StandInProcess stand_in("tests/key_value_stand_in");
  if (write_limit > 0) {
    stand_in.Control(Json{{"writes_per_second", write_limit}}.dump());
  }
  std::vector<std::unique_ptr<Agent>> agents;
  for (std::size_t i = 0; i < agent_count; ++i) {
    agents.push_back(std::make_unique<Agent>(stand_in.Address()));
  }
  const wagtailwind::OrganisationName organisation(kOrganisation);
  wagtailwind::SeededRandomSource random(1);
  ClaimStatistics results;
  const double cpu_at_start = CpuSeconds();
  const auto start = SteadyClock::now();
  const int count = rate * static_cast<int>(duration.count());
  for (int i = 0; i < count; ++i) {
    std::this_thread::sleep_until(start + std::chrono::nanoseconds(1'000'000'000LL * i / rate));
    const std::string text = NewRequestKey(random);
    const std::size_t owner =
        wagtailwind::requests::ClaimPartition(organisation, text) % agent_count;
    const auto claim_start = SteadyClock::now();
    results.RecordStart();
    agents[owner]->log->Claim(organisation, *wagtailwind::requests::ParseRequestKey(text),
                              random.NewRequestId(), [&results, claim_start](ClaimResult result) {
                                results.RecordResult(result, SteadyClock::now() - claim_start);
                              });
  }
  Json row{{"agents", agent_count}, {"keys_per_s", rate}, {"seconds", duration.count()}};
  row["write_limit"] = write_limit;
  row.update(results.WaitAndSummarise());
  const double elapsed_seconds = std::chrono::duration<double>(SteadyClock::now() - start).count();
  const Json stats = FetchStats(stand_in);
  const double writes = stats.value("compare_and_swap", 0.0);
  const double reads = stats.value("get", 0.0);
  row["writes_per_s"] = writes / elapsed_seconds;
  row["reads_per_s"] = reads / elapsed_seconds;
  row["writes_per_claim"] = writes / count;
  row["reads_per_claim"] = reads / count;
  row["cpu_us_per_claim"] = (CpuSeconds() - cpu_at_start) * 1e6 / count;
  return row;
}

// Fills one partition, then measures the first claim of a successor, which loads the partition.
Json MeasureSuccessor(std::size_t claims) {
  StandInProcess stand_in("tests/key_value_stand_in");
  wagtailwind::SystemClock clock;
  wagtailwind::MetricsRegistry metrics;
  wagtailwind::platform::HttpKeyValueService key_values(stand_in.Address(), metrics);
  wagtailwind::SeededRandomSource random(2);
  const auto commit = [&](ClaimPartitionLog& log, std::size_t count) {
    std::vector<PendingClaim> batch;
    for (std::size_t i = 0; i < count; ++i) {
      const wagtailwind::RequestId hash = random.NewRequestId();
      PendingClaim pending;
      std::ranges::copy(hash, pending.key_hash.begin());
      pending.attempt = random.NewRequestId();
      batch.push_back(pending);
    }
    const auto results = log.Commit(batch);
    return std::ranges::count(results, ClaimResult::kClaimed) == static_cast<long>(count);
  };
  constexpr std::size_t kBatch = 64;
  bool complete = true;
  {
    ClaimPartitionLog first("claims/returns-api/0", key_values, clock);
    for (std::size_t i = 0; i < claims; i += kBatch) {
      complete = commit(first, kBatch) && complete;
    }
  }
  const Json stats_after_fill = FetchStats(stand_in);
  malloc_trim(0);
  const std::size_t heap = HeapBytes();
  ClaimPartitionLog successor("claims/returns-api/0", key_values, clock);
  const double cpu_at_start = CpuSeconds();
  const auto start = SteadyClock::now();
  complete = commit(successor, 1) && complete;
  const auto loaded = SteadyClock::now() - start;
  const Json stats_after_load = FetchStats(stand_in);
  return {{"claims", claims},
          {"complete", complete},
          {"writes_per_claim_when_filled",
           stats_after_fill.value("compare_and_swap", 0.0) / static_cast<double>(claims)},
          {"load_ms", std::chrono::duration<double, std::milli>(loaded).count()},
          {"load_cpu_ms", (CpuSeconds() - cpu_at_start) * 1000},
          {"load_reads", stats_after_load.value("get", 0.0) - stats_after_fill.value("get", 0.0)},
          {"bytes_per_key", static_cast<double>(HeapBytes() - heap) / static_cast<double>(claims)}};
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("claims", "Measures the claim log against the key-value stand-in.");
  auto add = parser.add_options();
  add("rates", "claimed keys per second",
      cxxopts::value<std::vector<int>>()->default_value("10,100,500,1000"));
  add("agents", "service agents, among which the partitions are divided",
      cxxopts::value<std::vector<std::size_t>>()->default_value("1,4"));
  add("seconds", "duration of each run in seconds", cxxopts::value<int>()->default_value("10"));
  add("write-limit", "write limit of the platform per second; 0: unlimited",
      cxxopts::value<int>()->default_value("300"));
  add("partition", "claims in the partition that a successor loads; 0: skip this measurement",
      cxxopts::value<std::size_t>()->default_value("100000"));
  add("help", "print this text");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  wagtailwind::InitialiseLogging(wagtailwind::LogLevel::kError, "claims");
  const seconds duration(arguments["seconds"].as<int>());
  for (const std::size_t agents : arguments["agents"].as<std::vector<std::size_t>>()) {
    for (const int rate : arguments["rates"].as<std::vector<int>>()) {
      std::cout << MeasureRate(agents, rate, duration, arguments["write-limit"].as<int>()).dump()
                << std::endl;
    }
  }
  const auto partition = arguments["partition"].as<std::size_t>();
  if (partition > 0) {
    std::cout << MeasureSuccessor(partition).dump() << std::endl;
  }
  return 0;
}
