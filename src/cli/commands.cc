#include "cli/commands.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

constexpr std::array<std::pair<std::string_view, Command>, 13> kCommands{
    {{"status", &RunStatus},
     {"get", &RunGet},
     {"list", &RunList},
     {"put", &RunPut},
     {"edit", &RunEdit},
     {"delete", &RunDelete},
     {"diff", &RunDiff},
     {"drain", &RunDrain},
     {"undrain", &RunUndrain},
     {"wait", &RunWait},
     {"explain", &RunExplain},
     {"placement", &RunPlacement},
     {"dump", &RunDump}}};

}  // namespace

Command FindCommand(std::string_view name) noexcept {
  const auto* const found =
      std::ranges::find(kCommands, name, &std::pair<std::string_view, Command>::first);
  return found == kCommands.end() ? nullptr : found->second;
}

std::shared_ptr<platform::KeyValueService> ConnectKeyValueService(
    const CommandLine& line, const ToolEnvironment& environment) {
  if (line.platform.empty()) {
    throw UsageError("the platform address is missing; set --platform or WAGTAILWIND_PLATFORM");
  }
  return environment.key_values(line.platform);
}

records::Document ReadDocument(const CommandLine& line, const ToolEnvironment& environment) {
  const auto value = ConnectKeyValueService(line, environment)->Get(records::kConfigurationKey);
  return value ? records::ParseDocument(value->value) : records::Document{};
}

void RequireArguments(const CommandLine& line, std::size_t count) {
  if (line.arguments.size() != count) {
    throw UsageError(line.command + " takes " + std::to_string(count) + " arguments, not " +
                     std::to_string(line.arguments.size()) + "; see wagtailwind help " +
                     line.command);
  }
}

}  // namespace wagtailwind::cli
