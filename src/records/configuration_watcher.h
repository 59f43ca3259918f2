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

/// \brief Runs a thread that updates and confirms the replica from the platform's configuration.
/// While this process is one of its availability zone's watchers, the thread watches the
/// configuration; otherwise it reads it only when the replica's confirmation is stale.
class ConfigurationWatcher {
 public:
  /// \brief Whether this process is one of its zone's watchers. Called on the watcher's thread.
  using IsWatcher = std::function<bool()>;

  /// \brief Starts the thread. The parameters must outlive this object.
  ConfigurationWatcher(platform::KeyValueService& service, ConfigurationReplica& replica,
                       IsWatcher is_watcher, const Clock& clock, RandomSource& random,
                       MetricsRegistry& metrics);

  /// \brief Stops the thread. Waits for the call in flight, which takes at most 2 s plus the
  /// service's timeout.
  ~ConfigurationWatcher();
  ConfigurationWatcher(const ConfigurationWatcher&) = delete;
  ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

 private:
  void Run();
  void Perform(WatchSchedule::Action action);
  void Watch();
  void Read();
  /// Passes a document that is at most `age` old to the replica and confirms its version. Ignores
  /// it if an earlier call returned a newer revision.
  void InstallValue(const platform::VersionedValue& value, std::chrono::milliseconds age);
  void HandleFailure(const char* error);

  platform::KeyValueService& m_service;
  ConfigurationReplica& m_replica;
  IsWatcher m_is_watcher;
  const Clock& m_clock;
  Counter& m_calls;
  Counter& m_failures;
  WatchSchedule m_schedule;
  bool m_failure_logged = false;
  /// Revision and version of the newest document that the platform has returned; the version is 0
  /// if that document is malformed.
  platform::Revision m_revision = 0;
  ConfigurationVersion m_version = 0;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_WATCHER_H_
