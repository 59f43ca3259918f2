#include "gossip/member_table.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace wagtailwind::gossip {

namespace {

constexpr std::size_t kMaxFlapTimes = 8;
constexpr std::size_t kNoPosition = static_cast<std::size_t>(-1);

// Returns the contribution of a member to the digest. A suspect counts as alive, because suspicions
// are short and local. A dead member contributes nothing, because tombstones expire at different
// times in different processes.
std::uint64_t DigestContribution(const Member& member) noexcept {
  if (member.state == MemberState::kDead) {
    return 0;
  }
  const std::uint64_t leaving = member.state == MemberState::kLeaving ? 1 : 0;
  return StableHash(member.instance.value(), member.incarnation * 2 + leaving);
}

MemberStatus StatusOf(const Member& member) noexcept {
  return {member.incarnation, member.state_number, member.state,
          member.state == MemberState::kLeaving};
}

}  // namespace

struct MemberTable::Entry {
  Member member;
  bool has_left = false;
  SteadyTime state_since;
  /// Times of the last restarts and recoveries from kDead.
  std::vector<SteadyTime> flaps;
  PeerGroup group = PeerGroup::kOwnZone;
  /// Index in the list of the group.
  std::size_t position = kNoPosition;

  [[nodiscard]] MemberStatus Status() const noexcept {
    return {member.incarnation, member.state_number, member.state, has_left};
  }

  void AddFlap(SteadyTime now) {
    if (flaps.size() == kMaxFlapTimes) {
      flaps.erase(flaps.begin());
    }
    flaps.push_back(now);
  }
};

MemberTable::MemberTable(const Member& self, const Clock& clock)
    : m_clock(clock), m_self(self.instance), m_zone(self.zone), m_region(self.region) {
  const absl::MutexLock lock(&m_mutex);
  Insert(self);
}

MemberTable::~MemberTable() = default;

Peer MemberTable::ToPeer(const Entry& entry) const {
  const Member& member = entry.member;
  return {.instance = member.instance,
          .incarnation = member.incarnation,
          .state = member.state,
          .state_number = member.state_number,
          .group = entry.group,
          .own_zone = member.zone == m_zone,
          .own_region = member.region == m_region,
          .gossip_address = member.gossip_address,
          .rpc_address = member.rpc_address,
          .first_seen = member.first_seen};
}

std::vector<MemberTable::Entry*>& MemberTable::Group(PeerGroup group) const {
  return m_groups.at(static_cast<std::size_t>(group));
}

MemberSnapshot MemberTable::Members() const {
  const absl::MutexLock lock(&m_mutex);
  if (m_snapshot == nullptr) {
    auto members = std::make_shared<std::vector<Member>>();
    members->reserve(m_entries.size());
    for (const auto& [name, entry] : m_entries) {
      if (entry->member.state != MemberState::kDead) {
        members->push_back(entry->member);
      }
    }
    m_snapshot = std::move(members);
  }
  return m_snapshot;
}

std::vector<Member> MemberTable::AllMembers() const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<Member> members;
  members.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) {
    members.push_back(entry->member);
  }
  return members;
}

Member MemberTable::Self() const {
  const absl::MutexLock lock(&m_mutex);
  return m_entries.at(m_self)->member;
}

std::optional<MemberChange> MemberTable::Merge(const Member& record) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(record.instance);
  if (found == m_entries.end()) {
    return Insert(record);
  }
  Entry& entry = *found->second;
  if (record.incarnation > entry.member.incarnation && record.instance != m_self) {
    return Replace(entry, record);
  }
  return Apply(entry, StatusOf(record));
}

std::optional<MemberChange> MemberTable::MergeState(std::uint64_t member_key, MemberState state,
                                                    std::uint32_t state_number) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_by_key.find(member_key);
  if (found == m_by_key.end()) {
    return std::nullopt;
  }
  Entry& entry = *found->second;
  return Apply(entry, {entry.member.incarnation, state_number, state, false});
}

void MemberTable::SetOwnRpcAddress(const std::string& rpc_address) {
  const absl::MutexLock lock(&m_mutex);
  m_entries.at(m_self)->member.rpc_address = rpc_address;
  m_snapshot = nullptr;
}

std::optional<MemberChange> MemberTable::LeaveSelf() {
  const absl::MutexLock lock(&m_mutex);
  Entry& entry = *m_entries.at(m_self);
  MemberStatus status = entry.Status();
  if (status.state == MemberState::kLeaving) {
    return std::nullopt;
  }
  status.state = MemberState::kLeaving;
  ++status.state_number;
  const MemberState before = entry.member.state;
  SetStatus(entry, status);
  return MemberChange{entry.member, before, false};
}

std::optional<MemberChange> MemberTable::Apply(Entry& entry, const MemberStatus& update) {
  if (entry.member.instance == m_self) {
    return ApplyToSelf(entry, update);
  }
  const MemberStatus before = entry.Status();
  const MemberStatus merged = MergeStatus(before, update);
  if (merged == before) {
    return std::nullopt;
  }
  if (before.state == MemberState::kDead && merged.state != MemberState::kDead) {
    entry.AddFlap(m_clock.Now());
  }
  SetStatus(entry, merged);
  return MemberChange{entry.member, before.state, false};
}

std::optional<MemberChange> MemberTable::ApplyToSelf(Entry& entry, const MemberStatus& update) {
  MemberStatus status = entry.Status();
  // A higher incarnation of this name is a successor that was started while this process was
  // paused. The table keeps the record of this process, so the successor's record is ignored.
  if (update.incarnation != status.incarnation || update.state_number < status.state_number) {
    return std::nullopt;
  }
  const MemberState before = status.state;
  if (update.state == MemberState::kLeaving && before != MemberState::kLeaving) {
    status.state = MemberState::kLeaving;
  } else if (update.state <= before && update.state_number == status.state_number) {
    return std::nullopt;
  }
  status.state_number = update.state_number + 1;
  SetStatus(entry, status);
  return MemberChange{entry.member, before, true};
}

std::optional<MemberChange> MemberTable::Insert(const Member& record) {
  auto entry = std::make_unique<Entry>();
  entry->member = record;
  entry->member.first_seen = m_clock.Now();
  entry->state_since = entry->member.first_seen;
  entry->has_left = record.state == MemberState::kLeaving;
  Entry& inserted = *m_entries.emplace(record.instance, std::move(entry)).first->second;
  m_by_key[MemberKey(record.instance, record.incarnation)] = &inserted;
  m_digest ^= DigestContribution(inserted.member);
  m_snapshot.reset();
  UpdateGroup(inserted);
  return MemberChange{inserted.member, std::nullopt, false};
}

std::optional<MemberChange> MemberTable::Replace(Entry& entry, const Member& record) {
  const SteadyTime now = m_clock.Now();
  m_digest ^= DigestContribution(entry.member);
  m_by_key.erase(MemberKey(entry.member.instance, entry.member.incarnation));
  RemoveFromGroup(entry);
  entry.member = record;
  entry.member.first_seen = now;
  entry.state_since = now;
  entry.has_left = record.state == MemberState::kLeaving;
  entry.AddFlap(now);
  m_by_key[MemberKey(record.instance, record.incarnation)] = &entry;
  m_digest ^= DigestContribution(entry.member);
  m_snapshot.reset();
  UpdateGroup(entry);
  return MemberChange{entry.member, std::nullopt, false};
}

void MemberTable::SetStatus(Entry& entry, const MemberStatus& status) {
  m_digest ^= DigestContribution(entry.member);
  if (entry.member.state != status.state) {
    entry.state_since = m_clock.Now();
  }
  entry.member.state = status.state;
  entry.member.state_number = status.state_number;
  entry.has_left = status.has_left || status.state == MemberState::kLeaving;
  m_digest ^= DigestContribution(entry.member);
  m_snapshot.reset();
  UpdateGroup(entry);
}

void MemberTable::RemoveFromGroup(Entry& entry) {
  if (entry.position == kNoPosition) {
    return;
  }
  std::vector<Entry*>& group = Group(entry.group);
  group[entry.position] = group.back();
  group[entry.position]->position = entry.position;
  group.pop_back();
  entry.position = kNoPosition;
}

void MemberTable::UpdateGroup(Entry& entry) {
  if (entry.member.instance == m_self) {
    return;
  }
  RemoveFromGroup(entry);
  if (entry.member.state == MemberState::kDead) {
    entry.group = PeerGroup::kDead;
  } else {
    entry.group = entry.member.zone == m_zone ? PeerGroup::kOwnZone : PeerGroup::kOtherZones;
  }
  std::vector<Entry*>& group = Group(entry.group);
  entry.position = group.size();
  group.push_back(&entry);
}

std::optional<Member> MemberTable::Find(const InstanceName& instance) const {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(instance);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second->member);
}

std::optional<Peer> MemberTable::FindPeer(const InstanceName& instance) const {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(instance);
  if (found == m_entries.end() || instance == m_self) {
    return std::nullopt;
  }
  return ToPeer(*found->second);
}

std::optional<Peer> MemberTable::RandomPeer(PeerGroup group, RandomSource& random) const {
  const absl::MutexLock lock(&m_mutex);
  const std::vector<Entry*>& entries = Group(group);
  if (entries.empty()) {
    return std::nullopt;
  }
  return ToPeer(*entries[random.NextBelow(entries.size())]);
}

std::size_t MemberTable::CountOf(PeerGroup group) const {
  const absl::MutexLock lock(&m_mutex);
  return Group(group).size();
}

std::array<std::size_t, 4> MemberTable::CountByState() const {
  const absl::MutexLock lock(&m_mutex);
  std::array<std::size_t, 4> counts{};
  for (const auto& [name, entry] : m_entries) {
    ++counts.at(static_cast<std::size_t>(entry->member.state));
  }
  return counts;
}

std::vector<InstanceName> MemberTable::LivePeerNames() const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<InstanceName> names;
  for (const PeerGroup group : {PeerGroup::kOwnZone, PeerGroup::kOtherZones}) {
    for (const Entry* entry : Group(group)) {
      names.push_back(entry->member.instance);
    }
  }
  return names;
}

std::uint64_t MemberTable::Digest() const {
  const absl::MutexLock lock(&m_mutex);
  return m_digest;
}

std::uint32_t MemberTable::FlapCount(const InstanceName& instance,
                                     std::chrono::seconds window) const {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(instance);
  if (found == m_entries.end()) {
    return 0;
  }
  const SteadyTime from = m_clock.Now() - window;
  return static_cast<std::uint32_t>(std::ranges::count_if(
      found->second->flaps, [from](SteadyTime time) { return time >= from; }));
}

std::size_t MemberTable::RemoveExpired() {
  const absl::MutexLock lock(&m_mutex);
  const SteadyTime limit = m_clock.Now() - kTombstoneRetention;
  std::vector<Entry*> expired;
  std::ranges::copy_if(Group(PeerGroup::kDead), std::back_inserter(expired),
                       [limit](const Entry* entry) { return entry->state_since < limit; });
  for (Entry* entry : expired) {
    RemoveFromGroup(*entry);
    m_by_key.erase(MemberKey(entry->member.instance, entry->member.incarnation));
    const InstanceName name = entry->member.instance;
    m_entries.erase(name);
  }
  return expired.size();
}

}  // namespace wagtailwind::gossip
