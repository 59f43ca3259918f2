#ifndef WAGTAILWIND_CLI_COMMANDS_H_
#define WAGTAILWIND_CLI_COMMANDS_H_

#include <memory>
#include <string_view>

#include "cli/command_line.h"
#include "cli/tool.h"
#include "records/document.h"

namespace wagtailwind::cli {

/// \brief Function that runs one command of the tool.
using Command = ExitCode (*)(const CommandLine& line, const ToolEnvironment& environment);

/// \brief Returns the command with this name, or null.
[[nodiscard]] Command FindCommand(std::string_view name) noexcept;

/// \brief Connects to the key-value service that the command line names. Throws UsageError if none
/// is given.
[[nodiscard]] std::shared_ptr<platform::KeyValueService> ConnectKeyValueService(
    const CommandLine& line, const ToolEnvironment& environment);

/// \brief Reads the stored document; returns an empty one if there is none yet.
[[nodiscard]] records::Document ReadDocument(const CommandLine& line,
                                             const ToolEnvironment& environment);

/// \brief Throws UsageError unless the command has exactly `count` arguments.
void RequireArguments(const CommandLine& line, std::size_t count);

ExitCode RunStatus(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunGet(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunList(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunPut(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunEdit(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunDelete(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunDiff(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunDrain(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunUndrain(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunWait(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunExplain(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunPlacement(const CommandLine& line, const ToolEnvironment& environment);
ExitCode RunDump(const CommandLine& line, const ToolEnvironment& environment);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_COMMANDS_H_
