#include "balancing/load_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

// The requests behind a report end within seconds, but the popularity of the prompts that an
// endpoint is preferred for lasts. In a large fleet, a router gets a report from each endpoint only
// every ten seconds or more; if reports decayed faster, the load bound would have no effect.
constexpr std::chrono::duration<double> kDecayTime{10.0};

// Reports in the average of a pool, which each router of a large fleet receives within one or two
// seconds. Fewer would add the differences between the endpoints to a change of the load.
constexpr std::uint32_t kAveragedReports = 12;

// Added to both averages of a ratio, which says little while the endpoints are almost idle.
constexpr double kIdleLoad = 1.0;

// Time in which most of the requests behind a report have ended. After it, the number of the others
// varies around its estimate like that of a Poisson process.
constexpr std::chrono::duration<double> kTurnoverTime{2.0};

// Shape of the gamma distribution of the endpoints' loads: some prompts are much more popular than
// others. With a larger one, the requests of this router would say less of those of the others.
constexpr double kPopularityShape = 2.0;

// Time until the routers of a large fleet have a report of each endpoint that is much in demand.
constexpr std::chrono::seconds kReturnTime{10};

}  // namespace

void LoadReportAverage::OnReport(double others) noexcept {
  m_reports = std::min(m_reports + 1, kAveragedReports);
  m_value += (others - m_value) / m_reports;
}

void LoadEstimate::OnReport(const LoadReport& report, SteadyTime now) noexcept {
  m_report = report;
  m_reported = true;
  m_reported_at = now;
  m_own_at_report = m_own;
  m_average->OnReport(OthersAtReport());
  m_average_at_report = m_average->value();
}

void LoadEstimate::OnLimitEnded(SteadyTime now) noexcept {
  m_reported = false;
  m_limit_ended_at = now;
}

bool LoadEstimate::IsReturning(SteadyTime now) const noexcept {
  return m_limit_ended_at && now - *m_limit_ended_at < kReturnTime &&
         !IsMutantEnabled("forwarder_returns_prompts_at_once");
}

double LoadEstimate::OthersAtReport() const noexcept {
  const double total = static_cast<double>(m_report.running) + m_report.waiting;
  return std::max(0.0, total - m_own_at_report);
}

double LoadEstimate::PoolChange() const noexcept {
  return std::min(1.0, (m_average->value() + kIdleLoad) / (m_average_at_report + kIdleLoad));
}

std::optional<double> LoadEstimate::ReportedOthers() const noexcept {
  if (!m_reported) {
    return std::nullopt;
  }
  return OthersAtReport() * PoolChange();
}

double TypicalLoad::ExpectedOthers(double own) const noexcept {
  if (others <= 0 || other_routers == 0) {
    return others;
  }
  // Mean of the posterior of a gamma-Poisson model: the load that a router causes at an endpoint
  // has a gamma distribution around the pool's mean, and this router's requests are a sample of it.
  const auto routers = static_cast<double>(other_routers);
  return routers * (kPopularityShape + own) / (kPopularityShape * routers / others + 1);
}

double LoadEstimate::Requests(SteadyTime now, const TypicalLoad& typical) const noexcept {
  const double expected = typical.ExpectedOthers(m_own);
  const std::optional<double> reported = ReportedOthers();
  if (!reported) {
    // An endpoint that has not reported yet counts as idle: while most have not, as after a start
    // of the router, this keeps the mean and the load bounds low.
    return m_own + (m_limit_ended_at ? expected : 0);
  }
  // A fall of the pool's load explains that a report is too high, not that the endpoint has less
  // than the others.
  const double others = std::max(*reported, std::min(OthersAtReport(), typical.others));
  const std::chrono::duration<double> age = now - m_reported_at;
  return m_own + expected + (others - expected) * std::exp(-age / kDecayTime);
}

double LoadEstimate::Deviation(SteadyTime now, const TypicalLoad& typical) const noexcept {
  if (!m_reported) {
    return 0;
  }
  const std::chrono::duration<double> age = now - m_reported_at;
  const double others = std::max(0.0, Requests(now, typical) - m_own);
  return std::sqrt(others * (1 - std::exp(-age / kTurnoverTime)));
}

}  // namespace wagtailwind::balancing
