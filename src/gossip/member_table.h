#ifndef WAGTAILWIND_GOSSIP_MEMBER_TABLE_H_
#define WAGTAILWIND_GOSSIP_MEMBER_TABLE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "gossip/member_status.h"
#include "gossip/member_view.h"

namespace wagtailwind::gossip {

/// \brief Group of other members from which a random peer is selected.
enum class PeerGroup : std::uint8_t { kOwnZone, kOtherZones, kDead };

/// \brief Data that is needed to send to a member.
struct Peer {
  InstanceName instance;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::uint32_t state_number = 0;
  PeerGroup group = PeerGroup::kOwnZone;
  bool own_zone = false;
  bool own_region = false;
  std::string gossip_address;
  std::string rpc_address;
  SteadyTime first_seen{};
};

/// \brief Change of one member in the table.
struct MemberChange {
  Member member;
  /// State before the change; empty if the incarnation was not known.
  std::optional<MemberState> before;
  /// Whether the change concerns this process, which increased its state number in response.
  bool refuted = false;
};

/// \brief The members of the fleet that are known to this process. Thread-safe.
class MemberTable final : public MemberView {
 public:
  /// Time for which dead members are kept. Long enough that regions that were partitioned for an
  /// hour still know each other's members and contact them again.
  static constexpr std::chrono::hours kTombstoneRetention{6};

  MemberTable(const Member& self, const Clock& clock);
  ~MemberTable() override;

  [[nodiscard]] MemberSnapshot Members() const override;

  /// \brief Returns all members, including dead ones.
  [[nodiscard]] std::vector<Member> AllMembers() const;

  [[nodiscard]] Member Self() const;

  /// \brief Merges a full record; returns nullopt if nothing changed.
  std::optional<MemberChange> Merge(const Member& record);

  /// \brief Merges a state of the incarnation with this MemberKey(); returns nullopt if nothing
  /// changed.
  std::optional<MemberChange> MergeState(std::uint64_t member_key, MemberState state,
                                         std::uint32_t state_number);

  /// \brief Sets this process's RPC address. Must be called before the first message to a peer.
  void SetOwnRpcAddress(const std::string& rpc_address);

  /// \brief Marks this process as leaving.
  std::optional<MemberChange> LeaveSelf();

  [[nodiscard]] std::optional<Member> Find(const InstanceName& instance) const;
  [[nodiscard]] std::optional<Peer> FindPeer(const InstanceName& instance) const;
  [[nodiscard]] std::optional<Peer> RandomPeer(PeerGroup group, RandomSource& random) const;
  [[nodiscard]] std::size_t CountOf(PeerGroup group) const;
  [[nodiscard]] std::array<std::size_t, 4> CountByState() const;

  /// \brief Returns the names of the other members that are not dead.
  [[nodiscard]] std::vector<InstanceName> LivePeerNames() const;

  /// \brief Returns a hash over the members that are not dead; equal in processes whose tables
  /// agree.
  [[nodiscard]] std::uint64_t Digest() const;

  /// \brief Returns how often an instance restarted or changed from dead to another state within
  /// the last `window`.
  [[nodiscard]] std::uint32_t FlapCount(const InstanceName& instance,
                                        std::chrono::seconds window) const;

  /// \brief Removes dead members that are older than the retention; returns their number.
  std::size_t RemoveExpired();

 private:
  struct Entry;

  std::optional<MemberChange> Apply(Entry& entry, const MemberStatus& update)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<MemberChange> ApplyToSelf(Entry& entry, const MemberStatus& update)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<MemberChange> Insert(const Member& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<MemberChange> Replace(Entry& entry, const Member& record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void UpdateGroup(Entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RemoveFromGroup(Entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void SetStatus(Entry& entry, const MemberStatus& status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  [[nodiscard]] Peer ToPeer(const Entry& entry) const;
  [[nodiscard]] std::vector<Entry*>& Group(PeerGroup group) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const Clock& m_clock;
  const InstanceName m_self;
  const AvailabilityZoneName m_zone;
  const RegionName m_region;
  mutable absl::Mutex m_mutex;
  absl::flat_hash_map<InstanceName, std::unique_ptr<Entry>> m_entries ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<std::uint64_t, Entry*> m_by_key ABSL_GUARDED_BY(m_mutex);
  mutable std::array<std::vector<Entry*>, 3> m_groups ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_digest ABSL_GUARDED_BY(m_mutex) = 0;
  mutable MemberSnapshot m_snapshot ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_TABLE_H_
