#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/agent_server.h"
#include "agent/endpoint_health.h"
#include "core/periodic_thread.h"
#include "core/worker_pool.h"
#include "daemon/daemon_process.h"
#include "daemon/engine_orders.h"
#include "daemon/log_events.h"
#include "daemon/member_runtime.h"
#include "endpoint/http_model_engine.h"
#include "endpoint/http_plain_service.h"
#include "placement/admission_gate.h"
#include "placement/home_pointers.h"
#include "requests/claim_log.h"

namespace wagtailwind::daemon {

namespace {

// Calls to the key-value service block for seconds when it is slow. They run in a thread pool of
// their own, so that repeatable calls don't wait behind claims.
constexpr std::size_t kPlatformThreads = 4;
constexpr std::size_t kMaxQueuedCommits = 64;

// 4.8 million chats over 1,400 replicas are about 3,400 per replica; five times as many take 1 MB.
constexpr std::size_t kMaxHomePointers = 17'000;

constexpr std::chrono::milliseconds kHealthInterval{500};
constexpr std::chrono::milliseconds kLeavingCheckInterval{500};

class AgentProcess final : public DaemonProcess {
 public:
  explicit AgentProcess(const settings::Settings& settings)
      : m_settings(settings),
        m_runtime(settings, [this] { return m_gate->Load().work_tokens; }),
        m_platform_workers(kPlatformThreads, kMaxQueuedCommits),
        m_gate(placement::MakeAdmissionGate(Advertisement(), settings.zone, settings.placement,
                                            m_runtime.Loads(), m_runtime.configuration,
                                            m_runtime.clock)),
        m_homes(placement::MakeHomePointers(kMaxHomePointers, m_runtime.clock)) {
    CreateEndpointClient();
    m_flow = std::make_unique<agent::ExecutionFlow>(FlowDependencies(), FlowSettings());
    m_server = std::make_unique<agent::AgentServer>(m_runtime.loop, *m_flow, settings.listen.rpc,
                                                    [this] { return m_runtime.MakePeerService(); });
    m_admin = std::make_unique<admin::AdminServer>(
        settings.listen.admin, m_runtime.metrics,
        [this] { return m_runtime.HasConfiguration() && !m_stopping; }, StateSources());
    m_runtime.Start(m_server->Address(), [] {});
    StartEndpointThreads();
  }

  ~AgentProcess() override {
    m_leaving_check.reset();
    m_version_updater.reset();
    m_health.reset();
    m_runtime.StopThreads();
  }

  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  [[nodiscard]] std::string ReadyLine() const override {
    return nlohmann::json{{"ready", true},
                          {"rpc", m_server->Address()},
                          {"gossip", m_runtime.GossipAddress()},
                          {"admin", m_admin->Address()}}
        .dump();
  }

  [[nodiscard]] bool Stop() override {
    m_stopping = true;
    m_gate->Close();
    m_runtime.Leave();
    return m_server->Drain(m_settings.limits.drain_timeout);
  }

 private:
  [[nodiscard]] const gossip::EndpointAdvertisement& Advertisement() const noexcept {
    return m_settings.endpoint->advertisement;
  }

  void CreateEndpointClient() {
    const std::string& address = m_settings.endpoint->address;
    if (Advertisement().kind == gossip::EndpointKind::kEngine) {
      m_engine = std::make_unique<endpoint::HttpModelEngine>(address, m_transfers);
      return;
    }
    m_service = std::make_unique<endpoint::HttpPlainService>(address, m_transfers);
    m_claims = requests::MakeClaimLog(Advertisement().pool, m_runtime.key_values,
                                      m_platform_workers, m_runtime.clock, m_runtime.metrics);
  }

  [[nodiscard]] agent::FlowDependencies FlowDependencies() {
    return {*m_gate,         *m_homes,         m_runtime.configuration,
            m_runtime.clock, m_runtime.random, m_runtime.metrics,
            m_engine.get(),  m_service.get(),  m_claims.get()};
  }

  [[nodiscard]] agent::FlowSettings FlowSettings() const {
    agent::FlowSettings flow;
    flow.endpoint = Advertisement();
    flow.incarnation = m_runtime.incarnation;
    return flow;
  }

  void StartEndpointThreads() {
    // The platform's instance list may mark this instance as leaving before an operator or a signal
    // stops it.
    m_leaving_check = std::make_unique<PeriodicThread>(kLeavingCheckInterval, [this] {
      if (m_runtime.Members().Self().state == gossip::MemberState::kLeaving) {
        m_gate->Close();
      }
    });
    if (m_engine == nullptr) {
      return;
    }
    m_health = std::make_unique<agent::EndpointHealth>(*m_engine, *m_gate, m_runtime.metrics,
                                                       [this] { m_flow->OnEngineRestarted(); });
    m_health->Start(kHealthInterval);
    m_version_updater =
        std::make_unique<EngineVersionUpdater>(Advertisement(), *m_engine, m_runtime.key_values,
                                               m_runtime.random, m_runtime.configuration);
  }

  [[nodiscard]] std::vector<admin::StateSource> StateSources() const {
    std::vector<admin::StateSource> sources = m_runtime.StateSources();
    sources.push_back({"agent", [this] { return m_server->DumpState(); }});
    return sources;
  }

  // Construction order: each member may use the members above it.
  const settings::Settings& m_settings;
  MemberRuntime m_runtime;
  WorkerPool m_platform_workers;
  endpoint::TransferLoop m_transfers;
  std::unique_ptr<placement::AdmissionGate> m_gate;
  std::unique_ptr<placement::HomePointers> m_homes;
  std::unique_ptr<endpoint::HttpModelEngine> m_engine;
  std::unique_ptr<endpoint::HttpPlainService> m_service;
  std::unique_ptr<requests::ClaimLog> m_claims;
  std::unique_ptr<agent::ExecutionFlow> m_flow;
  std::unique_ptr<agent::AgentServer> m_server;
  std::atomic<bool> m_stopping{false};
  std::unique_ptr<admin::AdminServer> m_admin;
  std::unique_ptr<agent::EndpointHealth> m_health;
  std::unique_ptr<EngineVersionUpdater> m_version_updater;
  std::unique_ptr<PeriodicThread> m_leaving_check;
};

}  // namespace

std::unique_ptr<DaemonProcess> StartAgent(const settings::Settings& settings) {
  return std::make_unique<AgentProcess>(settings);
}

}  // namespace wagtailwind::daemon
