#ifndef WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "requests/circuit_breaker.h"

namespace wagtailwind::forward {

/// \brief How an attempt at an endpoint failed.
enum class AttemptFailure : std::uint8_t {
  /// The endpoint answered, but with a failure.
  kAnswered,
  /// The connection was lost, or the answer could not be read.
  kLost,
  /// No connection was made.
  kNotConnected,
};

/// \brief Health of an endpoint as this router's own requests show it. Three kinds of evidence
/// count: failures in a row open a circuit breaker; the failure rate tells an endpoint that fails
/// part of its requests from its peers; and one that sends nothing while requests wait is silent.
class EndpointHealth {
 public:
  EndpointHealth();

  /// \brief A request was sent.
  void OnSent(SteadyTime now) noexcept;

  /// \brief Any bytes arrived from the endpoint.
  void OnHeard(SteadyTime now) noexcept;

  /// \name Ends of a request that was sent
  /// @{
  void OnSuccess(SteadyTime now) noexcept;
  void OnFailure(AttemptFailure failure, SteadyTime now) noexcept;

  /// \brief The end says nothing about the endpoint.
  void OnNeutral() noexcept;

  /// \brief An accepted request ended before it was sent.
  void OnNotSent() noexcept { m_breaker.OnNeutral(); }
  /// @}

  /// \brief Whether a request may be sent now. An accepted request must end with one of the calls
  /// above.
  [[nodiscard]] bool TryAcquire(SteadyTime now) noexcept { return m_breaker.TryAcquire(now); }

  /// \brief Share of failures among the recent requests, 0 to 1, pulled to 0 while there are few.
  [[nodiscard]] double FailureRate(SteadyTime now) const noexcept;

  /// \brief Whether requests wait at the endpoint and it has sent nothing for long, or it could
  /// not be connected to a short time ago.
  [[nodiscard]] bool IsSilent(SteadyTime now) const noexcept;

  [[nodiscard]] requests::BreakerState state() const noexcept { return m_breaker.state(); }

 private:
  void Decay(SteadyTime now) noexcept;
  void EndRequest() noexcept;

  requests::CircuitBreaker m_breaker;
  /// Decaying counts.
  double m_failures = 0;
  double m_total = 0;
  SteadyTime m_updated{};

  std::uint32_t m_waiting = 0;
  /// Since when requests wait without a byte from the endpoint; empty: none does.
  std::optional<SteadyTime> m_unheard_since;
  SteadyTime m_last_sent{};
  SteadyTime m_avoided_until{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_HEALTH_H_
