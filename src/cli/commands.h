#ifndef WAGTAILWIND_CLI_COMMANDS_H_
#define WAGTAILWIND_CLI_COMMANDS_H_

#include <memory>
#include <string_view>

#include "cli/command_line.h"
#include "cli/tool.h"
#include "records/document.h"

namespace wagtailwind::cli {

/// \brief One command of the tool.
using Command = ExitCode (*)(const CommandLine& line, const ToolEnvironment& environment);

/// \brief The command of this name, or null.
[[nodiscard]] Command FindCommand(std::string_view name) noexcept;

/// \brief The key-value service of the command line. Throws UsageError if none is given.
[[nodiscard]] std::shared_ptr<platform::KeyValueService> Connect(
    const CommandLine& line, const ToolEnvironment& environment);

/// \brief The stored document; empty if there is none yet.
[[nodiscard]] records::Document ReadDocument(const CommandLine& line,
                                             const ToolEnvironment& environment);

/// \brief The words after the command; throws UsageError unless there are `count`.
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
ExitCode RunDump(const CommandLine& line, const ToolEnvironment& environment);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_COMMANDS_H_
