#include "requests/circuit_breaker.h"

#include <algorithm>

namespace wagtailwind::requests {

bool CircuitBreaker::TryAcquire(SteadyTime now) noexcept {
  if (m_state == BreakerState::kClosed) {
    return true;
  }
  if (m_state == BreakerState::kOpen && now >= m_open_until) {
    m_state = BreakerState::kHalfOpen;
  }
  if (m_state == BreakerState::kOpen || m_probing) {
    return false;
  }
  m_probing = true;
  return true;
}

void CircuitBreaker::OnSuccess() noexcept {
  // An attempt that started before the breaker opened may succeed late. Only a probe closes an open
  // breaker.
  if (m_state == BreakerState::kOpen) {
    return;
  }
  m_state = BreakerState::kClosed;
  m_failures = 0;
  m_times_opened = 0;
  m_probing = false;
}

void CircuitBreaker::OnFailure(SteadyTime now) noexcept {
  ++m_failures;
  const bool opens =
      m_state == BreakerState::kHalfOpen ||
      (m_state == BreakerState::kClosed && m_failures >= m_settings.failures_to_open);
  if (opens) {
    Open(now);
  }
}

void CircuitBreaker::OnInconclusive() noexcept { m_probing = false; }

void CircuitBreaker::Open(SteadyTime now) noexcept {
  // Limits the shift; 2^10 times the first open time (1 s) is above any sensible maximum.
  constexpr std::uint32_t kMaxExponent = 10;
  const auto open_time =
      m_settings.first_open_time * (1LL << std::min(m_times_opened, kMaxExponent));
  m_open_until = now + std::min<std::chrono::milliseconds>(open_time, m_settings.max_open_time);
  m_state = BreakerState::kOpen;
  m_probing = false;
  ++m_times_opened;
}

bool CircuitBreakerTable::TryAcquire(const EndpointName& endpoint, SteadyTime now) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_breakers.find(endpoint.value());
  return found == m_breakers.end() || found->second.TryAcquire(now);
}

void CircuitBreakerTable::OnSuccess(const EndpointName& endpoint) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_breakers.find(endpoint.value());
  if (found == m_breakers.end()) {
    return;
  }
  found->second.OnSuccess();
  if (found->second.state() == BreakerState::kClosed) {
    m_breakers.erase(found);
  }
}

void CircuitBreakerTable::OnFailure(const EndpointName& endpoint, SteadyTime now) {
  const absl::MutexLock lock(&m_mutex);
  m_breakers.try_emplace(endpoint.value(), m_settings).first->second.OnFailure(now);
}

void CircuitBreakerTable::OnInconclusive(const EndpointName& endpoint) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_breakers.find(endpoint.value());
  if (found != m_breakers.end()) {
    found->second.OnInconclusive();
  }
}

std::vector<std::pair<EndpointName, BreakerState>> CircuitBreakerTable::States() const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<std::pair<EndpointName, BreakerState>> states;
  states.reserve(m_breakers.size());
  for (const auto& [endpoint, breaker] : m_breakers) {
    states.emplace_back(EndpointName(endpoint), breaker.state());
  }
  return states;
}

}  // namespace wagtailwind::requests
