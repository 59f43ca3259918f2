#ifndef WAGTAILWIND_FORWARD_LOAD_ESTIMATE_H_
#define WAGTAILWIND_FORWARD_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::forward {

/// \brief Load that an endpoint reports with a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// \brief Estimates the number of requests from all routers at one endpoint. The endpoint reports
/// its load with its responses, so a report ages until the next response.
class LoadEstimate {
 public:
  /// \brief Records that this router has sent a request to the endpoint.
  void OnSent() noexcept { ++m_own; }

  /// \brief Records that a request of this router has ended.
  void OnEnded() noexcept { m_own -= m_own > 0 ? 1 : 0; }

  void OnReport(const LoadReport& report, SteadyTime now) noexcept;

  /// \brief Discards the last report, because the load has changed for a known reason.
  void ForgetReport() noexcept { m_reported = false; }

  /// \brief Returns the number of requests of this router at the endpoint.
  [[nodiscard]] std::uint32_t own() const noexcept { return m_own; }

  /// \brief Returns the estimated number of requests of all routers at the endpoint, including
  /// waiting ones. An old report decays towards `typical_others`, the mean number of requests of
  /// other routers per endpoint of the pool.
  [[nodiscard]] double Requests(SteadyTime now, double typical_others = 0) const noexcept;

  /// \brief Returns the requests of other routers at the last report; empty if there was none.
  [[nodiscard]] std::optional<double> ReportedOthers() const noexcept;

 private:
  std::uint32_t m_own = 0;
  std::uint32_t m_own_at_report = 0;
  LoadReport m_report;
  bool m_reported = false;
  SteadyTime m_reported_at{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_LOAD_ESTIMATE_H_
