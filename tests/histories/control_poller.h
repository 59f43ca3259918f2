#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_POLLER_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_POLLER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/periodic_thread.h"
#include "histories/control_history.h"
#include "http/client.h"

namespace wagtailwind::histories {

/// \brief Polls `/state` of one process on its own thread, for one run of the process.
class VersionPoller {
 public:
  VersionPoller(const std::string& process, const std::string& admin_address);

  /// \brief Record the begin and the end of an interval during which the process is paused.
  void BeginPause();
  void EndPause();

  /// \brief Records the end of the run. Called before the process is killed.
  void MarkEnded();

  /// \brief The last sample; version 0 if there is none.
  [[nodiscard]] VersionSample Latest() const;

  [[nodiscard]] ProcessRun Run() const;

 private:
  void Poll();

  http::Client m_client;
  mutable absl::Mutex m_mutex;
  ProcessRun m_run ABSL_GUARDED_BY(m_mutex);
  // Declared last, so that the thread ends before the members it uses are destroyed.
  std::unique_ptr<PeriodicThread> m_thread;
};

/// \brief Waits until a condition holds. Returns false after a timeout.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             std::chrono::milliseconds timeout);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_POLLER_H_
