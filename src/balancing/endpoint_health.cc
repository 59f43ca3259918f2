#include "balancing/endpoint_health.h"

#include <chrono>
#include <cmath>

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Some services normally fail one request in seven; at that rate, four consecutive failures are
// rare. The open time is short because a crashed endpoint leaves the list of endpoints within a few
// heartbeats anyway.
constexpr requests::CircuitBreakerSettings kBreaker{
    .failures_to_open = 4, .first_open_time = 500ms, .max_open_time = 4'000ms};

// An engine under load sends an event on some stream much sooner, and a service answers within a
// tenth of this time. An endpoint that loses power is detected this long after its last byte.
constexpr std::chrono::milliseconds kSilenceTimeout = 500ms;

// No requests go to an unreachable endpoint for this time, during which its entry may be removed
// from the list. Each further try costs a request one connection timeout.
constexpr std::chrono::milliseconds kUnresponsiveBackoff = 1'000ms;

// Time constant of the decaying failure rate: covers some tens of requests of one router, and is
// short enough to use an endpoint again soon after it has recovered.
constexpr std::chrono::duration<double> kFailureRateTimeConstant{4.0};

// Successful requests that are added to the recent ones, so that a few failures of a new endpoint
// do not give a high rate.
constexpr double kPriorRequests = 4.0;

}  // namespace

EndpointHealth::EndpointHealth() : m_breaker(kBreaker) {}

void EndpointHealth::Decay(SteadyTime now) noexcept {
  const std::chrono::duration<double> age = now - m_decayed_at;
  const double factor = std::exp(-age / kFailureRateTimeConstant);
  m_failures *= factor;
  m_total *= factor;
  m_decayed_at = now;
}

void EndpointHealth::OnSent(SteadyTime now) noexcept {
  ++m_in_flight;
  m_last_sent = now;
  if (!m_silent_since) {
    m_silent_since = now;
  }
}

void EndpointHealth::OnBytesReceived(SteadyTime now) noexcept {
  if (m_in_flight > 0) {
    m_silent_since = now;
  } else {
    m_silent_since.reset();
  }
}

void EndpointHealth::EndRequest() noexcept { m_in_flight -= m_in_flight > 0 ? 1 : 0; }

void EndpointHealth::OnSuccess(SteadyTime now) noexcept {
  EndRequest();
  OnBytesReceived(now);
  Decay(now);
  m_total += 1;
  m_breaker.OnSuccess();
}

void EndpointHealth::OnFailure(AttemptFailure failure, SteadyTime now) noexcept {
  if (failure == AttemptFailure::kNotConnected) {
    m_unreachable_until = now + kUnresponsiveBackoff;
  } else {
    EndRequest();
  }
  if (failure == AttemptFailure::kErrorResponse) {
    OnBytesReceived(now);
  }
  Decay(now);
  m_total += 1;
  m_failures += 1;
  m_breaker.OnFailure(now);
}

void EndpointHealth::OnInconclusive() noexcept {
  EndRequest();
  m_breaker.OnInconclusive();
}

bool EndpointHealth::IsUnresponsive(SteadyTime now) const noexcept {
  if (now < m_unreachable_until) {
    return true;
  }
  if (!m_silent_since || now - *m_silent_since < kSilenceTimeout) {
    return false;
  }
  // With no request in flight, the endpoint has nothing to send, so a new request has to probe it.
  return m_in_flight > 0 || now - m_last_sent < kUnresponsiveBackoff;
}

double EndpointHealth::FailureRate(SteadyTime now) const noexcept {
  const std::chrono::duration<double> age = now - m_decayed_at;
  const double factor = std::exp(-age / kFailureRateTimeConstant);
  return m_failures * factor / (m_total * factor + kPriorRequests);
}

}  // namespace wagtailwind::balancing
