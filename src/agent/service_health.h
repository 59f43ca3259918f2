#ifndef WAGTAILWIND_AGENT_SERVICE_HEALTH_H_
#define WAGTAILWIND_AGENT_SERVICE_HEALTH_H_

#include <optional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "placement/admission_gate.h"

namespace wagtailwind::agent {

/// \brief Closes the gate while the plain service beside an agent can't be reached. A service has
/// no status call, so the next call is the probe: one that is not sent is certainly not run. Safe
/// to use from several threads; the parameters outlive it.
class ServiceHealth {
 public:
  ServiceHealth(placement::AdmissionGate& gate, const Clock& clock) noexcept
      : m_gate(gate), m_clock(clock) {}

  /// \brief A call was sent.
  void OnReached();

  /// \brief No connection was made for a call.
  void OnNotReached();

  /// \brief Opens the gate for a probe when it is time. To be called every second or so.
  void Tick();

 private:
  placement::AdmissionGate& m_gate;
  const Clock& m_clock;
  // Held while the gate is set, so that the gate never differs from the state here.
  absl::Mutex m_mutex;
  int m_failures ABSL_GUARDED_BY(m_mutex) = 0;
  std::optional<SteadyTime> m_closed_at ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_SERVICE_HEALTH_H_
