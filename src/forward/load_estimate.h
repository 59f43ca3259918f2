#ifndef WAGTAILWIND_FORWARD_LOAD_ESTIMATE_H_
#define WAGTAILWIND_FORWARD_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::forward {

/// \brief What an endpoint says of its load.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// \brief Estimate of the requests at one endpoint, from all routers. The endpoint's reports come
/// with its answers, so they age between two answers.
class LoadEstimate {
 public:
  /// \brief This router has sent a request there.
  void OnSent() noexcept { ++m_own; }

  /// \brief A request of this router has ended.
  void OnEnded() noexcept { m_own -= m_own > 0 ? 1 : 0; }

  void OnReport(const LoadReport& report, SteadyTime now) noexcept;

  /// \brief Requests of this router at the endpoint.
  [[nodiscard]] std::uint32_t own() const noexcept { return m_own; }

  /// \brief Requests of all routers at the endpoint, waiting ones included. `typical_others`: what
  /// other routers have at an endpoint of the pool on average, to which an old report is pulled.
  [[nodiscard]] double Requests(SteadyTime now, double typical_others = 0) const noexcept;

  /// \brief Requests of other routers at the last report; empty if there was none.
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
