#ifndef WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_
#define WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_

#include <string>

#include "http/server.h"

namespace wagtailwind::stand_ins {

/// \brief Blocks SIGTERM and SIGINT, so that only RunStandIn() takes them. A stand-in with threads
/// of its own calls this before it starts them.
void BlockStopSignals();

/// \brief Runs a stand-in until SIGTERM or SIGINT: listens, and prints `{"listening":"ip:port"}` as
/// the first line of standard output.
int RunStandIn(const std::string& listen_address, http::Server::Handler handler);

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_
