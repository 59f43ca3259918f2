#ifndef WAGTAILWIND_BALANCING_ENDPOINT_HEALTH_H_
#define WAGTAILWIND_BALANCING_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "requests/circuit_breaker.h"

namespace wagtailwind::balancing {

/// \brief How an attempt to run a request at an endpoint failed.
enum class AttemptFailure : std::uint8_t {
  /// The endpoint responded with an error.
  kErrorResponse,
  /// The connection was lost, or the response could not be parsed.
  kConnectionLost,
  /// The connection could not be established.
  kNotConnected,
};

/// \brief Tracks the health of an endpoint from the requests of this router. Consecutive failures
/// open a circuit breaker, the failure rate identifies an endpoint that fails more of its requests
/// than its peers, and an endpoint that sends nothing while requests are in flight is unresponsive.
class EndpointHealth {
 public:
  EndpointHealth();

  /// \brief Records that a request was sent.
  void OnSent(SteadyTime now) noexcept;

  /// \brief Records that bytes arrived from the endpoint.
  void OnBytesReceived(SteadyTime now) noexcept;

  /// \name Ends of a request that was sent
  /// @{
  void OnSuccess(SteadyTime now) noexcept;
  void OnFailure(AttemptFailure failure, SteadyTime now) noexcept;

  /// \brief The outcome gives no information about the endpoint.
  void OnInconclusive() noexcept;

  /// \brief A request accepted by TryAcquire() ended before it was sent.
  void OnNotSent() noexcept { m_breaker.OnInconclusive(); }
  /// @}

  /// \brief Returns whether a request may be sent now. Each accepted request must end with one of
  /// the calls above.
  [[nodiscard]] bool TryAcquire(SteadyTime now) noexcept { return m_breaker.TryAcquire(now); }

  /// \brief Returns the share of failures among the recent requests, from 0 to 1, biased towards 0
  /// while there are few.
  [[nodiscard]] double FailureRate(SteadyTime now) const noexcept;

  /// \brief Returns whether the endpoint has sent nothing for some time although requests are in
  /// flight, or a connection to it failed recently.
  [[nodiscard]] bool IsUnresponsive(SteadyTime now) const noexcept;

  [[nodiscard]] requests::BreakerState state() const noexcept { return m_breaker.state(); }

 private:
  void Decay(SteadyTime now) noexcept;
  void EndRequest() noexcept;

  requests::CircuitBreaker m_breaker;
  /// Exponentially decaying counts.
  double m_failures = 0;
  double m_total = 0;
  SteadyTime m_decayed_at{};

  std::uint32_t m_in_flight = 0;
  /// Time since which requests are in flight without a byte from the endpoint; empty if none is in
  /// flight.
  std::optional<SteadyTime> m_silent_since;
  SteadyTime m_last_sent{};
  SteadyTime m_unreachable_until{};
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ENDPOINT_HEALTH_H_
