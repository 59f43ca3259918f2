#include "support/gossip_cluster.h"

#include <charconv>
#include <utility>

#include "gossip/member_status.h"

namespace wagtailwind::testing {

namespace {

using gossip::Member;
using gossip::MemberState;
using records::ConfigurationVersion;
using std::chrono::milliseconds;

// Steps of 1 ms between two ticks of a node.
constexpr std::uint64_t kTickSteps = 100;
constexpr milliseconds kFetchTimeout{3000};
constexpr Incarnation kFirstIncarnation = 1'790'000'000'000'000ULL;

}  // namespace

void MemoryReplica::Publish(ConfigurationVersion version, std::size_t change_bytes) {
  m_version = std::max(m_version, version);
  m_change_bytes = change_bytes;
  m_confirmed_at = m_clock.Now();
}

records::ReplicaDigest MemoryReplica::Digest() const {
  records::ReplicaDigest digest{m_version, std::nullopt};
  if (m_confirmed_at.has_value()) {
    digest.confirmation_age =
        std::chrono::duration_cast<milliseconds>(m_clock.Now() - *m_confirmed_at);
  }
  return digest;
}

std::optional<std::string> MemoryReplica::ChangeAfter(ConfigurationVersion version,
                                                      std::size_t max_bytes) const {
  if (version >= m_version || m_change_bytes > max_bytes) {
    return std::nullopt;
  }
  std::string change = std::to_string(version + 1) + ":";
  change.resize(std::max(change.size(), m_change_bytes), 'x');
  return change;
}

std::string MemoryReplica::Document() const { return std::to_string(m_version) + ":"; }

ConfigurationVersion MemoryReplica::Parse(std::string_view text) noexcept {
  ConfigurationVersion version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

bool MemoryReplica::TryApplyChange(std::string_view change) {
  if (Parse(change) != m_version + 1) {
    m_older_offers += Parse(change) < m_version ? 1 : 0;
    return false;
  }
  m_change_bytes = change.size();
  ++m_version;
  m_confirmed_at.reset();
  return true;
}

bool MemoryReplica::TryApplyDocument(std::string_view document) {
  if (Parse(document) <= m_version) {
    m_older_offers += Parse(document) < m_version ? 1 : 0;
    return false;
  }
  m_version = Parse(document);
  m_confirmed_at.reset();
  return true;
}

void MemoryReplica::Confirm(ConfigurationVersion version, milliseconds age) {
  const SteadyTime at = m_clock.Now() - age;
  if (version == m_version && (!m_confirmed_at.has_value() || at > *m_confirmed_at)) {
    m_confirmed_at = at;
  }
}

struct GossipCluster::Slot final : gossip::DatagramTransport, gossip::PeerFetcher {
  Slot(GossipCluster& owner, std::size_t slot_index, const Member& self)
      : cluster(owner),
        index(slot_index),
        random(owner.m_random.Next()),
        replica(owner.m_clock),
        table(self, owner.m_clock),
        loads(
            table, self.zone, self.endpoint, [slot_index] { return 1000 + slot_index; },
            owner.m_clock) {}

  void StartNode() {
    node = std::make_unique<gossip::GossipNode>(
        gossip::GossipNode::Dependencies{table, loads, replica, cluster.m_clock, random, *this,
                                         *this, metrics},
        cluster.m_settings.gossip);
  }

  void Send(std::string_view address, std::span<const std::byte> bytes) override {
    traffic.bytes += bytes.size() + gossip::kHeaderBytes;
    ++traffic.datagrams;
    cluster.Post(index, address,
                 std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
  }

  void Wake() noexcept override { woken = true; }

  void FetchMembers(const std::string& address, MembersDone done) override {
    ++traffic.pulled_tables;
    cluster.Fetch(index, address, [done = std::move(done)](Slot* peer) {
      done(peer == nullptr ? std::nullopt : std::optional(peer->table.AllMembers()));
    });
  }

  void FetchConfiguration(const std::string& address, ConfigurationVersion after,
                          ConfigurationDone done) override {
    cluster.Fetch(index, address, [after, done = std::move(done)](Slot* peer) {
      if (peer == nullptr) {
        done(std::nullopt);
        return;
      }
      const records::ReplicaDigest digest = peer->replica.Digest();
      done(gossip::FetchedConfiguration{
          digest, digest.version > after ? peer->replica.Document() : std::string()});
    });
  }

  GossipCluster& cluster;
  const std::size_t index;
  SeededRandomSource random;
  MetricsRegistry metrics;
  MemoryReplica replica;
  gossip::MemberTable table;
  gossip::LoadTable loads;
  std::unique_ptr<gossip::GossipNode> node;
  Traffic traffic;
  /// Datagrams that arrived while the node was paused.
  std::vector<std::string> queued;
  bool alive = true;
  bool paused = false;
  bool woken = false;
};

GossipCluster::GossipCluster(const Settings& settings)
    : m_settings(settings), m_random(settings.seed), m_loss(settings.loss) {
  for (std::size_t i = 0; i < settings.nodes; ++i) {
    const Member self = MakeMember(i, kFirstIncarnation + i);
    m_addresses[self.gossip_address] = i;
    m_nodes.push_back(std::make_unique<Slot>(*this, i, self));
  }
  for (std::size_t i = 0; i < settings.nodes; ++i) {
    for (std::size_t j = 0; j < settings.nodes; ++j) {
      if (settings.full_membership || j == 0 || i == 0) {
        m_nodes[i]->table.Merge(MakeMember(j, kFirstIncarnation + j));
      }
    }
    m_nodes[i]->StartNode();
  }
}

GossipCluster::~GossipCluster() = default;

Member GossipCluster::MakeMember(std::size_t index, Incarnation incarnation) const {
  Member member;
  const std::string number = std::to_string(index);
  const std::string host = "10." + std::to_string(index >> 16U) + "." +
                           std::to_string(index >> 8U & 255U) + "." + std::to_string(index & 255U);
  member.instance = InstanceName("instance-" + number);
  member.zone = AvailabilityZoneName("zone-" + std::to_string(ZoneOf(index)));
  member.region = RegionName("region-" + std::to_string(RegionOf(index)));
  member.incarnation = incarnation;
  member.gossip_address = host + ":7000";
  member.rpc_address = member.gossip_address;
  // Three of four processes are agents, similar to a fleet with 1,400 agents in 1,840 processes.
  if (index / m_settings.zones % 4 != 0) {
    member.role = gossip::Role::kAgent;
    member.endpoint =
        gossip::EndpointAdvertisement{.endpoint = EndpointName("endpoint-" + number),
                                      .kind = gossip::EndpointKind::kEngine,
                                      .pool = ServiceName("pool-" + std::to_string(index % 5)),
                                      .capacity = 100'000,
                                      .models = {ModelName("model")}};
  }
  return member;
}

std::size_t GossipCluster::ZoneOf(std::size_t index) const { return index % m_settings.zones; }

std::size_t GossipCluster::RegionOf(std::size_t index) const {
  return ZoneOf(index) % m_settings.regions;
}

milliseconds GossipCluster::Delay(std::size_t from, std::size_t to) {
  if (RegionOf(from) != RegionOf(to)) {
    return milliseconds(40 + m_random.NextBelow(5));
  }
  return milliseconds((ZoneOf(from) == ZoneOf(to) ? 1 : 2) + m_random.NextBelow(2));
}

bool GossipCluster::IsCut(std::size_t from, std::size_t to) const {
  return m_partition && m_partition(from, to);
}

void GossipCluster::ScheduleAfter(milliseconds delay, Event event) {
  m_events[m_clock.Now() + delay].push_back(std::move(event));
}

void GossipCluster::Post(std::size_t from, std::string_view address, std::string bytes) {
  const auto found = m_addresses.find(std::string(address));
  if (found == m_addresses.end() || IsCut(from, found->second) ||
      m_random.NextFraction() < m_loss) {
    return;
  }
  const std::size_t to = found->second;
  ScheduleAfter(Delay(from, to), [this, to, bytes = std::move(bytes)] { Inject(to, bytes); });
}

void GossipCluster::Inject(std::size_t to, const std::string& bytes) {
  Slot& slot = *m_nodes[to];
  if (slot.paused) {
    slot.queued.push_back(bytes);
  } else if (slot.alive) {
    slot.node->Receive(std::as_bytes(std::span(bytes)), "192.0.2.1:9", m_clock.Now());
  }
}

void GossipCluster::Fetch(std::size_t from, const std::string& address,
                          const std::function<void(Slot*)>& done) {
  const auto found = m_addresses.find(std::string(address));
  const bool reached = found != m_addresses.end() && !IsCut(from, found->second) &&
                       m_nodes[found->second]->alive && !m_nodes[found->second]->paused;
  if (!reached) {
    ScheduleAfter(kFetchTimeout, [done] { done(nullptr); });
    return;
  }
  const std::size_t to = found->second;
  // Connecting and the call take one round trip each.
  ScheduleAfter(4 * Delay(from, to),
                [this, to, done] { done(m_nodes[to]->alive ? m_nodes[to].get() : nullptr); });
}

void GossipCluster::Step() {
  m_clock.Advance(milliseconds(1));
  ++m_step;
  while (!m_events.empty() && m_events.begin()->first <= m_clock.Now()) {
    const std::vector<Event> events = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    for (const Event& event : events) {
      event();
    }
  }
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Slot& slot = *m_nodes[i];
    if (slot.alive && !slot.paused && (slot.woken || (m_step + i * 37) % kTickSteps == 0)) {
      slot.woken = false;
      slot.node->Tick(m_clock.Now());
    }
  }
}

void GossipCluster::Run(milliseconds duration) {
  for (milliseconds::rep i = 0; i < duration.count(); ++i) {
    Step();
  }
}

bool GossipCluster::RunUntil(const std::function<bool()>& condition, milliseconds limit) {
  for (milliseconds::rep i = 0; i < limit.count(); ++i) {
    // Conditions inspect all nodes, so they are evaluated only every 10 ms.
    if (i % 10 == 0 && condition()) {
      return true;
    }
    Step();
  }
  return condition();
}

void GossipCluster::Kill(std::size_t index) { m_nodes[index]->alive = false; }

void GossipCluster::Pause(std::size_t index) { m_nodes[index]->paused = true; }

void GossipCluster::Resume(std::size_t index) {
  Slot& slot = *m_nodes[index];
  slot.paused = false;
  for (const std::string& bytes : std::exchange(slot.queued, {})) {
    Inject(index, bytes);
  }
}

void GossipCluster::Restart(std::size_t index) {
  const Incarnation incarnation = m_nodes[index]->table.Self().incarnation + 1'000'000;
  m_nodes[index] = std::make_unique<Slot>(*this, index, MakeMember(index, incarnation));
  const std::size_t other = index == 0 ? 1 : 0;
  m_nodes[index]->table.Merge(m_nodes[other]->table.Self());
  m_nodes[index]->StartNode();
}

gossip::GossipNode& GossipCluster::Node(std::size_t index) { return *m_nodes[index]->node; }

gossip::MemberTable& GossipCluster::Table(std::size_t index) { return m_nodes[index]->table; }

gossip::LoadTable& GossipCluster::Loads(std::size_t index) { return m_nodes[index]->loads; }

MemoryReplica& GossipCluster::Replica(std::size_t index) { return m_nodes[index]->replica; }

MetricsRegistry& GossipCluster::Metrics(std::size_t index) { return m_nodes[index]->metrics; }

GossipCluster::Traffic GossipCluster::SentBy(std::size_t index) const {
  return m_nodes[index]->traffic;
}

bool GossipCluster::IsAlive(std::size_t index) const { return m_nodes[index]->alive; }

InstanceName GossipCluster::NameOf(std::size_t index) const {
  return InstanceName("instance-" + std::to_string(index));
}

MemberState GossipCluster::StateIn(std::size_t table, std::size_t of) const {
  const auto peer = m_nodes[table]->table.FindPeer(NameOf(of));
  return peer.has_value() ? peer->state : MemberState::kDead;
}

}  // namespace wagtailwind::testing
