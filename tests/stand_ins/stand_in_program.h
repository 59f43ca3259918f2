#ifndef WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_
#define WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_

#include <string>

#include "http/server.h"

namespace wagtailwind::stand_ins {

/// \brief Blocks SIGTERM and SIGINT, so that only RunStandIn() receives them. A stand-in that
/// starts threads must call this first.
void BlockStopSignals();

/// \brief Listens, prints `{"listening":"ip:port"}` as the first line of standard output, and
/// serves until SIGTERM or SIGINT.
int RunStandIn(const std::string& listen_address, http::Server::Handler handler);

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_STAND_IN_PROGRAM_H_
