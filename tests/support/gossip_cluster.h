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

/// \brief A configuration replica whose documents and changes consist of a version and padding.
class MemoryReplica final : public records::ConfigurationReplica {
 public:
  explicit MemoryReplica(const Clock& clock) : m_clock(clock) {}

  /// \brief Takes a version as from the platform, confirmed now.
  void Publish(records::ConfigurationVersion version, std::size_t change_bytes);

  [[nodiscard]] records::ReplicaDigest Digest() const override;
  [[nodiscard]] std::optional<std::string> ChangeAfter(records::ConfigurationVersion version,
                                                       std::size_t max_bytes) const override;
  [[nodiscard]] std::string Document() const override;
  bool OfferChange(std::string_view change) override;
  bool OfferDocument(std::string_view document) override;
  void Confirm(records::ConfigurationVersion version, std::chrono::milliseconds age) override;

  /// \brief Number of offers that would have lowered the version.
  [[nodiscard]] std::size_t OlderOffers() const noexcept { return m_older_offers; }

 private:
  [[nodiscard]] static records::ConfigurationVersion Parse(std::string_view text) noexcept;

  const Clock& m_clock;
  records::ConfigurationVersion m_version = 0;
  std::size_t m_change_bytes = 300;
  std::size_t m_older_offers = 0;
  std::optional<SteadyTime> m_confirmed_at;
};

/// \brief Gossip nodes in one process, on a fake clock, with a network that delays and loses.
class GossipCluster {
 public:
  struct Settings {
    std::size_t nodes = 10;
    std::size_t zones = 2;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    double loss = 0;
    /// All nodes know each other from the start.
    bool acquainted = true;
    gossip::GossipSettings gossip = {};
  };

  struct Traffic {
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::uint64_t pulled_tables = 0;
  };

  /// \brief Whether a message from one node to another is cut off.
  using Cut = std::function<bool(std::size_t from, std::size_t to)>;

  explicit GossipCluster(const Settings& settings);
  ~GossipCluster();

  /// \brief Advances the time; every millisecond's messages and ticks run in a fixed order.
  void Run(std::chrono::milliseconds duration);

  /// \brief Runs until the condition holds, at most for `limit`; false if it does not hold then.
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  void Kill(std::size_t index);
  /// \brief Stops the ticks; datagrams wait.
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  /// \brief Replaces a node by one of the same name with a higher incarnation that knows one other.
  void Restart(std::size_t index);
  void SetCut(Cut cut) { m_cut = std::move(cut); }
  void SetLoss(double loss) { m_loss = loss; }
  /// \brief Delivers bytes as if sent by another node.
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
  /// \brief The state of a node in the table of another; dead if it is not known.
  [[nodiscard]] gossip::MemberState StateIn(std::size_t table, std::size_t of) const;
  [[nodiscard]] std::size_t ZoneOf(std::size_t index) const;
  [[nodiscard]] std::size_t RegionOf(std::size_t index) const;

 private:
  struct Slot;
  using Event = std::function<void()>;

  [[nodiscard]] gossip::Member MakeMember(std::size_t index, Incarnation incarnation) const;
  [[nodiscard]] std::chrono::milliseconds Delay(std::size_t from, std::size_t to);
  [[nodiscard]] bool IsCut(std::size_t from, std::size_t to) const;
  void Post(std::size_t from, std::string_view address, std::string bytes);
  void Fetch(std::size_t from, const std::string& address, const std::function<void(Slot*)>& done);
  void At(std::chrono::milliseconds delay, Event event);
  void Step();

  const Settings m_settings;
  FakeClock m_clock;
  SeededRandomSource m_random;
  double m_loss;
  Cut m_cut;
  std::vector<std::unique_ptr<Slot>> m_nodes;
  absl::flat_hash_map<std::string, std::size_t> m_addresses;
  std::map<SteadyTime, std::vector<Event>> m_events;
  std::uint64_t m_step = 0;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_GOSSIP_CLUSTER_H_
