#ifndef WAGTAILWIND_AGENT_SERVICE_HEALTH_H_
#define WAGTAILWIND_AGENT_SERVICE_HEALTH_H_

#include <optional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "placement/admission_gate.h"

namespace wagtailwind::agent {

/// \brief Closes the gate while the plain service of an agent can't be reached. A service has no
/// status call, so a regular call serves as the probe: if it can't be sent, it has certainly not
/// run. Safe to use from several threads; the gate and the clock must outlive this object.
class ServiceHealth {
 public:
  ServiceHealth(placement::AdmissionGate& gate, const Clock& clock) noexcept
      : m_gate(gate), m_clock(clock) {}

  /// \brief Records that a connection was made for a call.
  void OnConnected();

  /// \brief Records that no connection could be made for a call.
  void OnConnectFailure();

  /// \brief Opens the gate for a probe some time after the last failure. To be called about once a
  /// second.
  void Tick();

 private:
  placement::AdmissionGate& m_gate;
  const Clock& m_clock;
  // Held while the gate is set, so that the gate always matches the state below.
  absl::Mutex m_mutex;
  int m_failures ABSL_GUARDED_BY(m_mutex) = 0;
  std::optional<SteadyTime> m_closed_at ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_SERVICE_HEALTH_H_
