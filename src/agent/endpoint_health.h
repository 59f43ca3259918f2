#ifndef WAGTAILWIND_AGENT_ENDPOINT_HEALTH_H_
#define WAGTAILWIND_AGENT_ENDPOINT_HEALTH_H_

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/metrics.h"
#include "endpoint/model_engine.h"
#include "placement/admission_gate.h"

namespace wagtailwind::agent {

/// \brief Polls the engine of an agent and sets its health at the admission gate. The constructor's
/// arguments must outlive this object.
class EndpointHealth {
 public:
  /// \brief `on_restart` is called when the engine reports a new incarnation.
  EndpointHealth(endpoint::ModelEngine& engine, placement::AdmissionGate& gate,
                 MetricsRegistry& metrics, std::function<void()> on_restart);
  ~EndpointHealth();
  EndpointHealth(const EndpointHealth&) = delete;
  EndpointHealth& operator=(const EndpointHealth&) = delete;

  /// \brief Starts a thread that checks the engine at this interval.
  void Start(std::chrono::milliseconds interval);

  /// \brief Checks the engine once; blocks. Must not be called after Start().
  void Check();

 private:
  void SetHealthy(bool healthy);
  void Run(std::chrono::milliseconds interval);

  endpoint::ModelEngine& m_engine;
  placement::AdmissionGate& m_gate;
  Gauge& m_health_gauge;
  const std::function<void()> m_on_restart;
  std::string m_engine_incarnation;
  bool m_healthy = true;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ENDPOINT_HEALTH_H_
