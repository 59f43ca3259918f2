#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "stand_ins/service_stand_in.h"
#include "stand_ins/stand_in_program.h"

int main(int argc, char** argv) {
  try {
    cxxopts::Options options("service_stand_in", "A plain service for tests");
    options.add_options()("listen", "ip:port",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "name", "name in answers and history",
        cxxopts::value<std::string>()->default_value("service"))(
        "history-file", "file to which executions are appended",
        cxxopts::value<std::string>()->default_value(""));
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    wagtailwind::stand_ins::ServiceStandIn service(parsed["name"].as<std::string>(),
                                                   parsed["history-file"].as<std::string>());
    return wagtailwind::stand_ins::RunStandIn(
        parsed["listen"].as<std::string>(),
        [&service](const wagtailwind::http::Request& request) { return service.Handle(request); });
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
