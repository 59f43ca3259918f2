#include "cli/tool.h"

#include <ostream>

#include "cli/command_line.h"
#include "cli/commands.h"
#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

ExitCode ReportError(const ToolEnvironment& environment, const Error& error, ExitCode code) {
  environment.err << "wagtailwind: " << error.name() << ": " << error.what() << "\n";
  return code;
}

ExitCode Dispatch(const CommandLine& line, const ToolEnvironment& environment) {
  if (line.help || line.command == "help") {
    const bool names_command = line.command == "help" && !line.arguments.empty();
    environment.out << HelpText(names_command ? line.arguments.front() : line.command);
    return ExitCode::kOk;
  }
  const Command command = FindCommand(line.command);
  if (command == nullptr) {
    throw UsageError(line.command.empty() ? "a command is missing; see wagtailwind help"
                                          : "unknown command " + line.command);
  }
  return command(line, environment);
}

}  // namespace

ExitCode RunTool(const std::vector<std::string>& arguments, const ToolEnvironment& environment) {
  try {
    return Dispatch(ParseCommandLine(arguments), environment);
  } catch (const UsageError& error) {
    return ReportError(environment, error, ExitCode::kUsage);
  } catch (const RecordFileError& error) {
    return ReportError(environment, error, ExitCode::kUsage);
  } catch (const ProcessUnreachable& error) {
    return ReportError(environment, error, ExitCode::kProcessUnreachable);
  } catch (const Error& error) {
    return ReportError(environment, error, ExitCode::kPlatformUnavailable);
  }
}

}  // namespace wagtailwind::cli
