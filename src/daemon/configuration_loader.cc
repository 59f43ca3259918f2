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

constexpr std::chrono::seconds kStepInterval{1};
constexpr std::size_t kMaxPeersAsked = 5;
constexpr std::string_view kConfigurationKey = "config";

}  // namespace

/// Answers arrive on other threads, possibly after the loader has ended.
struct ConfigurationLoader::PeerAnswers {
  struct Answer {
    InstanceName peer;
    gossip::FetchedConfiguration fetched;
  };

  absl::Mutex mutex;
  std::vector<Answer> answers ABSL_GUARDED_BY(mutex);
};

ConfigurationLoader::ConfigurationLoader(const Parts& parts, std::function<void()> on_ready)
    : m_parts(parts),
      m_on_ready(std::move(on_ready)),
      m_decision(parts.clock.Now()),
      m_answers(std::make_shared<PeerAnswers>()),
      m_thread(std::make_unique<PeriodicThread>(kStepInterval, [this] { Step(); })) {}

ConfigurationLoader::~ConfigurationLoader() = default;

void ConfigurationLoader::Step() {
  if (m_ready) {
    return;
  }
  AskPlatform();
  TakePeerAnswers();
  AskPeers();
  using Source = records::InitialLoad::Source;
  const records::InitialLoad::Decision decision = m_decision.Decide(m_parts.clock.Now());
  const records::ConfigurationVersion version = m_parts.replica.Digest().version;
  if (IsMutantEnabled("start_without_initial_load") && version != 0) {
    m_ready = true;
    m_on_ready();
    return;
  }
  // Version 0 is an empty configuration: no organisation could be served with it.
  if (decision.source == Source::kNone || version == 0 || version < decision.version) {
    return;
  }
  Log(kConfigurationReady,
      {{"version", version},
       {"source", decision.source == Source::kPlatform ? "platform" : "peer"}});
  m_ready = true;
  m_on_ready();
}

void ConfigurationLoader::AskPlatform() {
  try {
    const std::optional<platform::VersionedValue> value = m_parts.key_values.Get(kConfigurationKey);
    if (!value) {
      m_decision.PlatformAnswered(0);
      return;
    }
    m_parts.replica.TryApplyDocument(value->value);
    m_decision.PlatformAnswered(m_parts.replica.Digest().version);
  } catch (const Error&) {
    // The platform is down: the peers decide.
  }
}

void ConfigurationLoader::AskPeers() {
  const gossip::MemberSnapshot members = m_parts.members.Members();
  std::vector<const gossip::Member*> peers;
  for (const gossip::Member& member : *members) {
    if (member.instance != m_parts.self && member.state == gossip::MemberState::kAlive) {
      peers.push_back(&member);
    }
  }
  m_decision.SetReachablePeers(peers.size());
  // Peers of other zones first: a part of the fleet that is cut off must not decide alone.
  const auto own_zone_last = [&](const gossip::Member* peer) {
    return std::none_of(members->begin(), members->end(), [&](const gossip::Member& member) {
      return member.instance == m_parts.self && member.zone == peer->zone;
    });
  };
  std::stable_partition(peers.begin(), peers.end(), own_zone_last);
  peers.resize(std::min(peers.size(), kMaxPeersAsked));
  for (const gossip::Member* peer : peers) {
    m_parts.fetcher.FetchConfiguration(peer->rpc_address, m_parts.replica.Digest().version,
                                       [answers = m_answers, name = peer->instance](
                                           std::optional<gossip::FetchedConfiguration> fetched) {
                                         if (fetched) {
                                           const absl::MutexLock lock(&answers->mutex);
                                           answers->answers.push_back({name, std::move(*fetched)});
                                         }
                                       });
  }
}

void ConfigurationLoader::TakePeerAnswers() {
  std::vector<PeerAnswers::Answer> answers;
  {
    const absl::MutexLock lock(&m_answers->mutex);
    answers.swap(m_answers->answers);
  }
  for (const PeerAnswers::Answer& answer : answers) {
    if (!answer.fetched.document.empty()) {
      m_parts.replica.TryApplyDocument(answer.fetched.document);
    }
    m_decision.PeerAnswered(answer.peer, answer.fetched.digest.version);
  }
}

}  // namespace wagtailwind::daemon
