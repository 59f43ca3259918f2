#include "forward/endpoint_health.h"

#include <chrono>
#include <cmath>

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Three failures in a row are rare by chance at an endpoint that fails one request in seven, the
// usual rate of some services. The open time is short because a crashed endpoint leaves the list of
// endpoints within a few heartbeats anyway.
constexpr requests::CircuitBreakerSettings kBreaker{
    .failures_to_open = 4, .first_open_time = 500ms, .max_open_time = 4'000ms};

// Memory of the failure rate: long enough for some tens of requests of one router, short enough to
// use an endpoint again soon after it has recovered.
constexpr std::chrono::duration<double> kMemory{4.0};

// Requests without failure that a new endpoint is credited with.
constexpr double kPriorRequests = 4.0;

}  // namespace

EndpointHealth::EndpointHealth() : m_breaker(kBreaker) {}

void EndpointHealth::Decay(SteadyTime now) noexcept {
  const std::chrono::duration<double> age = now - m_updated;
  const double factor = std::exp(-age / kMemory);
  m_failures *= factor;
  m_total *= factor;
  m_updated = now;
}

void EndpointHealth::OnSuccess(SteadyTime now) noexcept {
  Decay(now);
  m_total += 1;
  m_breaker.OnSuccess();
}

void EndpointHealth::OnFailure(SteadyTime now) noexcept {
  Decay(now);
  m_total += 1;
  m_failures += 1;
  m_breaker.OnFailure(now);
}

double EndpointHealth::FailureRate(SteadyTime now) const noexcept {
  const std::chrono::duration<double> age = now - m_updated;
  const double factor = std::exp(-age / kMemory);
  return m_failures * factor / (m_total * factor + kPriorRequests);
}

}  // namespace wagtailwind::forward
