#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "core/log.h"
#include "daemon/daemon_process.h"
#include "daemon/log_events.h"
#include "settings/settings.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitInvalidSettings = 2;
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

int Run(const wagtailwind::settings::Settings& settings) {
  namespace daemon = wagtailwind::daemon;
  const sigset_t signals = BlockStopSignals();
  wagtailwind::InitialiseLogging(settings.log_level, settings.instance.value());
  std::unique_ptr<daemon::DaemonProcess> process;
  try {
    process = settings.role == wagtailwind::gossip::Role::kRouter ? daemon::StartRouter(settings)
                                                                  : daemon::StartAgent(settings);
  } catch (const wagtailwind::Error& error) {
    wagtailwind::Log(daemon::kStartFailed, {{"error", error.name()}, {"message", error.what()}});
    return kExitFailure;
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
  cxxopts::Options options("wagtailwindd", "Router or agent daemon of the wagtailwind fleet.");
  options.add_options()("config", "settings file (YAML)", cxxopts::value<std::string>())(
      "check", "check the settings file and exit")("help", "show this text");
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (arguments.count("config") == 0) {
      std::cerr << options.help();
      return kExitInvalidSettings;
    }
    const wagtailwind::settings::Settings settings =
        wagtailwind::settings::ReadSettings(arguments["config"].as<std::string>());
    return arguments.count("check") > 0 ? 0 : Run(settings);
  } catch (const wagtailwind::settings::SettingsError& error) {
    std::cerr << "wagtailwindd: " << error.name() << ": " << error.what() << '\n';
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "wagtailwindd: " << error.what() << '\n';
  }
  return kExitInvalidSettings;
}
