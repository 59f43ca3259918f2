#ifndef WAGTAILWIND_TESTS_SUPPORT_GOSSIP_CLUSTER_H_
#define WAGTAILWIND_TESTS_SUPPORT_GOSSIP_CLUSTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/random_source.h"
#include "gossip/gossip_node.h"
#include "support/fake_clock.h"

namespace wagtailwind::testing {

/// \brief Configuration replica whose documents and changes consist of a version and padding.
class MemoryReplica final : public records::ConfigurationReplica {
 public:
  explicit MemoryReplica(const Clock& clock) : m_clock(clock) {}

  /// \brief Sets a version as if read from the platform, confirmed now.
  void Publish(records::ConfigurationVersion version, std::size_t change_bytes);

  [[nodiscard]] records::ReplicaDigest Digest() const override;
  [[nodiscard]] std::optional<std::string> ChangeAfter(records::ConfigurationVersion version,
                                                       std::size_t max_bytes) const override;
  [[nodiscard]] std::string Document() const override;
  bool TryApplyChange(std::string_view change) override;
  bool TryApplyDocument(std::string_view document) override;
  void Confirm(records::ConfigurationVersion version, std::chrono::milliseconds age) override;

  /// \brief Returns the number of offers that would have lowered the version.
  [[nodiscard]] std::size_t OlderOffers() const noexcept { return m_older_offers; }

 private:
  [[nodiscard]] static records::ConfigurationVersion Parse(std::string_view text) noexcept;

  const Clock& m_clock;
  records::ConfigurationVersion m_version = 0;
  std::size_t m_change_bytes = 300;
  std::size_t m_older_offers = 0;
  std::optional<SteadyTime> m_confirmed_at;
};

/// \brief Gossip nodes in one process, with a fake clock and a simulated network that delays and
/// loses datagrams.
class GossipCluster {
 public:
  struct Settings {
    std::size_t nodes = 10;
    std::size_t zones = 2;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    /// Probability that a datagram is lost.
    double loss = 0;
    /// Whether all nodes know each other at the start. If not, each knows only the first node, and
    /// the first node knows all.
    bool full_membership = true;
    gossip::GossipSettings gossip = {};
  };

  struct Traffic {
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::uint64_t pulled_tables = 0;
  };

  /// \brief Returns whether a network partition blocks messages from one node to another.
  using PartitionPredicate = std::function<bool(std::size_t from, std::size_t to)>;

  explicit GossipCluster(const Settings& settings);
  ~GossipCluster();

  /// \brief Advances the time in steps of 1 ms; the messages and ticks of a step run in a fixed
  /// order.
  void Run(std::chrono::milliseconds duration);

  /// \brief Runs until the condition holds or `limit` has passed; returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  void Kill(std::size_t index);
  /// \brief Stops a node's ticks and queues its datagrams.
  void Pause(std::size_t index);
  /// \brief Resumes a paused node and delivers the queued datagrams.
  void Resume(std::size_t index);
  /// \brief Replaces a node by a new one with the same name and a higher incarnation, which knows
  /// one other node.
  void Restart(std::size_t index);
  void SetPartition(PartitionPredicate partition) { m_partition = std::move(partition); }
  void SetLoss(double loss) { m_loss = loss; }
  /// \brief Delivers bytes to a node as a received datagram.
  void Inject(std::size_t to, const std::string& bytes);

  [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
  [[nodiscard]] FakeClock& Time() noexcept { return m_clock; }
  [[nodiscard]] gossip::GossipNode& Node(std::size_t index);
  [[nodiscard]] gossip::MemberTable& Table(std::size_t index);
  [[nodiscard]] gossip::LoadTable& Loads(std::size_t index);
  [[nodiscard]] MemoryReplica& Replica(std::size_t index);
  [[nodiscard]] MetricsRegistry& Metrics(std::size_t index);
  [[nodiscard]] Traffic SentBy(std::size_t index) const;
  [[nodiscard]] bool IsAlive(std::size_t index) const;
  [[nodiscard]] InstanceName NameOf(std::size_t index) const;
  /// \brief Returns the state of node `of` in the table of node `table`; kDead if it is not known.
  [[nodiscard]] gossip::MemberState StateIn(std::size_t table, std::size_t of) const;
  [[nodiscard]] std::size_t ZoneOf(std::size_t index) const;
  [[nodiscard]] std::size_t RegionOf(std::size_t index) const;

 private:
  /// A node with its tables, replica and network interface.
  struct Slot;
  using Event = std::function<void()>;

  [[nodiscard]] gossip::Member MakeMember(std::size_t index, Incarnation incarnation) const;
  [[nodiscard]] std::chrono::milliseconds Delay(std::size_t from, std::size_t to);
  [[nodiscard]] bool IsCut(std::size_t from, std::size_t to) const;
  /// Schedules the delivery of a datagram, unless it is lost or blocked by a partition.
  void Post(std::size_t from, std::string_view address, std::string bytes);
  /// Simulates an RPC; calls `done` with the peer, or with null if it is not reachable.
  void Fetch(std::size_t from, const std::string& address, const std::function<void(Slot*)>& done);
  void ScheduleAfter(std::chrono::milliseconds delay, Event event);
  /// Advances the time by 1 ms.
  void Step();

  const Settings m_settings;
  FakeClock m_clock;
  SeededRandomSource m_random;
  double m_loss;
  PartitionPredicate m_partition;
  std::vector<std::unique_ptr<Slot>> m_nodes;
  absl::flat_hash_map<std::string, std::size_t> m_addresses;
  std::map<SteadyTime, std::vector<Event>> m_events;
  std::uint64_t m_step = 0;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_GOSSIP_CLUSTER_H_
