#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_GATE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_GATE_H_

#include <cstdint>
#include <set>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "placement/admission_gate.h"

namespace wagtailwind::testing {

/// \brief An admission gate that admits every request until it is closed or RefuseWith() is called.
class FakeGate final : public placement::AdmissionGate {
 public:
  [[nodiscard]] placement::AdmissionDecision Admit(
      const placement::AdmissionRequest& /*request*/) override {
    const absl::MutexLock lock(&m_mutex);
    placement::AdmissionDecision decision = m_refusal;
    if (m_closed) {
      decision.reason = requests::FailureReason::kDraining;
    }
    decision.admitted = decision.reason == requests::FailureReason::kNone;
    if (decision.admitted) {
      decision.reservation = ++m_last_reservation;
      m_reservations.insert(decision.reservation);
    }
    return decision;
  }

  void RecordOutput(std::uint64_t /*reservation*/, std::uint32_t output_tokens) override {
    const absl::MutexLock lock(&m_mutex);
    m_progress += output_tokens;
  }

  void Release(std::uint64_t reservation) override {
    const absl::MutexLock lock(&m_mutex);
    m_reservations.erase(reservation);
  }

  [[nodiscard]] placement::GateLoad Load() const override {
    const absl::MutexLock lock(&m_mutex);
    return {m_progress, 0, static_cast<std::uint32_t>(m_reservations.size())};
  }

  void Close() override {
    const absl::MutexLock lock(&m_mutex);
    m_closed = true;
  }

  void SetHealthy(bool healthy) override {
    const absl::MutexLock lock(&m_mutex);
    m_healthy = healthy;
    m_was_unhealthy = m_was_unhealthy || !healthy;
  }

  /// \brief Sets the decision that Admit() returns; the reason kNone admits requests again.
  void RefuseWith(const placement::AdmissionDecision& refusal) {
    const absl::MutexLock lock(&m_mutex);
    m_refusal = refusal;
  }

  [[nodiscard]] bool Healthy() const {
    const absl::MutexLock lock(&m_mutex);
    return m_healthy;
  }

  [[nodiscard]] bool WasUnhealthy() const {
    const absl::MutexLock lock(&m_mutex);
    return m_was_unhealthy;
  }

 private:
  mutable absl::Mutex m_mutex;
  placement::AdmissionDecision m_refusal ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_last_reservation ABSL_GUARDED_BY(m_mutex) = 0;
  std::set<std::uint64_t> m_reservations ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_progress ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
  bool m_healthy ABSL_GUARDED_BY(m_mutex) = true;
  bool m_was_unhealthy ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_GATE_H_
