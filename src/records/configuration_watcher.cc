#include "records/configuration_watcher.h"

#include <algorithm>
#include <utility>

#include "absl/time/time.h"
#include "records/document.h"
#include "records/log_events.h"

namespace wagtailwind::records {

namespace {

constexpr std::chrono::milliseconds kWatchPeriod{2'000};

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(platform::KeyValueService& service,
                                           ConfigurationReplica& replica, IsWatcher is_watcher,
                                           const Clock& clock, RandomSource& random,
                                           MetricsRegistry& metrics)
    : m_service(service),
      m_replica(replica),
      m_is_watcher(std::move(is_watcher)),
      m_clock(clock),
      m_calls(metrics.GetCounter("configuration_platform_calls_total")),
      m_failures(metrics.GetCounter("configuration_platform_failures_total")),
      m_schedule(random),
      m_thread([this] { Run(); }) {}

ConfigurationWatcher::~ConfigurationWatcher() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

void ConfigurationWatcher::Run() {
  while (true) {
    const WatchSchedule::Step step =
        m_schedule.Next(m_clock.Now(), m_is_watcher(), m_replica.Digest().confirmation_age);
    {
      const absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::FromChrono(step.wait))) {
        return;
      }
    }
    if (step.action != WatchSchedule::Action::kWait) {
      Perform(step.action);
    }
  }
}

void ConfigurationWatcher::Perform(WatchSchedule::Action action) {
  m_calls.Add();
  try {
    if (action == WatchSchedule::Action::kWatch) {
      Watch();
    } else {
      Read();
    }
    m_schedule.OnSuccess();
    if (std::exchange(m_failure_logged, false)) {
      Log(kWatchRecovered);
    }
  } catch (const Error& error) {
    HandleFailure(error.what());
  }
}

void ConfigurationWatcher::HandleFailure(const char* error) {
  m_failures.Add();
  m_schedule.OnFailure(m_clock.Now());
  // Logged once per outage, not once per attempt.
  if (!std::exchange(m_failure_logged, true)) {
    Log(kWatchFailed, {{"error", error}});
  }
}

// The age of a returned value is at most the duration of the call. A watch that ends without a
// value was answered at the end of its period, so the confirmation's age is the time that the call
// took beyond the period.
void ConfigurationWatcher::Watch() {
  const SteadyTime start = m_clock.Now();
  const std::optional<platform::VersionedValue> value =
      m_service.Watch(kConfigurationKey, m_revision, kWatchPeriod);
  const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(m_clock.Now() - start);
  if (value) {
    InstallValue(*value, elapsed);
  } else {
    const bool whole_period = elapsed >= kWatchPeriod;
    m_replica.Confirm(m_version, whole_period ? elapsed - kWatchPeriod : elapsed);
  }
}

void ConfigurationWatcher::Read() {
  const SteadyTime start = m_clock.Now();
  const std::optional<platform::VersionedValue> value = m_service.Get(kConfigurationKey);
  if (value) {
    InstallValue(*value, std::chrono::ceil<std::chrono::milliseconds>(m_clock.Now() - start));
  }
}

void ConfigurationWatcher::InstallValue(const platform::VersionedValue& value,
                                        std::chrono::milliseconds age) {
  if (value.revision < m_revision) {
    Log(kOlderReadIgnored, {{"revision", value.revision}, {"known", m_revision}});
    return;
  }
  m_revision = value.revision;
  try {
    m_version = ParseDocument(value.value).version;
  } catch (const MalformedDocument&) {
    // TryApplyDocument() logs the error. The replica keeps the previous version, which version 0
    // does not confirm.
    m_version = 0;
  }
  m_replica.TryApplyDocument(value.value);
  m_replica.Confirm(m_version, age);
}

}  // namespace wagtailwind::records
