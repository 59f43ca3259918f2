#include "forward/endpoint_health.h"

#include <chrono>
#include <cmath>

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Four failures in a row are rare by chance at an endpoint that fails one request in seven, the
// usual rate of some services. The open time is short because a crashed endpoint leaves the list of
// endpoints within a few heartbeats anyway.
constexpr requests::CircuitBreakerSettings kBreaker{
    .failures_to_open = 4, .first_open_time = 500ms, .max_open_time = 4'000ms};

// An engine under load makes an event for some stream in far less time, and a service answers
// within a tenth of it. An endpoint that lost power is found this long after its last byte.
constexpr std::chrono::milliseconds kSilence = 500ms;

// An endpoint that can't be connected to gets no requests for this time, in which its entry in the
// list may vanish; each further try costs a request the time of a connection attempt.
constexpr std::chrono::milliseconds kAvoidTime = 1'000ms;

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

void EndpointHealth::OnSent(SteadyTime now) noexcept {
  ++m_waiting;
  m_last_sent = now;
  if (!m_unheard_since) {
    m_unheard_since = now;
  }
}

void EndpointHealth::OnHeard(SteadyTime now) noexcept {
  if (m_waiting > 0) {
    m_unheard_since = now;
  } else {
    m_unheard_since.reset();
  }
}

void EndpointHealth::EndRequest() noexcept { m_waiting -= m_waiting > 0 ? 1 : 0; }

void EndpointHealth::OnSuccess(SteadyTime now) noexcept {
  EndRequest();
  OnHeard(now);
  Decay(now);
  m_total += 1;
  m_breaker.OnSuccess();
}

void EndpointHealth::OnFailure(AttemptFailure failure, SteadyTime now) noexcept {
  if (failure == AttemptFailure::kNotConnected) {
    m_avoided_until = now + kAvoidTime;
  } else {
    EndRequest();
  }
  if (failure == AttemptFailure::kAnswered) {
    OnHeard(now);
  }
  Decay(now);
  m_total += 1;
  m_failures += 1;
  m_breaker.OnFailure(now);
}

void EndpointHealth::OnNeutral() noexcept {
  EndRequest();
  m_breaker.OnNeutral();
}

bool EndpointHealth::IsSilent(SteadyTime now) const noexcept {
  if (now < m_avoided_until) {
    return true;
  }
  if (!m_unheard_since || now - *m_unheard_since < kSilence) {
    return false;
  }
  // Without a waiting request nothing can be heard, so a new one has to find out.
  return m_waiting > 0 || now - m_last_sent < kAvoidTime;
}

double EndpointHealth::FailureRate(SteadyTime now) const noexcept {
  const std::chrono::duration<double> age = now - m_updated;
  const double factor = std::exp(-age / kMemory);
  return m_failures * factor / (m_total * factor + kPriorRequests);
}

}  // namespace wagtailwind::forward
