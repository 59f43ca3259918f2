#include "stand_ins/stand_in_program.h"

#include <csignal>
#include <iostream>
#include <utility>

namespace wagtailwind::stand_ins {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

int RunStandIn(const std::string& listen_address, http::Server::Handler handler) {
  // Blocks the signals before the server starts its threads, so that only sigwait() below receives
  // them.
  BlockStopSignals();
  const sigset_t signals = StopSignals();
  const http::Server server(listen_address, std::move(handler));
  std::cout << R"({"listening":")" << server.Address() << "\"}" << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  // Exits without cleanup: handlers may block for long, and a stand-in has no state to save.
  std::_Exit(0);
}

}  // namespace wagtailwind::stand_ins
