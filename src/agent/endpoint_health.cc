#include "agent/endpoint_health.h"

#include <optional>
#include <utility>

#include "absl/time/time.h"
#include "agent/log_events.h"

namespace wagtailwind::agent {

EndpointHealth::EndpointHealth(endpoint::ModelEngine& engine, placement::AdmissionGate& gate,
                               MetricsRegistry& metrics, std::function<void()> on_restart)
    : m_engine(engine),
      m_gate(gate),
      m_health_gauge(metrics.GetGauge("agent_endpoint_healthy")),
      m_on_restart(std::move(on_restart)) {}

EndpointHealth::~EndpointHealth() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void EndpointHealth::Start(std::chrono::milliseconds interval) {
  m_thread = std::thread([this, interval] { Run(interval); });
}

void EndpointHealth::Run(std::chrono::milliseconds interval) {
  bool stopping = false;
  while (!stopping) {
    Check();
    m_mutex.LockWhenWithTimeout(absl::Condition(&m_stopping), absl::FromChrono(interval));
    stopping = m_stopping;
    m_mutex.Unlock();
  }
}

void EndpointHealth::Check() {
  const std::optional<endpoint::EngineStatus> status = m_engine.Status();
  if (!status) {
    SetHealthy(false);
    return;
  }
  if (m_engine_incarnation != status->engine_incarnation) {
    if (!m_engine_incarnation.empty()) {
      Log(kEndpointRestarted, {{"incarnation", status->engine_incarnation}});
      // The engine may have restarted between two checks, so the gate may still treat it as
      // healthy.
      SetHealthy(false);
      m_on_restart();
    }
    m_engine_incarnation = status->engine_incarnation;
  }
  SetHealthy(true);
}

void EndpointHealth::SetHealthy(bool healthy) {
  if (healthy != m_healthy) {
    Log(healthy ? kEndpointHealthy : kEndpointUnhealthy);
  }
  m_healthy = healthy;
  m_health_gauge.Set(healthy ? 1 : 0);
  m_gate.SetHealthy(healthy);
}

}  // namespace wagtailwind::agent
