#include "agent/service_health.h"

#include <chrono>

#include "agent/log_events.h"

namespace wagtailwind::agent {

namespace {

// Consecutive failures that close the gate. A single refused connection may only mean that the
// listen backlog was full.
constexpr int kFailuresToClose = 3;
constexpr std::chrono::seconds kProbeDelay{2};

}  // namespace

void ServiceHealth::OnConnected() {
  const absl::MutexLock lock(&m_mutex);
  if (m_failures >= kFailuresToClose) {
    Log(kEndpointHealthy);
    m_closed_at.reset();
    m_gate.SetHealthy(true);
  }
  m_failures = 0;
}

void ServiceHealth::OnConnectFailure() {
  const absl::MutexLock lock(&m_mutex);
  if (++m_failures < kFailuresToClose) {
    return;
  }
  if (m_failures == kFailuresToClose) {
    Log(kEndpointUnhealthy);
  }
  m_closed_at = m_clock.Now();
  m_gate.SetHealthy(false);
}

void ServiceHealth::Tick() {
  const absl::MutexLock lock(&m_mutex);
  if (m_closed_at && m_clock.Now() - *m_closed_at >= kProbeDelay) {
    m_closed_at.reset();
    m_gate.SetHealthy(true);
  }
}

}  // namespace wagtailwind::agent
