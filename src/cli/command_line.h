#ifndef WAGTAILWIND_CLI_COMMAND_LINE_H_
#define WAGTAILWIND_CLI_COMMAND_LINE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "records/configuration_view.h"

namespace wagtailwind::cli {

/// \brief A parsed command line.
struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  bool help = false;
  bool json = false;
  bool dry_run = false;
  std::string platform;
  std::string instance_list;
  std::optional<records::ConfigurationVersion> if_version;
  std::optional<records::ConfigurationVersion> version;
  std::string change;
  std::vector<std::string> set;
  std::vector<std::string> unset;
  std::vector<std::string> endpoints;
  std::string zone;
  std::string start;
  std::vector<std::string> processes;
  std::chrono::seconds timeout{30};
  /// \name Placement query
  /// @{
  std::string admin;
  std::string host;
  std::string path;
  std::string api_key;
  std::string model;
  std::string tokens;
  std::string prompt;
  /// @}
};

/// \brief Parses the arguments that follow the program name. Throws UsageError.
[[nodiscard]] CommandLine ParseCommandLine(const std::vector<std::string>& arguments);

/// \brief Returns the help for a command, or for the whole tool if `command` is empty or unknown.
[[nodiscard]] std::string HelpText(const std::string& command);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_COMMAND_LINE_H_
