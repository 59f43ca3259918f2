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

constexpr int kExitRequestsCut = 3;

/// Signals that stop the daemon, blocked in all threads.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection is an error of that connection only.
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
  // Further signals stay blocked: a second SIGTERM changes nothing.
  wagtailwind::Log(daemon::kStopBegun, {{"signal", signal}});
  const bool complete = process->Stop();
  process.reset();
  wagtailwind::Log(complete ? daemon::kStopFinished : daemon::kStopCutRequests);
  return complete ? 0 : kExitRequestsCut;
}

}  // namespace

int main(int argc, char** argv) {
  return wagtailwind::daemon::RunProgram("wagtailwindd",
                                         "Router or agent daemon of the wagtailwind fleet.", argc,
                                         argv, wagtailwind::settings::ReadSettings, Run);
}
