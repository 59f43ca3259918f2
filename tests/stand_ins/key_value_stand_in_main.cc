#include <cxxopts.hpp>

#include "stand_ins/key_value_store.h"
#include "stand_ins/stand_in_program.h"

int main(int argc, char** argv) {
  cxxopts::Options options("key_value_stand_in", "Stand-in of the platform's key-value service.");
  options.add_options()("listen", "ip:port", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  wagtailwind::stand_ins::KeyValueStore store;
  return wagtailwind::stand_ins::RunStandIn(
      parsed["listen"].as<std::string>(),
      [&store](const wagtailwind::http::Request& request) { return store.Handle(request); });
}
