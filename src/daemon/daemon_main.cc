#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "core/log.h"
#include "daemon/daemon_process.h"
#include "daemon/log_events.h"
#include "daemon/program.h"
#include "settings/settings.h"

namespace {

constexpr int kExitRequestsAborted = 3;

/// Blocks, in all threads, the signals that stop the daemon, and returns them for sigwait().
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  // A write to a connection that the peer has closed must fail without ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const std::string& /*path*/, const wagtailwind::settings::Settings& settings) {
  namespace daemon = wagtailwind::daemon;
  const sigset_t signals = BlockStopSignals();
  wagtailwind::InitialiseLogging(settings.log_level, settings.instance.value());
  std::unique_ptr<daemon::DaemonProcess> process;
  try {
    process = settings.role == wagtailwind::gossip::Role::kRouter ? daemon::StartRouter(settings)
                                                                  : daemon::StartAgent(settings);
  } catch (const wagtailwind::Error& error) {
    wagtailwind::Log(daemon::kStartFailed, {{"error", error.name()}, {"message", error.what()}});
    return daemon::kExitFailure;
  }
  std::cout << process->ReadyLine() << std::endl;
  wagtailwind::Log(daemon::kListening, {{"addresses", process->ReadyLine()}});
  int signal = 0;
  sigwait(&signals, &signal);
  // Further signals stay blocked, so a second SIGTERM has no effect.
  wagtailwind::Log(daemon::kStopBegun, {{"signal", signal}});
  const bool complete = process->Stop();
  process.reset();
  wagtailwind::Log(complete ? daemon::kStopFinished : daemon::kStopAbortedRequests);
  return complete ? 0 : kExitRequestsAborted;
}

}  // namespace

int main(int argc, char** argv) {
  return wagtailwind::daemon::RunProgram("wagtailwindd",
                                         "Router or agent daemon of the wagtailwind fleet.", argc,
                                         argv, wagtailwind::settings::ReadSettings, Run);
}
