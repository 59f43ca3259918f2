#ifndef WAGTAILWIND_CLI_TOOL_H_
#define WAGTAILWIND_CLI_TOOL_H_

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "platform/instance_list.h"
#include "platform/key_value_service.h"
#include "records/change.h"

namespace wagtailwind::cli {

/// \brief Response of a process at its admin address.
struct AdminResponse {
  int status = 0;
  std::string body;
};

/// \brief Dependencies of the tool, which tests replace.
struct ToolEnvironment {
  std::function<std::shared_ptr<platform::KeyValueService>(const std::string& address)> key_values;
  std::function<std::shared_ptr<platform::InstanceList>(const std::string& address)> instances;
  /// Returns the body of `/state` at an admin address; throws ProcessUnreachable.
  std::function<std::string(const std::string& address)> fetch_state;
  const Clock& clock;
  RandomSource& random;
  records::Pause pause;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Sends a placement query to an admin address; throws ProcessUnreachable.
  std::function<AdminResponse(const std::string& address, const std::string& query)>
      query_placement{};
};

/// \brief Runs the tool with the arguments that follow the program name.
[[nodiscard]] ExitCode RunTool(const std::vector<std::string>& arguments,
                               const ToolEnvironment& environment);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_TOOL_H_
