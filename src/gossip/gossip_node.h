#ifndef WAGTAILWIND_GOSSIP_GOSSIP_NODE_H_
#define WAGTAILWIND_GOSSIP_GOSSIP_NODE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "gossip/byte_budget.h"
#include "gossip/change_queue.h"
#include "gossip/datagram.h"
#include "gossip/datagram_transport.h"
#include "gossip/gossip_metrics.h"
#include "gossip/load_table.h"
#include "gossip/member_table.h"
#include "gossip/peer_fetcher.h"
#include "platform/instance_list.h"
#include "records/configuration_replica.h"

namespace wagtailwind::gossip {

/// \brief Times and bounds of the protocol.
struct GossipSettings {
  std::chrono::milliseconds probe_period{1000};
  /// Without an acknowledgement by then, two other members are asked to probe.
  std::chrono::milliseconds probe_timeout{300};
  /// Without any acknowledgement by then, the member is suspected. An indirect probe between
  /// regions takes 160 ms.
  std::chrono::milliseconds probe_failure{700};
  std::chrono::milliseconds suspicion{3000};
  /// Members that only heard of a suspicion wait this much longer, so that a refutation that is on
  /// its way does not come too late.
  std::chrono::milliseconds hearsay_grace{2000};
  /// With 230 processes in a zone, loads are 40% younger than with 64 loads every 700 ms, for 15%
  /// more bytes.
  std::chrono::milliseconds push_period{350};
  std::chrono::milliseconds dead_contact_period{5000};
  std::chrono::milliseconds seed_contact_period{5000};
  /// A membership digest must differ for this long before the table is pulled.
  std::chrono::milliseconds members_mismatch{10'000};
  /// A table of 1,840 members is about 200 KB, so 300 s keep pulls below 0.7 KB/s.
  std::chrono::milliseconds members_pull_period{300'000};
  double bytes_per_second = 1500;
  double burst_bytes = 64 * 1024;
  std::size_t loads_per_push = 27;
};

/// \brief The gossip protocol of one process: failure detection, dissemination and anti-entropy.
///
/// Tick() and Receive() are called on one thread; the other functions from any thread. No lock is
/// held while the transport, the fetcher or the configuration replica is called.
class GossipNode final : public DatagramHandler {
 public:
  struct Dependencies {
    MemberTable& members;
    LoadTable& loads;
    records::ConfigurationReplica& configuration;
    const Clock& clock;
    RandomSource& random;
    DatagramTransport& transport;
    PeerFetcher& fetcher;
    MetricsRegistry& metrics;
  };

  explicit GossipNode(const Dependencies& dependencies, const GossipSettings& settings = {});
  ~GossipNode() override;

  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  void Tick(SteadyTime now) override;
  void Receive(std::span<const std::byte> bytes, std::string_view source, SteadyTime now) override;

  /// \brief Takes the platform's list: unknown instances are contacted, leaving ones are marked.
  /// Live members that the list lacks are kept.
  void OfferInstances(std::vector<platform::ListedInstance> instances);

  /// \brief The replica has a new version: it is pushed without waiting for the next tick.
  void NotifyConfigurationChanged();

  /// \brief Marks this process as leaving and tells several members at once.
  void Leave();

  /// \brief Members, loads and versions as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  using Command = std::function<void(SteadyTime)>;
  struct Inbox;

  struct Probe {
    Peer target;
    std::uint32_t sequence = 0;
    SteadyTime sent_at;
    bool indirect = false;
  };
  /// A probe on behalf of another member.
  struct Relay {
    std::string requester_address;
    std::uint32_t requester_sequence = 0;
    SteadyTime expires_at;
  };
  struct Suspicion {
    std::uint64_t member_key = 0;
    std::uint32_t state_number = 0;
    SteadyTime deadline;
    /// The own probe failed; the suspect is told until the deadline, so that it can refute.
    bool own = false;
    SteadyTime next_notice;
  };

  static void Deliver(const std::shared_ptr<Inbox>& inbox, Command command);
  void RunCommands(SteadyTime now);
  void DetectPause(SteadyTime now);

  // Failure detection (gossip_node_probe.cc).
  void TickProbe(SteadyTime now);
  void StartProbe(SteadyTime now);
  void RequestIndirectProbes(SteadyTime now);
  void FailProbe(SteadyTime now);
  void TickSuspicions(SteadyTime now);
  void TellSuspect(const InstanceName& instance, SteadyTime now);
  void HandleProbe(const Datagram& datagram, std::string_view address,
                   const std::optional<Peer>& peer, SteadyTime now);
  void HandleAcknowledgement(const Datagram& datagram, SteadyTime now);
  void HandleProbeRequest(const Datagram& datagram, const Peer& peer, SteadyTime now);
  [[nodiscard]] std::optional<Peer> NextProbeTarget();
  [[nodiscard]] std::optional<Peer> TargetInFailingZone();

  // Configuration (gossip_node_configuration.cc).
  void AnnounceConfiguration(SteadyTime now);
  void HandleConfiguration(const Datagram& datagram, const Peer& peer, SteadyTime now);
  void SendMissing(const Peer& peer, records::ConfigurationVersion version, SteadyTime now);
  void RequestNewer(const Datagram& datagram, const Peer& peer, SteadyTime now);
  void PullConfiguration(const Peer& peer, SteadyTime now);
  void TakeConfiguration(const std::optional<FetchedConfiguration>& fetched, SteadyTime asked_at,
                         SteadyTime now);

  // Membership (gossip_node_members.cc).
  void TakeMembers(const Datagram& datagram, SteadyTime now);
  void OnChange(const MemberChange& change, SteadyTime now);
  void LogChange(const MemberChange& change);
  void CompareDigest(std::uint64_t digest, const Peer& peer, SteadyTime now);
  void PullMembers(const Peer& peer, SteadyTime now);
  void TakeTable(const std::optional<std::vector<Member>>& members, SteadyTime now);
  void TickJoin(SteadyTime now);
  void TickDeadContact(SteadyTime now);
  void TakeInstances(std::vector<platform::ListedInstance> instances, SteadyTime now);
  void NotifyLeaving(const Peer& peer, SteadyTime now);
  void LeaveNow(SteadyTime now);

  // Sending (gossip_node_send.cc).
  void TickPush(SteadyTime now);
  void PushDeaths(SteadyTime now);
  void PushTo(const Peer& peer, SteadyTime now);
  [[nodiscard]] std::optional<Peer> PushTarget(double own_zone_share);
  [[nodiscard]] std::chrono::milliseconds TransitBound(const Peer& peer, SteadyTime now) const;
  [[nodiscard]] Datagram Prepare(DatagramKind kind) const;
  void Fill(Datagram& datagram, const Peer& peer, std::size_t max_loads, SteadyTime now);
  void FillChanges(Datagram& datagram, std::size_t& room);
  void AddOwnRecord(Datagram& datagram) const;
  void Send(Datagram& datagram, std::string_view address, SteadyTime now);

  MemberTable& m_members;
  LoadTable& m_loads;
  records::ConfigurationReplica& m_configuration;
  RandomSource& m_random;
  DatagramTransport& m_transport;
  PeerFetcher& m_fetcher;
  GossipMetrics m_metrics;
  const GossipSettings m_settings;
  const InstanceName m_self;
  const Incarnation m_incarnation;
  const std::shared_ptr<Inbox> m_inbox;

  ByteBudget m_budget;
  ChangeQueue m_changes;
  std::uint32_t m_sequence = 0;
  SteadyTime m_last_tick{};

  std::vector<InstanceName> m_targets;
  std::optional<Probe> m_probe;
  SteadyTime m_next_probe;
  absl::flat_hash_map<std::uint32_t, Relay> m_relays;
  absl::flat_hash_map<InstanceName, Suspicion> m_suspicions;

  records::ConfigurationVersion m_announced = 0;
  std::optional<SteadyTime> m_behind_since;
  SteadyTime m_next_request{};
  bool m_pulling_configuration = false;
  SteadyTime m_next_configuration_pull{};

  std::optional<SteadyTime> m_mismatch_since;
  SteadyTime m_next_members_pull{};
  bool m_pulling_members = false;
  bool m_joined = false;
  std::vector<platform::ListedInstance> m_seeds;
  absl::flat_hash_map<InstanceName, Incarnation> m_listed_leaving;

  SteadyTime m_next_push;
  bool m_has_new_deaths = false;
  SteadyTime m_next_death_push{};
  SteadyTime m_next_dead_contact;
  SteadyTime m_next_seed_contact{};
  SteadyTime m_next_housekeeping{};
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_GOSSIP_NODE_H_
