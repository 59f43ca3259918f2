#ifndef WAGTAILWIND_RECORDS_CONFIGURATION_WATCHER_H_
#define WAGTAILWIND_RECORDS_CONFIGURATION_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "platform/key_value_service.h"
#include "records/configuration_replica.h"
#include "records/watch_schedule.h"

namespace wagtailwind::records {

/// \brief A thread that follows the configuration at the platform and feeds and confirms the
/// replica. It watches while this process is one of its zone's watchers, and otherwise reads only
/// when the replica's confirmation is old.
class ConfigurationWatcher {
 public:
  /// \brief Whether this process is one of its zone's watchers; called from the thread.
  using IsWatcher = std::function<bool()>;

  /// \brief Starts the thread. The parameters outlive this object.
  ConfigurationWatcher(platform::KeyValueService& service, ConfigurationReplica& replica,
                       IsWatcher is_watcher, const Clock& clock, RandomSource& random,
                       MetricsRegistry& metrics);

  /// \brief Stops; waits for the call in flight, which takes 2 s plus the service's time-out at
  /// most.
  ~ConfigurationWatcher();
  ConfigurationWatcher(const ConfigurationWatcher&) = delete;
  ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

 private:
  void Run();
  void Perform(WatchSchedule::Action action);
  void Watch();
  void Read();
  void Take(const platform::VersionedValue& value, std::chrono::milliseconds age);
  void NoteFailure(const char* error);

  platform::KeyValueService& m_service;
  ConfigurationReplica& m_replica;
  IsWatcher m_is_watcher;
  const Clock& m_clock;
  Counter& m_calls;
  Counter& m_failures;
  WatchSchedule m_schedule;
  bool m_failing = false;
  /// Revision and version of the newest document that the platform has returned.
  platform::Revision m_revision = 0;
  ConfigurationVersion m_version = 0;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_WATCHER_H_
