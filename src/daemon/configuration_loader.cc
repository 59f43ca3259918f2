#include "daemon/configuration_loader.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "core/log.h"
#include "core/mutant.h"
#include "daemon/log_events.h"

namespace wagtailwind::daemon {

namespace {

constexpr std::chrono::seconds kPollInterval{1};
constexpr std::size_t kMaxQueriedPeers = 5;
constexpr std::string_view kConfigurationKey = "config";

}  // namespace

/// Responses of peers. Shared with the fetch callbacks, which run on other threads and may outlive
/// the loader.
struct ConfigurationLoader::PeerResponses {
  struct Response {
    InstanceName peer;
    gossip::FetchedConfiguration fetched;
  };

  absl::Mutex mutex;
  std::vector<Response> responses ABSL_GUARDED_BY(mutex);
};

ConfigurationLoader::ConfigurationLoader(const Dependencies& dependencies,
                                         std::function<void()> on_ready)
    : m_dependencies(dependencies),
      m_on_ready(std::move(on_ready)),
      m_initial_load(dependencies.clock.Now()),
      m_peer_responses(std::make_shared<PeerResponses>()),
      m_thread(std::make_unique<PeriodicThread>(kPollInterval, [this] { Poll(); })) {}

ConfigurationLoader::~ConfigurationLoader() = default;

void ConfigurationLoader::Poll() {
  if (m_ready) {
    return;
  }
  QueryPlatform();
  ProcessPeerResponses();
  QueryPeers();
  using Source = records::InitialLoad::Source;
  const records::InitialLoad::Decision decision = m_initial_load.Decide(m_dependencies.clock.Now());
  const records::ConfigurationVersion version = m_dependencies.replica.Digest().version;
  if (IsMutantEnabled("start_without_initial_load") && version != 0) {
    m_ready = true;
    m_on_ready();
    return;
  }
  // Version 0 is the empty configuration, with which no organisation can be served.
  if (decision.source == Source::kNone || version == 0 || version < decision.version) {
    return;
  }
  Log(kConfigurationReady,
      {{"version", version},
       {"source", decision.source == Source::kPlatform ? "platform" : "peer"}});
  m_ready = true;
  m_on_ready();
}

void ConfigurationLoader::QueryPlatform() {
  try {
    const std::optional<platform::VersionedValue> value =
        m_dependencies.key_values.Get(kConfigurationKey);
    if (!value) {
      m_initial_load.PlatformAnswered(0);
      return;
    }
    m_dependencies.replica.TryApplyDocument(value->value);
    m_initial_load.PlatformAnswered(m_dependencies.replica.Digest().version);
  } catch (const Error&) {
    // The platform is unavailable; the decision then depends on the peers.
  }
}

void ConfigurationLoader::QueryPeers() {
  const gossip::MemberSnapshot members = m_dependencies.members.Members();
  std::vector<const gossip::Member*> peers;
  for (const gossip::Member& member : *members) {
    if (member.instance != m_dependencies.self && member.state == gossip::MemberState::kAlive) {
      peers.push_back(&member);
    }
  }
  m_initial_load.SetReachablePeers(peers.size());
  // Queries peers in other availability zones first, so that a part of the fleet that is cut off
  // does not decide alone.
  const auto is_in_other_zone = [&](const gossip::Member* peer) {
    return std::none_of(members->begin(), members->end(), [&](const gossip::Member& member) {
      return member.instance == m_dependencies.self && member.zone == peer->zone;
    });
  };
  std::stable_partition(peers.begin(), peers.end(), is_in_other_zone);
  peers.resize(std::min(peers.size(), kMaxQueriedPeers));
  for (const gossip::Member* peer : peers) {
    m_dependencies.fetcher.FetchConfiguration(
        peer->rpc_address, m_dependencies.replica.Digest().version,
        [responses = m_peer_responses,
         name = peer->instance](std::optional<gossip::FetchedConfiguration> fetched) {
          if (fetched) {
            const absl::MutexLock lock(&responses->mutex);
            responses->responses.push_back({name, std::move(*fetched)});
          }
        });
  }
}

void ConfigurationLoader::ProcessPeerResponses() {
  std::vector<PeerResponses::Response> responses;
  {
    const absl::MutexLock lock(&m_peer_responses->mutex);
    responses.swap(m_peer_responses->responses);
  }
  for (const PeerResponses::Response& response : responses) {
    if (!response.fetched.document.empty()) {
      m_dependencies.replica.TryApplyDocument(response.fetched.document);
    }
    m_initial_load.PeerAnswered(response.peer, response.fetched.digest.version);
  }
}

}  // namespace wagtailwind::daemon
