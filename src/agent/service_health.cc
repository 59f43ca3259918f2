#include "agent/service_health.h"

#include <chrono>

#include "agent/log_events.h"

namespace wagtailwind::agent {

namespace {

// A single refused connection may be a full backlog.
constexpr int kMaxFailures = 3;
constexpr std::chrono::seconds kProbeAfter{2};

}  // namespace

void ServiceHealth::OnReached() {
  const absl::MutexLock lock(&m_mutex);
  if (m_failures >= kMaxFailures) {
    Log(kEndpointHealthy);
    m_closed_at.reset();
    m_gate.SetHealthy(true);
  }
  m_failures = 0;
}

void ServiceHealth::OnNotReached() {
  const absl::MutexLock lock(&m_mutex);
  if (++m_failures < kMaxFailures) {
    return;
  }
  if (m_failures == kMaxFailures) {
    Log(kEndpointUnhealthy);
  }
  m_closed_at = m_clock.Now();
  m_gate.SetHealthy(false);
}

void ServiceHealth::Tick() {
  const absl::MutexLock lock(&m_mutex);
  if (m_closed_at && m_clock.Now() - *m_closed_at >= kProbeAfter) {
    m_closed_at.reset();
    m_gate.SetHealthy(true);
  }
}

}  // namespace wagtailwind::agent
