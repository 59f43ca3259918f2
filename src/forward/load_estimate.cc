#include "forward/load_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace wagtailwind::forward {

namespace {

// The requests of other routers turn over in the time of a stream, a few seconds. A report that
// decays with that time makes an endpoint without recent answers attractive again.
constexpr std::chrono::duration<double> kDecayTime{4.0};

// Age up to which a report of waiting requests still describes the queue.
constexpr std::chrono::milliseconds kRecentAge{1'000};

}  // namespace

void LoadEstimate::OnReport(const LoadReport& report, SteadyTime now) noexcept {
  m_report = report;
  m_reported = true;
  m_reported_at = now;
  m_own_at_report = m_own;
}

double LoadEstimate::Requests(SteadyTime now) const noexcept {
  if (!m_reported) {
    return m_own;
  }
  const double total = static_cast<double>(m_report.running) + m_report.waiting;
  const double others = std::max(0.0, total - m_own_at_report);
  const std::chrono::duration<double> age = now - m_reported_at;
  return m_own + others * std::exp(-age / kDecayTime);
}

std::optional<LoadReport> LoadEstimate::Recent(SteadyTime now) const noexcept {
  if (!m_reported || now - m_reported_at > kRecentAge) {
    return std::nullopt;
  }
  return m_report;
}

}  // namespace wagtailwind::forward
