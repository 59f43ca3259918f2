#include "gossip/gossip_node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

// Ticks run every 100 ms. After a gap of this length the process was paused, so timers that expired
// in the meantime are no evidence that other members failed.
constexpr milliseconds kMinPause{1000};

constexpr milliseconds kHousekeepingPeriod{5000};

milliseconds RandomDelay(milliseconds period, RandomSource& random) {
  return milliseconds(random.NextBelow(static_cast<std::uint64_t>(period.count())));
}

}  // namespace

struct GossipNode::Inbox {
  absl::Mutex mutex;
  std::vector<Command> commands ABSL_GUARDED_BY(mutex);
  /// Null after the node is destroyed; fetch results may still arrive after that.
  DatagramTransport* transport ABSL_GUARDED_BY(mutex) = nullptr;
};

GossipNode::GossipNode(const Dependencies& dependencies, const GossipSettings& settings)
    : m_members(dependencies.members),
      m_loads(dependencies.loads),
      m_configuration(dependencies.configuration),
      m_random(dependencies.random),
      m_transport(dependencies.transport),
      m_fetcher(dependencies.fetcher),
      m_metrics(dependencies.metrics),
      m_settings(settings),
      m_self(m_members.Self().instance),
      m_incarnation(m_members.Self().incarnation),
      m_inbox(std::make_shared<Inbox>()),
      m_budget(settings.bytes_per_second, settings.burst_bytes) {
  {
    const absl::MutexLock lock(&m_inbox->mutex);
    m_inbox->transport = &m_transport;
  }
  const SteadyTime now = dependencies.clock.Now();
  m_next_probe = now + RandomDelay(m_settings.probe_period, m_random);
  m_next_push = now + RandomDelay(m_settings.push_period, m_random);
  m_next_dead_contact = now + RandomDelay(m_settings.dead_contact_period, m_random);
  m_changes.Add(m_self, true);
}

GossipNode::~GossipNode() {
  const absl::MutexLock lock(&m_inbox->mutex);
  m_inbox->transport = nullptr;
}

void GossipNode::Enqueue(const std::shared_ptr<Inbox>& inbox, Command command) {
  const absl::MutexLock lock(&inbox->mutex);
  if (inbox->transport != nullptr) {
    inbox->commands.push_back(std::move(command));
    inbox->transport->Wake();
  }
}

void GossipNode::RunCommands(SteadyTime now) {
  std::vector<Command> commands;
  {
    const absl::MutexLock lock(&m_inbox->mutex);
    commands.swap(m_inbox->commands);
  }
  for (const Command& command : commands) {
    command(now);
  }
}

void GossipNode::Tick(SteadyTime now) {
  DetectPause(now);
  RunCommands(now);
  AnnounceConfiguration(now);
  TickProbe(now);
  TickSuspicions(now);
  PushDeaths(now);
  TickPush(now);
  TickDeadContact(now);
  TickJoin(now);
  if (now >= m_next_housekeeping) {
    m_next_housekeeping = now + kHousekeepingPeriod;
    m_members.RemoveExpired();
    m_loads.RemoveExpired();
    m_metrics.SetMembers(m_members.CountByState());
    absl::erase_if(m_relays, [now](const auto& relay) { return relay.second.expires_at < now; });
  }
}

void GossipNode::DetectPause(SteadyTime now) {
  const SteadyTime last = std::exchange(m_last_tick, now);
  if (last == SteadyTime{} || now - last < kMinPause) {
    return;
  }
  Log(kProcessPaused, {{"ms", std::chrono::duration_cast<milliseconds>(now - last).count()}});
  m_probe.reset();
  for (auto& [name, suspicion] : m_suspicions) {
    suspicion.deadline += now - last;
  }
}

void GossipNode::Receive(std::span<const std::byte> bytes, std::string_view source,
                         SteadyTime now) {
  const std::optional<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram.has_value() || datagram->sender == m_self) {
    m_metrics.malformed.Add();
    Log(kDatagramDropped, {{"source", source}});
    return;
  }
  m_metrics.CountReceived(datagram->kind, bytes.size());
  const std::optional<Peer> known = m_members.FindPeer(datagram->sender);
  if (known.has_value() && known->incarnation > datagram->sender_incarnation) {
    m_metrics.stale_sender.Add();
    // The sender was paused while its successor started. Its data is ignored, but its probe is
    // acknowledged, because it may still be executing work: the acknowledgement carries the current
    // configuration version, which the sender then pulls.
    HandleProbe(*datagram, source, std::nullopt, now);
    return;
  }
  const bool introduces = std::ranges::any_of(datagram->members, [&datagram](const Member& member) {
    return member.instance == datagram->sender &&
           member.incarnation == datagram->sender_incarnation;
  });
  const bool is_known = known.has_value() && known->incarnation == datagram->sender_incarnation;
  if (!is_known && !introduces) {
    // The sender's record may still be in transit. Its probe is acknowledged so that it does not
    // suspect this process; the rest of the datagram is ignored.
    m_metrics.unknown_sender.Add();
    HandleProbe(*datagram, source, std::nullopt, now);
    return;
  }
  const std::uint32_t own_number = m_members.Self().state_number;
  MergeMembership(*datagram, now);
  const bool refuted = m_members.Self().state_number != own_number;
  const std::optional<Peer> peer = m_members.FindPeer(datagram->sender);
  if (!peer.has_value()) {
    return;
  }
  m_loads.Merge(datagram->loads, datagram->pools);
  HandleConfiguration(*datagram, *peer, now);
  HandleProbe(*datagram, peer->gossip_address, peer, now);
  HandleAcknowledgement(*datagram, now);
  HandleProbeRequest(*datagram, *peer, now);
  PushDeaths(now);
  CompareDigest(datagram->membership_digest, *peer, now);
  const bool is_suspected_or_dead =
      peer->state == MemberState::kDead || peer->state == MemberState::kSuspect;
  if (datagram->introduce || refuted ||
      (is_suspected_or_dead && datagram->kind != DatagramKind::kProbe)) {
    Datagram reply = MakeDatagram(DatagramKind::kPush);
    AddOwnRecord(reply);
    reply.statuses.push_back(
        {MemberKey(peer->instance, peer->incarnation), peer->state, peer->state_number});
    Send(reply, peer->gossip_address, now);
  }
}

void GossipNode::UpdateInstanceList(std::vector<platform::ListedInstance> instances) {
  Enqueue(m_inbox, [this, instances = std::move(instances)](SteadyTime now) {
    ApplyInstanceList(instances, now);
  });
}

void GossipNode::NotifyConfigurationChanged() { m_transport.Wake(); }

void GossipNode::Leave() {
  Enqueue(m_inbox, [this](SteadyTime now) { LeaveNow(now); });
}

std::string GossipNode::DumpState() const {
  nlohmann::ordered_json state;
  const records::ReplicaDigest digest = m_configuration.Digest();
  state["instance"] = m_self.value();
  state["incarnation"] = m_incarnation;
  state["configuration_version"] = digest.version;
  if (digest.confirmation_age.has_value()) {
    state["confirmation_age_ms"] = digest.confirmation_age->count();
  }
  state["membership_digest"] = m_members.Digest();
  state["members"] = nlohmann::ordered_json::array();
  for (const Member& member : m_members.AllMembers()) {
    nlohmann::ordered_json entry{{"instance", member.instance.value()},
                                 {"role", member.role == Role::kRouter ? "router" : "agent"},
                                 {"zone", member.zone.value()},
                                 {"region", member.region.value()},
                                 {"incarnation", member.incarnation},
                                 {"state", StateName(member.state)},
                                 {"state_number", member.state_number},
                                 {"rpc", member.rpc_address},
                                 {"gossip", member.gossip_address}};
    if (member.endpoint.has_value()) {
      entry["endpoint"] = member.endpoint->endpoint.value();
      entry["pool"] = member.endpoint->pool.value();
    }
    state["members"].push_back(std::move(entry));
  }
  state["loads"] = nlohmann::ordered_json::array();
  for (const auto& [hash, age] : m_loads.Ages()) {
    state["loads"].push_back({{"endpoint_hash", hash}, {"age_ms", age.count()}});
  }
  return state.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace wagtailwind::gossip
