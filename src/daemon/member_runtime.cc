#include "daemon/member_runtime.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "gossip/configuration_watchers.h"
#include "gossip/peer_service_server.h"

namespace wagtailwind::daemon {

namespace {

/// Returns the start time in milliseconds, followed by random low bits that tell apart two starts
/// within one millisecond.
Incarnation NewIncarnation(const Clock& clock, RandomSource& random) {
  constexpr unsigned int kRandomBits = 16;
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock.WallNow().time_since_epoch())
          .count();
  return static_cast<Incarnation>(milliseconds) << kRandomBits |
         random.NextBelow(std::uint64_t{1} << kRandomBits);
}

const char* RoleName(gossip::Role role) noexcept {
  return role == gossip::Role::kRouter ? "router" : "agent";
}

}  // namespace

MemberRuntime::MemberRuntime(const settings::Settings& daemon_settings,
                             gossip::LoadTable::OwnLoad own_load)
    : settings(daemon_settings),
      random(SeededRandomSource::EntropySeed()),
      key_values(daemon_settings.platform.key_value, metrics),
      instance_list(daemon_settings.platform.instance_list, metrics),
      configuration(clock, metrics),
      incarnation(NewIncarnation(clock, random)),
      m_transport(daemon_settings.listen.gossip),
      m_members(Self(), clock),
      m_loads(m_members, settings.zone, Self().endpoint, std::move(own_load), clock),
      m_fetcher(loop),
      m_node({m_members, m_loads, configuration, clock, random, m_transport, m_fetcher, metrics}),
      m_replica(configuration, m_node) {}

MemberRuntime::~MemberRuntime() { StopThreads(); }

rpc::schema::PeerService::Client MemberRuntime::MakePeerService() const {
  return kj::heap<gossip::PeerServiceServer>(m_members, configuration);
}

void MemberRuntime::Start(const std::string& rpc_address, std::function<void()> on_ready) {
  m_members.SetOwnRpcAddress(rpc_address);
  m_transport.Start(m_node, clock);
  m_instance_list_poller =
      std::make_unique<gossip::InstanceListPoller>(instance_list, m_node, random);
  m_loader = std::make_unique<ConfigurationLoader>(
      ConfigurationLoader::Dependencies{key_values, m_replica, m_members, settings.instance,
                                        m_fetcher, clock},
      std::move(on_ready));
  m_watcher = std::make_unique<records::ConfigurationWatcher>(
      key_values, m_replica,
      [this] {
        return gossip::IsConfigurationWatcher(*m_members.Members(), settings.zone,
                                              settings.instance);
      },
      clock, random, metrics);
}

void MemberRuntime::StopThreads() {
  m_instance_list_poller.reset();
  m_watcher.reset();
  m_loader.reset();
  m_transport.Stop();
}

void MemberRuntime::Leave() { m_node.Leave(); }

bool MemberRuntime::HasConfiguration() const noexcept { return m_loader && m_loader->IsReady(); }

gossip::Member MemberRuntime::Self() const {
  gossip::Member self;
  self.instance = settings.instance;
  self.role = settings.role;
  self.zone = settings.zone;
  self.region = settings.region;
  self.incarnation = incarnation;
  self.gossip_address = GossipAddress();
  self.first_seen = clock.Now();
  if (settings.endpoint) {
    self.endpoint = settings.endpoint->advertisement;
  }
  return self;
}

std::vector<admin::StateSource> MemberRuntime::StateSources() const {
  return {{"instance", [this] { return DumpInstance(); }},
          {"configuration", [this] { return DumpConfiguration(); }},
          {"gossip", [this] { return m_node.DumpState(); }}};
}

std::string MemberRuntime::DumpInstance() const {
  return nlohmann::json{{"name", settings.instance.value()},
                        {"role", RoleName(settings.role)},
                        {"availability_zone", settings.zone.value()},
                        {"region", settings.region.value()},
                        {"incarnation", incarnation},
                        {"configured", HasConfiguration()}}
      .dump();
}

std::string MemberRuntime::DumpConfiguration() const {
  nlohmann::json dump{{"version", configuration.Current()->version}};
  const std::optional<std::chrono::milliseconds> age = configuration.ConfirmationAge();
  dump["confirmation_age_ms"] = age ? nlohmann::json(age->count()) : nlohmann::json();
  return dump.dump();
}

}  // namespace wagtailwind::daemon
