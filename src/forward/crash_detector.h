#ifndef WAGTAILWIND_FORWARD_CRASH_DETECTOR_H_
#define WAGTAILWIND_FORWARD_CRASH_DETECTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "balancing/endpoint.h"
#include "balancing/prompt_quarantine.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief Tells crashed endpoints from those that only closed a connection: a crashed one refuses
/// new connections.
class CrashDetector {
 public:
  /// Receives a crashed endpoint and the prompts that waited for their first event there. May be
  /// called again for the same endpoint with further prompts.
  using CrashHandler = std::function<void(const balancing::EndpointPtr& endpoint,
                                          std::vector<balancing::SuspectPrompt> prompts)>;

  CrashDetector(net::EventLoop& loop, CrashHandler on_crash);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// \brief The endpoint closed the connection of a request that waited for its first event.
  void OnConnectionLost(const balancing::EndpointPtr& endpoint, balancing::SuspectPrompt prompt);

 private:
  class Probe;

  void EndProbe(const balancing::Endpoint* endpoint, bool is_crashed);

  net::EventLoop& m_loop;
  CrashHandler m_on_crash;
  std::map<const balancing::Endpoint*, std::unique_ptr<Probe>> m_probes;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CRASH_DETECTOR_H_
