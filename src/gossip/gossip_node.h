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

/// \brief Timeouts, periods and limits of the gossip protocol.
struct GossipSettings {
  std::chrono::milliseconds probe_period{1000};
  /// Time without an acknowledgement after which two other members are asked to probe the target.
  std::chrono::milliseconds probe_timeout{300};
  /// Time without any acknowledgement after which the target is suspected. An indirect probe
  /// between regions takes 160 ms.
  std::chrono::milliseconds probe_failure_timeout{700};
  /// Time from a failed probe until the suspect is declared dead, unless it refutes.
  std::chrono::milliseconds suspicion_timeout{3000};
  /// Added to the suspicion timeout of members that learned of the suspicion from a peer, so that
  /// a refutation in transit arrives in time.
  std::chrono::milliseconds reported_suspicion_grace{2000};
  /// With 230 processes in a zone, 27 loads every 350 ms are 40% younger than 64 loads every
  /// 700 ms, for 15% more bytes.
  std::chrono::milliseconds push_period{350};
  std::chrono::milliseconds dead_contact_period{5000};
  std::chrono::milliseconds seed_contact_period{5000};
  /// Time for which the membership digests must differ before the member table is pulled.
  std::chrono::milliseconds mismatch_delay{10'000};
  /// A table of 1,840 members is about 200 KB, so pulls every 300 s stay below 0.7 KB/s.
  std::chrono::milliseconds members_pull_period{300'000};
  double bytes_per_second = 1500;
  double burst_bytes = 64 * 1024;
  std::size_t loads_per_push = 27;
};

/// \brief The gossip protocol of one process: failure detection, dissemination and anti-entropy.
///
/// Tick() and Receive() must be called on one thread; the other functions are thread-safe. No lock
/// is held during calls to the transport, the fetcher or the configuration replica.
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

  /// \brief Applies the platform's instance list: contacts unknown instances and marks members as
  /// leaving. Keeps live members that are not in the list.
  void UpdateInstanceList(std::vector<platform::ListedInstance> instances);

  /// \brief Pushes the replica's new version without waiting for the next regular tick.
  void NotifyConfigurationChanged();

  /// \brief Marks this process as leaving and notifies several members immediately.
  void Leave();

  /// \brief Returns the members, loads and versions as JSON text.
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
  /// A probe that this process sent on behalf of another member.
  struct Relay {
    std::string requester_address;
    std::uint32_t requester_sequence = 0;
    SteadyTime expires_at;
  };
  struct Suspicion {
    std::uint64_t member_key = 0;
    std::uint32_t state_number = 0;
    SteadyTime deadline;
    /// Whether a probe by this process failed. If so, the suspect is notified repeatedly until the
    /// deadline, so that it can refute the suspicion.
    bool own_probe_failed = false;
    SteadyTime next_notice;
  };

  /// Queues a command for the next tick, unless the node is destroyed.
  static void Enqueue(const std::shared_ptr<Inbox>& inbox, Command command);
  void RunCommands(SteadyTime now);
  void DetectPause(SteadyTime now);

  // Failure detection (gossip_node_probe.cc).
  void TickProbe(SteadyTime now);
  void StartProbe(SteadyTime now);
  void RequestIndirectProbes(SteadyTime now);
  void FailProbe(SteadyTime now);
  void TickSuspicions(SteadyTime now);
  void NotifySuspect(const InstanceName& instance, SteadyTime now);
  void HandleProbe(const Datagram& datagram, std::string_view address,
                   const std::optional<Peer>& peer, SteadyTime now);
  void HandleAcknowledgement(const Datagram& datagram, SteadyTime now);
  void HandleProbeRequest(const Datagram& datagram, const Peer& peer, SteadyTime now);
  [[nodiscard]] std::optional<Peer> NextProbeTarget();
  [[nodiscard]] std::optional<Peer> SelectTargetInFailingZone();

  // Configuration (gossip_node_configuration.cc).
  void AnnounceConfiguration(SteadyTime now);
  void HandleConfiguration(const Datagram& datagram, const Peer& peer, SteadyTime now);
  void SendMissingChanges(const Peer& peer, records::ConfigurationVersion version, SteadyTime now);
  void RequestMissingChanges(const Datagram& datagram, const Peer& peer, SteadyTime now);
  void PullConfiguration(const Peer& peer, SteadyTime now);
  void ApplyFetchedConfiguration(const std::optional<FetchedConfiguration>& fetched,
                                 SteadyTime requested_at, SteadyTime now);

  // Membership (gossip_node_members.cc).
  void MergeMembership(const Datagram& datagram, SteadyTime now);
  void HandleMemberChange(const MemberChange& change, SteadyTime now);
  void LogChange(const MemberChange& change);
  void CompareDigest(std::uint64_t digest, const Peer& peer, SteadyTime now);
  void PullMembers(const Peer& peer, SteadyTime now);
  void MergeMemberTable(const std::optional<std::vector<Member>>& members, SteadyTime now);
  void TickJoin(SteadyTime now);
  void TickDeadContact(SteadyTime now);
  void ApplyInstanceList(std::vector<platform::ListedInstance> instances, SteadyTime now);
  void NotifyLeaving(const Peer& peer, SteadyTime now);
  void LeaveNow(SteadyTime now);

  // Sending (gossip_node_send.cc).
  void TickPush(SteadyTime now);
  void PushDeaths(SteadyTime now);
  void PushTo(const Peer& peer, SteadyTime now);
  /// Selects a random live member: with probability `own_zone_share` in the own zone, else in
  /// another zone. Falls back to the other group if the first is empty.
  [[nodiscard]] std::optional<Peer> SelectPushTarget(double own_zone_share);
  /// Returns an upper bound of the time that a datagram from a peer spent in transit.
  [[nodiscard]] std::chrono::milliseconds TransitBound(const Peer& peer, SteadyTime now) const;
  /// Returns a datagram with the sender, the configuration digest and the membership digest.
  [[nodiscard]] Datagram MakeDatagram(DatagramKind kind) const;
  /// Adds member changes, loads and pool summaries as far as the size and the budget allow.
  void FillPayload(Datagram& datagram, const Peer& peer, std::size_t max_loads, SteadyTime now);
  /// Adds queued member changes; reduces `room` by their size.
  void AddChanges(Datagram& datagram, std::size_t& room);
  void AddOwnRecord(Datagram& datagram) const;
  /// Sends a datagram, shrunk to the maximum size. Drops it if the byte budget is exhausted.
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

  std::vector<InstanceName> m_probe_targets;
  std::optional<Probe> m_probe;
  SteadyTime m_next_probe;
  absl::flat_hash_map<std::uint32_t, Relay> m_relays;
  absl::flat_hash_map<InstanceName, Suspicion> m_suspicions;

  records::ConfigurationVersion m_announced_version = 0;
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
