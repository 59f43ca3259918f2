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

/// \brief A thread that asks one process for its `/state` during one life of the process.
class VersionPoller {
 public:
  VersionPoller(const std::string& process, const std::string& admin_address);

  /// \brief Begins and ends a time in which the process is paused.
  void BeginPause();
  void EndPause();

  /// \brief Marks the end of the process's life; called before it is killed.
  void End();

  /// \brief The last sample; version 0 if there is none.
  [[nodiscard]] VersionSample Latest() const;

  [[nodiscard]] ProcessRun Run() const;

 private:
  void Poll();

  http::Client m_client;
  mutable absl::Mutex m_mutex;
  ProcessRun m_run ABSL_GUARDED_BY(m_mutex);
  // Last, so that the thread ends before what it uses.
  std::unique_ptr<PeriodicThread> m_thread;
};

/// \brief Waits until a condition holds; false if it does not within the time.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             std::chrono::milliseconds timeout);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_POLLER_H_
