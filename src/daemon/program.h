#ifndef WAGTAILWIND_DAEMON_PROGRAM_H_
#define WAGTAILWIND_DAEMON_PROGRAM_H_

#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "settings/errors.h"

namespace wagtailwind::daemon {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitInvalidSettings = 2;

/// \brief Implements main() of a program with one settings file. Parses the command line, reads the
/// file with `read(path)` and returns `run(path, settings)`; with `--check` or `--help` it returns
/// without calling `run`.
template <typename Read, typename Run>
int RunProgram(const std::string& name, const std::string& description, int argc, char** argv,
               Read read, Run run) {
  cxxopts::Options options(name, description);
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
    const auto path = arguments["config"].as<std::string>();
    const auto settings = read(path);
    return arguments.count("check") > 0 ? 0 : run(path, settings);
  } catch (const settings::SettingsError& error) {
    std::cerr << name << ": " << error.name() << ": " << error.what() << '\n';
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
  }
  return kExitInvalidSettings;
}

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_PROGRAM_H_
