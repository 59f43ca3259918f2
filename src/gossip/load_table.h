#ifndef WAGTAILWIND_GOSSIP_LOAD_TABLE_H_
#define WAGTAILWIND_GOSSIP_LOAD_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "gossip/datagram.h"
#include "gossip/member_view.h"

namespace wagtailwind::gossip {

/// \brief Last reported load of a pool in one zone.
struct PoolLoadSummary {
  std::uint64_t zone_hash = 0;
  std::uint64_t work_tokens = 0;
  std::uint64_t capacity = 0;
  SteadyTime measured_at{};
};

/// \brief Loads of the endpoints in the own zone and pool summaries of the other zones.
/// Thread-safe.
class LoadTable final : public LoadView {
 public:
  /// Entries are removed after this time; decisions use much more recent ones.
  static constexpr std::chrono::seconds kRetention{60};

  /// \brief Returns the current number of waiting and running work tokens of the own endpoint.
  using OwnLoad = std::function<std::uint64_t()>;

  /// \brief `own_endpoint` is empty for routers. `own_load` is called without the lock held.
  LoadTable(const MemberView& members, AvailabilityZoneName own_zone,
            std::optional<EndpointAdvertisement> own_endpoint, OwnLoad own_load,
            const Clock& clock);

  [[nodiscard]] std::vector<LoadEntry> PoolLoad(const ServiceName& pool) const override;

  /// \brief Returns the summaries of a pool in the other zones, of any age.
  [[nodiscard]] std::vector<PoolLoadSummary> PoolSummaries(const ServiceName& pool) const;

  /// \brief Merges a peer's reports; ignores reports that are older than the stored entries.
  void Merge(const std::vector<LoadReport>& loads, const std::vector<PoolReport>& pools);

  /// \brief Returns up to `count` loads to send: the own load, then the most recent entries. Each
  /// earlier transmission of an entry adds to its age in this order.
  [[nodiscard]] std::vector<LoadReport> NextLoads(std::size_t count);

  /// \brief Returns up to `count` summaries of other zones, those with the fewest transmissions
  /// first.
  [[nodiscard]] std::vector<PoolReport> NextPools(std::size_t count);

  /// \brief Computes the summaries of the own zone's pools.
  [[nodiscard]] std::vector<PoolReport> OwnPools() const;

  /// \brief Returns the endpoint hashes and ages of all loads, for the state dump and measurements.
  [[nodiscard]] std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>> Ages() const;

  void RemoveExpired();

 private:
  struct Load {
    std::uint64_t work_tokens = 0;
    SteadyTime measured_at;
    std::uint32_t times_sent = 0;
  };
  struct Pool {
    std::uint64_t work_tokens = 0;
    std::uint64_t capacity = 0;
    SteadyTime measured_at;
    std::uint32_t times_sent = 0;
  };
  using PoolKey = std::pair<std::uint64_t, std::uint64_t>;

  void UpdateOwnLoad();

  const MemberView& m_members;
  const AvailabilityZoneName m_own_zone;
  const std::optional<EndpointAdvertisement> m_own_endpoint;
  const OwnLoad m_own_load;
  const Clock& m_clock;
  mutable absl::Mutex m_mutex;
  absl::flat_hash_map<std::uint32_t, Load> m_loads ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<PoolKey, Pool> m_pools ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_LOAD_TABLE_H_
