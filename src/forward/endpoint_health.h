#ifndef WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_

#include "core/clock.h"
#include "requests/circuit_breaker.h"

namespace wagtailwind::forward {

/// \brief Health of an endpoint as this router's own requests show it. A circuit breaker stops
/// requests after failures in a row; the failure rate tells an endpoint that fails part of its
/// requests from its peers.
class EndpointHealth {
 public:
  EndpointHealth();

  void OnSuccess(SteadyTime now) noexcept;
  void OnFailure(SteadyTime now) noexcept;

  /// \brief Whether a request may be sent now. An accepted request must end with one of the calls
  /// above or OnNeutral().
  [[nodiscard]] bool TryAcquire(SteadyTime now) noexcept { return m_breaker.TryAcquire(now); }
  void OnNeutral() noexcept { m_breaker.OnNeutral(); }

  /// \brief Share of failures among the recent requests, 0 to 1, pulled to 0 while there are few.
  [[nodiscard]] double FailureRate(SteadyTime now) const noexcept;

  [[nodiscard]] requests::BreakerState state() const noexcept { return m_breaker.state(); }

 private:
  void Decay(SteadyTime now) noexcept;

  requests::CircuitBreaker m_breaker;
  /// Decaying counts.
  double m_failures = 0;
  double m_total = 0;
  SteadyTime m_updated{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_
