#ifndef WAGTAILWIND_BALANCING_LOAD_ESTIMATE_H_
#define WAGTAILWIND_BALANCING_LOAD_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "core/clock.h"

namespace wagtailwind::balancing {

/// \brief Load that an endpoint reports with a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on the endpoint's machine, as a multiple of the usual time; empty if the
  /// endpoint does not report it.
  std::optional<double> pace{};
};

/// \brief Moving average of the load reports of all endpoints of a service, as requests of other
/// routers.
class LoadReportAverage {
 public:
  void OnReport(double others) noexcept;

  /// \brief Returns the average; 0 before the first report.
  [[nodiscard]] double value() const noexcept { return m_value; }

 private:
  double m_value = 0;
  /// Number of reports, up to those that the average covers.
  std::uint32_t m_reports = 0;
};

/// \brief Load of a pool's endpoints, from which that of an endpoint without a recent report is
/// estimated.
struct TypicalLoad {
  /// Mean number of requests of other routers per endpoint of the pool.
  double others = 0;
  std::size_t other_routers = 0;

  /// \brief Returns the expected number of requests of other routers at an endpoint where this
  /// router has `own` requests.
  [[nodiscard]] double ExpectedOthers(double own) const noexcept;
};

/// \brief Estimates the number of requests from all routers at one endpoint. The endpoint reports
/// its load with its responses, so a report ages until the next response.
class LoadEstimate {
 public:
  /// \brief `average` receives the reports of all endpoints of the service.
  explicit LoadEstimate(
      std::shared_ptr<LoadReportAverage> average = std::make_shared<LoadReportAverage>())
      : m_average(std::move(average)) {}

  /// \brief Records that this router has sent a request to the endpoint.
  void OnSent() noexcept { ++m_own; }

  /// \brief Records that a request of this router has ended.
  void OnEnded() noexcept { m_own -= m_own > 0 ? 1 : 0; }

  void OnReport(const LoadReport& report, SteadyTime now) noexcept;

  /// \brief Called when the endpoint's request limit has ended. The prompts that it could not take
  /// return to it from all routers at the same time, so its last report says nothing any more.
  void OnLimitEnded(SteadyTime now) noexcept;

  /// \brief Returns whether a limit ended so recently that the prompts are still returning.
  [[nodiscard]] bool IsReturning(SteadyTime now) const noexcept;

  /// \brief Returns the number of requests of this router at the endpoint.
  [[nodiscard]] std::uint32_t own() const noexcept { return m_own; }

  /// \brief Returns the estimated number of requests of all routers at the endpoint, including
  /// waiting ones. After a request limit, until the next report, it is what is expected from
  /// `typical`; an old report decays towards that.
  [[nodiscard]] double Requests(SteadyTime now, const TypicalLoad& typical = {}) const noexcept;

  /// \brief Returns the standard deviation of the estimate: requests of other routers have come and
  /// gone since the last report. 0 before the first report.
  [[nodiscard]] double Deviation(SteadyTime now, const TypicalLoad& typical) const noexcept;

  /// \brief Returns the average of the newest reports of all endpoints of the service.
  [[nodiscard]] double NewestReports() const noexcept { return m_average->value(); }

  /// \brief Returns the requests of other routers at the last report, reduced in the proportion in
  /// which the load of the pool has fallen since; empty if there is no report.
  [[nodiscard]] std::optional<double> ReportedOthers() const noexcept;

 private:
  [[nodiscard]] double OthersAtReport() const noexcept;
  /// Factor by which the load of the pool has fallen since the last report; 1 if it has risen.
  [[nodiscard]] double PoolChange() const noexcept;

  std::uint32_t m_own = 0;
  std::uint32_t m_own_at_report = 0;
  LoadReport m_report;
  bool m_reported = false;
  SteadyTime m_reported_at{};
  std::optional<SteadyTime> m_limit_ended_at;
  std::shared_ptr<LoadReportAverage> m_average;
  double m_average_at_report = 0;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_LOAD_ESTIMATE_H_
