#ifndef WAGTAILWIND_DAEMON_MEMBER_RUNTIME_H_
#define WAGTAILWIND_DAEMON_MEMBER_RUNTIME_H_

#include <functional>
#include <memory>
#include <string>

#include "admin/admin_server.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "daemon/announcing_replica.h"
#include "daemon/configuration_loader.h"
#include "gossip/gossip_node.h"
#include "gossip/instance_list_poller.h"
#include "gossip/load_table.h"
#include "gossip/member_table.h"
#include "gossip/rpc_peer_fetcher.h"
#include "gossip/udp_transport.h"
#include "platform/http_instance_list.h"
#include "platform/http_key_value_service.h"
#include "records/configuration_store.h"
#include "records/configuration_watcher.h"
#include "rpc/event_loop_thread.h"
#include "rpc/wagtailwind.capnp.h"
#include "settings/settings.h"

namespace wagtailwind::daemon {

/// \brief Components shared by routers and agents: clients of the platform's services, the
/// configuration, membership and gossip. The constructor opens the sockets; Start() joins the
/// fleet.
class MemberRuntime {
 public:
  /// \brief `own_load` returns the load of this process and is called only after Start(); it is
  /// empty for routers.
  MemberRuntime(const settings::Settings& settings, gossip::LoadTable::OwnLoad own_load);
  ~MemberRuntime();
  MemberRuntime(const MemberRuntime&) = delete;
  MemberRuntime& operator=(const MemberRuntime&) = delete;

  /// \brief Creates the RPC capability that peers receive.
  [[nodiscard]] rpc::schema::PeerService::Client MakePeerService() const;

  /// \brief Joins the fleet with this RPC address. Calls `on_ready` once, from another thread, when
  /// a configuration to serve with is loaded.
  void Start(const std::string& rpc_address, std::function<void()> on_ready);

  /// \brief Stops all threads of the runtime except the event loop.
  void StopThreads();

  /// \brief Announces to the peers that this process is leaving.
  void Leave();

  [[nodiscard]] bool HasConfiguration() const noexcept;
  [[nodiscard]] std::string GossipAddress() const { return m_transport.LocalAddress(); }
  [[nodiscard]] const gossip::MemberTable& Members() const noexcept { return m_members; }
  [[nodiscard]] const gossip::LoadTable& Loads() const noexcept { return m_loads; }

  /// \brief Returns the sections of the `/state` response that both roles have.
  [[nodiscard]] std::vector<admin::StateSource> StateSources() const;

  const settings::Settings& settings;
  SystemClock clock;
  SeededRandomSource random;
  MetricsRegistry metrics;
  rpc::EventLoopThread loop;
  platform::HttpKeyValueService key_values;
  platform::HttpInstanceList instance_list;
  records::ConfigurationStore configuration;
  const Incarnation incarnation;

 private:
  [[nodiscard]] gossip::Member Self() const;
  [[nodiscard]] std::string DumpInstance() const;
  [[nodiscard]] std::string DumpConfiguration() const;

  // Construction order: each member may use the members above it.
  gossip::UdpTransport m_transport;
  gossip::MemberTable m_members;
  gossip::LoadTable m_loads;
  gossip::RpcPeerFetcher m_fetcher;
  gossip::GossipNode m_node;
  AnnouncingReplica m_replica;
  std::unique_ptr<ConfigurationLoader> m_loader;
  std::unique_ptr<records::ConfigurationWatcher> m_watcher;
  std::unique_ptr<gossip::InstanceListPoller> m_instance_list_poller;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_MEMBER_RUNTIME_H_
