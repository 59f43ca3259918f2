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

/// \brief When a breaker opens and for how long.
struct CircuitBreakerSettings {
  std::uint32_t failures_to_open = 5;
  std::chrono::milliseconds first_open_time{1'000};
  std::chrono::milliseconds max_open_time{30'000};
};

enum class BreakerState : std::uint8_t { kClosed, kOpen, kHalfOpen };

/// \brief Stops attempts at an endpoint that keeps failing. After its open time it lets one probe
/// through. Not safe to use from several threads; see CircuitBreakerTable.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerSettings settings = {}) : m_settings(settings) {}

  /// \brief Whether an attempt may start. Each accepted attempt ends with one of the calls below.
  [[nodiscard]] bool TryAcquire(SteadyTime now) noexcept;

  /// \brief The attempt succeeded.
  void OnSuccess() noexcept;

  /// \brief The attempt failed.
  void OnFailure(SteadyTime now) noexcept;

  /// \brief The attempt says nothing about the endpoint's health, such as a refusal.
  void OnNeutral() noexcept;

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

/// \brief The breakers of all endpoints. Only endpoints with failures take memory. Safe to use
/// from several threads.
class CircuitBreakerTable {
 public:
  explicit CircuitBreakerTable(CircuitBreakerSettings settings = {}) : m_settings(settings) {}

  [[nodiscard]] bool TryAcquire(const EndpointName& endpoint, SteadyTime now);
  void OnSuccess(const EndpointName& endpoint);
  void OnFailure(const EndpointName& endpoint, SteadyTime now);
  void OnNeutral(const EndpointName& endpoint);

  /// \brief Endpoints with failures, and the states of their breakers.
  [[nodiscard]] std::vector<std::pair<EndpointName, BreakerState>> States() const;

 private:
  const CircuitBreakerSettings m_settings;
  mutable absl::Mutex m_mutex;
  /// By endpoint name.
  std::map<std::string, CircuitBreaker> m_breakers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_CIRCUIT_BREAKER_H_
