#include "requests/claim_log.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "core/hash.h"
#include "requests/claim_partition.h"

namespace wagtailwind::requests {

namespace {

using detail::ClaimPartitionLog;
using detail::PendingClaim;

constexpr std::size_t kMaxBatch = 64;
constexpr std::size_t kMaxPending = 4096;

// Minimum time between two commits of a partition; an idle partition commits immediately. For the
// 16 partitions of a service this allows at most 267 writes/s, below the several hundred that the
// key-value service accepts.
constexpr std::chrono::milliseconds kCommitInterval{60};

/// Queue of pending claims of one partition, and its log.
struct Partition {
  Partition(std::string key, platform::KeyValueService& key_values, const Clock& clock)
      : log(std::move(key), key_values, clock) {}

  std::vector<PendingClaim> pending;
  bool committing = false;
  SteadyTime next_commit{};
  // Used without the lock by the worker that commits while `committing` is set.
  ClaimPartitionLog log;
};

class BatchedClaimLog final : public ClaimLog {
 public:
  BatchedClaimLog(const ServiceName& service, platform::KeyValueService& key_values,
                  WorkerPool& workers, const Clock& clock, MetricsRegistry& metrics);
  ~BatchedClaimLog() override;
  BatchedClaimLog(const BatchedClaimLog&) = delete;
  BatchedClaimLog& operator=(const BatchedClaimLog&) = delete;

  void Claim(const OrganisationName& organisation, const RequestKey& key, const RequestId& attempt,
             std::function<void(ClaimResult)> done) override;
  void Abandon(const OrganisationName& organisation, const RequestKey& key,
               const RequestId& attempt) override;

 private:
  [[nodiscard]] bool Enqueue(const OrganisationName& organisation, const RequestKey& key,
                             PendingClaim pending);
  void RunScheduler();
  // Submits the commits that are due; returns the time until the next one.
  [[nodiscard]] absl::Duration StartDueCommits() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CommitPartition(Partition& partition);
  void CountResults(const std::vector<ClaimResult>& results);

  WorkerPool& m_workers;
  const Clock& m_clock;
  Counter& m_claimed;
  Counter& m_taken;
  Counter& m_unavailable;
  DurationSummary& m_commit_seconds;
  absl::Mutex m_mutex;
  absl::CondVar m_changed;
  std::vector<std::unique_ptr<Partition>> m_partitions ABSL_GUARDED_BY(m_mutex);
  std::size_t m_running ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_scheduler;
};

BatchedClaimLog::BatchedClaimLog(const ServiceName& service, platform::KeyValueService& key_values,
                                 WorkerPool& workers, const Clock& clock, MetricsRegistry& metrics)
    : m_workers(workers),
      m_clock(clock),
      m_claimed(metrics.GetCounter("claims_total{result=\"claimed\"}")),
      m_taken(metrics.GetCounter("claims_total{result=\"taken\"}")),
      m_unavailable(metrics.GetCounter("claims_total{result=\"unavailable\"}")),
      m_commit_seconds(metrics.GetDuration("claim_commit_seconds")) {
  for (std::uint32_t i = 0; i < kClaimPartitions; ++i) {
    m_partitions.push_back(std::make_unique<Partition>(
        "claims/" + service.value() + "/" + std::to_string(i), key_values, clock));
  }
  m_scheduler = std::thread([this] { RunScheduler(); });
}

BatchedClaimLog::~BatchedClaimLog() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    m_changed.SignalAll();
    while (m_running > 0) {
      m_changed.Wait(&m_mutex);
    }
  }
  m_scheduler.join();
  for (const std::unique_ptr<Partition>& partition : m_partitions) {
    for (const PendingClaim& pending : partition->pending) {
      pending.done(ClaimResult::kUnavailable);
    }
  }
}

void BatchedClaimLog::Claim(const OrganisationName& organisation, const RequestKey& key,
                            const RequestId& attempt, std::function<void(ClaimResult)> done) {
  if (!Enqueue(organisation, key, {{}, attempt, false, done})) {
    m_unavailable.Add();
    done(ClaimResult::kUnavailable);
  }
}

void BatchedClaimLog::Abandon(const OrganisationName& organisation, const RequestKey& key,
                              const RequestId& attempt) {
  // If the queue is full, the claim remains and the key can't be claimed again, which is safe.
  (void)Enqueue(organisation, key, {{}, attempt, true, [](ClaimResult) {}});
}

bool BatchedClaimLog::Enqueue(const OrganisationName& organisation, const RequestKey& key,
                              PendingClaim pending) {
  pending.key_hash = StableHash128(organisation.value() + '\0' + key.text);
  const std::uint32_t index = ClaimPartition(organisation, key.text);
  const absl::MutexLock lock(&m_mutex);
  Partition& partition = *m_partitions[index];
  if (m_stopping || partition.pending.size() >= kMaxPending) {
    return false;
  }
  partition.pending.push_back(std::move(pending));
  m_changed.SignalAll();
  return true;
}

void BatchedClaimLog::RunScheduler() {
  const absl::MutexLock lock(&m_mutex);
  while (!m_stopping) {
    const absl::Duration wait = StartDueCommits();
    m_changed.WaitWithTimeout(&m_mutex, wait);
  }
}

absl::Duration BatchedClaimLog::StartDueCommits() {
  const SteadyTime now = m_clock.Now();
  absl::Duration wait = absl::Hours(1);
  for (const std::unique_ptr<Partition>& partition : m_partitions) {
    if (partition->pending.empty() || partition->committing) {
      continue;
    }
    if (partition->next_commit > now) {
      wait = std::min(wait, absl::FromChrono(partition->next_commit - now));
      continue;
    }
    partition->committing = true;
    partition->next_commit = now + kCommitInterval;
    ++m_running;
    Partition& due = *partition;
    if (!m_workers.Submit([this, &due] { CommitPartition(due); })) {
      partition->committing = false;
      --m_running;
      wait = std::min(wait, absl::FromChrono(kCommitInterval));
    }
  }
  return wait;
}

void BatchedClaimLog::CommitPartition(Partition& partition) {
  std::vector<PendingClaim> batch;
  {
    const absl::MutexLock lock(&m_mutex);
    const std::size_t count = std::min(partition.pending.size(), kMaxBatch);
    const auto end = partition.pending.begin() + static_cast<std::ptrdiff_t>(count);
    batch.assign(std::make_move_iterator(partition.pending.begin()), std::make_move_iterator(end));
    partition.pending.erase(partition.pending.begin(), end);
  }
  const SteadyTime start = m_clock.Now();
  const std::vector<ClaimResult> results = partition.log.Commit(batch);
  m_commit_seconds.Record(m_clock.Now() - start);
  CountResults(results);
  for (std::size_t i = 0; i < batch.size(); ++i) {
    batch[i].done(results[i]);
  }
  const absl::MutexLock lock(&m_mutex);
  partition.committing = false;
  --m_running;
  m_changed.SignalAll();
}

void BatchedClaimLog::CountResults(const std::vector<ClaimResult>& results) {
  for (const ClaimResult result : results) {
    if (result == ClaimResult::kClaimed) {
      m_claimed.Add();
    } else if (result == ClaimResult::kTaken) {
      m_taken.Add();
    } else {
      m_unavailable.Add();
    }
  }
}

}  // namespace

std::unique_ptr<ClaimLog> MakeClaimLog(const ServiceName& service,
                                       platform::KeyValueService& key_values, WorkerPool& workers,
                                       const Clock& clock, MetricsRegistry& metrics) {
  return std::make_unique<BatchedClaimLog>(service, key_values, workers, clock, metrics);
}

}  // namespace wagtailwind::requests
