#include "forward/load_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace wagtailwind::forward {

namespace {

// The requests behind a report end within seconds, but the popularity of the prompts that an
// endpoint is preferred for lasts. In a large fleet, a router gets a report from each endpoint only
// every ten seconds or more; if reports decayed faster, the load bound would have no effect.
constexpr std::chrono::duration<double> kDecayTime{10.0};

}  // namespace

void LoadEstimate::OnReport(const LoadReport& report, SteadyTime now) noexcept {
  m_report = report;
  m_reported = true;
  m_reported_at = now;
  m_own_at_report = m_own;
}

std::optional<double> LoadEstimate::ReportedOthers() const noexcept {
  if (!m_reported) {
    return std::nullopt;
  }
  const double total = static_cast<double>(m_report.running) + m_report.waiting;
  return std::max(0.0, total - m_own_at_report);
}

double LoadEstimate::Requests(SteadyTime now, double typical_others) const noexcept {
  const std::optional<double> others = ReportedOthers();
  if (!others) {
    return m_own;
  }
  const std::chrono::duration<double> age = now - m_reported_at;
  return m_own + typical_others + (*others - typical_others) * std::exp(-age / kDecayTime);
}

}  // namespace wagtailwind::forward
