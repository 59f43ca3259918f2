#ifndef WAGTAILWIND_REQUESTS_CIRCUIT_BREAKER_H_
#define WAGTAILWIND_REQUESTS_CIRCUIT_BREAKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::requests {

/// \brief Thresholds of a circuit breaker. The open time doubles at each failed probe, up to the
/// maximum.
struct CircuitBreakerSettings {
  /// Consecutive failures that open the breaker.
  std::uint32_t failures_to_open = 5;
  std::chrono::milliseconds first_open_time{1'000};
  std::chrono::milliseconds max_open_time{30'000};
};

enum class BreakerState : std::uint8_t { kClosed, kOpen, kHalfOpen };

/// \brief Circuit breaker of one endpoint. It opens after consecutive failures and rejects attempts
/// for its open time; then it accepts one attempt at a time as a probe. Not thread-safe; see
/// CircuitBreakerTable.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerSettings settings = {}) : m_settings(settings) {}

  /// \brief Returns whether an attempt may start. After each accepted attempt, the caller reports
  /// its result by one of the functions below.
  [[nodiscard]] bool TryAcquire(SteadyTime now) noexcept;

  /// \brief Reports a successful attempt.
  void OnSuccess() noexcept;

  /// \brief Reports a failed attempt.
  void OnFailure(SteadyTime now) noexcept;

  /// \brief Reports an attempt, such as a refused one, that gives no information about the
  /// endpoint's health.
  void OnInconclusive() noexcept;

  [[nodiscard]] BreakerState state() const noexcept { return m_state; }
  [[nodiscard]] std::uint32_t consecutive_failures() const noexcept { return m_failures; }

 private:
  void Open(SteadyTime now) noexcept;

  CircuitBreakerSettings m_settings;
  BreakerState m_state = BreakerState::kClosed;
  std::uint32_t m_failures = 0;
  std::uint32_t m_times_opened = 0;
  bool m_probing = false;
  SteadyTime m_open_until{};
};

/// \brief Circuit breakers by endpoint. Only endpoints with failures use memory. Thread-safe.
class CircuitBreakerTable {
 public:
  explicit CircuitBreakerTable(CircuitBreakerSettings settings = {}) : m_settings(settings) {}

  [[nodiscard]] bool TryAcquire(const EndpointName& endpoint, SteadyTime now);
  void OnSuccess(const EndpointName& endpoint);
  void OnFailure(const EndpointName& endpoint, SteadyTime now);
  void OnInconclusive(const EndpointName& endpoint);

  /// \brief Returns the endpoints with failures and the states of their breakers.
  [[nodiscard]] std::vector<std::pair<EndpointName, BreakerState>> States() const;

 private:
  const CircuitBreakerSettings m_settings;
  mutable absl::Mutex m_mutex;
  /// Keyed by endpoint name.
  std::map<std::string, CircuitBreaker> m_breakers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_CIRCUIT_BREAKER_H_
