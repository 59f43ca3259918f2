#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/worker_pool.h"
#include "daemon/daemon_process.h"
#include "daemon/member_runtime.h"
#include "placement/candidate_selector.h"
#include "router/http_front_end.h"
#include "router/request_flow.h"
#include "rpc/agent_client.h"
#include "rpc/bootstrap_listener.h"

namespace wagtailwind::daemon {

namespace {

constexpr std::size_t kMaxQueuedJobs = 8192;

router::HttpFrontEndSettings FrontEndSettings(const settings::Settings& settings) {
  router::HttpFrontEndSettings front_end;
  front_end.listen = settings.listen.http;
  front_end.max_body_bytes = settings.limits.max_body_bytes;
  front_end.max_header_bytes = settings.limits.max_header_bytes;
  front_end.max_connections = settings.limits.max_connections;
  return front_end;
}

router::RequestFlowSettings FlowSettings(Incarnation incarnation) {
  router::RequestFlowSettings flow;
  flow.incarnation = incarnation;
  return flow;
}

class RouterProcess final : public DaemonProcess {
 public:
  explicit RouterProcess(const settings::Settings& settings)
      : m_settings(settings),
        m_runtime(settings, nullptr),
        m_listener(m_runtime.loop, settings.listen.rpc,
                   {nullptr, [this] { return m_runtime.MakePeerService(); }}),
        m_selector(
            placement::MakeCandidateSelector({settings.zone, settings.region}, m_runtime.random)),
        m_agents(m_runtime.loop, rpc::AgentClientSettings{}, m_runtime.metrics),
        m_workers(std::make_unique<WorkerPool>(settings.workers, kMaxQueuedJobs)),
        m_flow(FlowSettings(m_runtime.incarnation),
               {m_runtime.loop, m_agents, *m_workers, m_runtime.configuration, m_runtime.Members(),
                *m_selector, m_runtime.clock, m_runtime.random, m_runtime.metrics}),
        m_front_end(FrontEndSettings(settings), m_flow, m_runtime.metrics),
        m_admin(
            settings.listen.admin, m_runtime.metrics, [this] { return m_front_end.IsReady(); },
            StateSources()) {
    m_runtime.Start(m_listener.Address(), [this] { m_front_end.SetReady(true); });
  }

  ~RouterProcess() override {
    m_runtime.StopThreads();
    // Queued jobs use m_flow, so they must finish before it is destroyed.
    m_workers.reset();
  }

  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  [[nodiscard]] std::string ReadyLine() const override {
    return nlohmann::json{{"ready", true},
                          {"http", m_front_end.Address()},
                          {"rpc", m_listener.Address()},
                          {"gossip", m_runtime.GossipAddress()},
                          {"admin", m_admin.Address()}}
        .dump();
  }

  [[nodiscard]] bool Stop() override {
    m_runtime.Leave();
    return m_front_end.Stop(m_settings.limits.balancer_delay, m_settings.limits.drain_timeout)
               .terminated_requests == 0;
  }

 private:
  [[nodiscard]] std::vector<admin::StateSource> StateSources() const {
    std::vector<admin::StateSource> sources = m_runtime.StateSources();
    sources.push_back({"flow", [this] { return m_flow.DumpState(); }});
    sources.push_back({"front_end", [this] { return m_front_end.DumpState(); }});
    return sources;
  }

  // Construction order: each member may use the members above it.
  const settings::Settings& m_settings;
  MemberRuntime m_runtime;
  rpc::BootstrapListener m_listener;
  std::unique_ptr<placement::CandidateSelector> m_selector;
  rpc::AgentClient m_agents;
  std::unique_ptr<WorkerPool> m_workers;
  router::RequestFlow m_flow;
  router::HttpFrontEnd m_front_end;
  admin::AdminServer m_admin;
};

}  // namespace

std::unique_ptr<DaemonProcess> StartRouter(const settings::Settings& settings) {
  return std::make_unique<RouterProcess>(settings);
}

}  // namespace wagtailwind::daemon
