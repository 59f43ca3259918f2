#include <signal.h>
#include <sys/stat.h>

#include <chrono>
#include <iostream>
#include <string>

#include "core/clock.h"
#include "core/line_log.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "daemon/program.h"
#include "forward/forwarder.h"
#include "forward/log_events.h"
#include "net/event_loop.h"
#include "platform/adapter.h"
#include "settings/forwarder_settings.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::Log;

// Longest time that a log line is buffered before it is written for the collector.
constexpr std::chrono::milliseconds kLogFlushInterval = 100ms;

// The settings file may change without a SIGHUP; a check costs one system call.
constexpr std::chrono::milliseconds kSettingsCheckInterval = 2'000ms;

/// Reloads the settings file when it has changed, and applies the settings that can change while
/// the process runs.
class SettingsWatcher {
 public:
  SettingsWatcher(std::string path, wagtailwind::forward::Forwarder& forwarder)
      : m_path(std::move(path)), m_forwarder(forwarder), m_modified_at(ModificationTime()) {}

  void ReloadIfChanged() {
    const timespec modified_at = ModificationTime();
    if (modified_at.tv_sec != m_modified_at.tv_sec ||
        modified_at.tv_nsec != m_modified_at.tv_nsec) {
      m_modified_at = modified_at;
      Reload();
    }
  }

  void Reload() {
    try {
      const auto settings = wagtailwind::settings::ReadForwarderSettings(m_path);
      m_forwarder.SetBounds(settings.bounds);
      Log(wagtailwind::forward::kSettingsReloaded, {{"file", m_path}});
    } catch (const wagtailwind::settings::SettingsError& error) {
      // The current settings stay in force.
      Log(wagtailwind::forward::kSettingsRefused,
          {{"error", error.name()}, {"message", error.what()}});
    }
  }

 private:
  [[nodiscard]] timespec ModificationTime() const noexcept {
    struct stat status {};
    return stat(m_path.c_str(), &status) == 0 ? status.st_mtim : timespec{};
  }

  std::string m_path;
  wagtailwind::forward::Forwarder& m_forwarder;
  timespec m_modified_at;
};

void FlushLog(std::uint64_t& reported_lines, wagtailwind::Gauge& dropped_lines) {
  const std::uint64_t dropped = wagtailwind::DroppedLogLines();
  dropped_lines.Set(static_cast<double>(dropped));
  if (dropped > reported_lines) {
    Log(wagtailwind::forward::kLinesDropped, {{"lines", dropped - reported_lines}});
    reported_lines = dropped;
  }
  wagtailwind::FlushLogLines();
}

/// Blocks or unblocks SIGHUP, which would end the process if it arrived before its handler is
/// installed. A blocked signal stays pending, so a settings change during startup is not missed.
void SetReloadSignalBlocked(bool blocked) noexcept {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int Run(const std::string& path, const wagtailwind::settings::ForwarderSettings& settings) {
  namespace forward = wagtailwind::forward;
  namespace net = wagtailwind::net;
  signal(SIGPIPE, SIG_IGN);
  wagtailwind::InitialiseLogging(settings.log_level, settings.instance.value());
  const wagtailwind::SystemClock clock;
  wagtailwind::SeededRandomSource random(wagtailwind::SeededRandomSource::EntropySeed());
  wagtailwind::MetricsRegistry metrics;
  const auto adapter = wagtailwind::adapter::MakeAdapter();
  net::EventLoop loop;
  try {
    forward::Forwarder forwarder(loop, clock, random, metrics, settings, *adapter,
                                 [&loop] { loop.Stop(); });
    SettingsWatcher watcher(path, forwarder);
    const net::SignalWatcher terminate(loop, SIGTERM, [&forwarder] { forwarder.BeginStop(); });
    const net::SignalWatcher interrupt(loop, SIGINT, [&forwarder] { forwarder.BeginStop(); });
    const net::SignalWatcher hang_up(loop, SIGHUP, [&watcher] { watcher.Reload(); });
    SetReloadSignalBlocked(false);
    std::uint64_t reported_lines = 0;
    wagtailwind::Gauge& dropped_lines = metrics.GetGauge("log_lines_dropped");
    net::Timer flush(
        loop, [&reported_lines, &dropped_lines] { FlushLog(reported_lines, dropped_lines); });
    flush.StartPeriodic(kLogFlushInterval);
    net::Timer check(loop, [&watcher] { watcher.ReloadIfChanged(); });
    check.StartPeriodic(kSettingsCheckInterval);
    Log(forward::kForwarderStarted, {{"callers", forwarder.CallerAddress()},
                                     {"admin", forwarder.AdminAddress()},
                                     {"zone", settings.zone.value()}});
    loop.Run();
  } catch (const net::SocketFailed& error) {
    std::cerr << "wagtailwind-forwarder: " << error.name() << ": " << error.what() << '\n';
    return wagtailwind::daemon::kExitFailure;
  }
  wagtailwind::FlushLogLines();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  SetReloadSignalBlocked(true);
  return wagtailwind::daemon::RunProgram("wagtailwind-forwarder",
                                         "Router that forwards straight to endpoints.", argc, argv,
                                         wagtailwind::settings::ReadForwarderSettings, Run);
}
