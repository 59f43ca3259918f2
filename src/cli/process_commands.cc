#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/commands.h"
#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;
using records::ConfigurationVersion;

constexpr std::chrono::milliseconds kPollPeriod{250};
constexpr int kJsonIndent = 2;

/// \brief A process and the state that it last reported.
struct ProcessVersion {
  std::string address;
  std::string instance;
  ConfigurationVersion version = 0;
  bool reachable = false;
};

void RefreshState(ProcessVersion& process, const ToolEnvironment& environment) {
  process.reachable = false;
  try {
    const Json state = Json::parse(environment.fetch_state(process.address), nullptr, false);
    if (state.is_object() && state.contains("configuration")) {
      process.version = state["configuration"].value("version", ConfigurationVersion{0});
      process.instance = state.at("instance").value("name", std::string());
      process.reachable = true;
    }
  } catch (const ProcessUnreachable&) {
    // Reported as unreachable; the next poll tries again.
  } catch (const Json::exception&) {
    // An unexpected response is handled in the same way.
  }
}

std::vector<ProcessVersion> FindProcesses(const CommandLine& line,
                                          const ToolEnvironment& environment) {
  std::vector<ProcessVersion> processes;
  for (const std::string& address : line.processes) {
    processes.push_back({address, "", 0, false});
  }
  if (!line.instance_list.empty()) {
    for (const auto& instance : environment.instances(line.instance_list)->Read()) {
      if (!instance.leaving && !instance.admin_address.empty()) {
        processes.push_back({instance.admin_address, instance.name.value(), 0, false});
      }
    }
  }
  if (processes.empty()) {
    throw UsageError("no process is given by --process or found by --instance-list");
  }
  return processes;
}

std::string DescribeProcess(const ProcessVersion& process) {
  const std::string name =
      process.instance.empty() ? process.address : process.instance + " at " + process.address;
  return name + (process.reachable ? " (version " + std::to_string(process.version) + ")"
                                   : " (unreachable)");
}

std::string ProgressText(const std::vector<ProcessVersion>& processes,
                         ConfigurationVersion version) {
  std::string lagging;
  std::size_t done = 0;
  for (const ProcessVersion& process : processes) {
    if (process.reachable && process.version >= version) {
      ++done;
    } else {
      lagging.append(lagging.empty() ? "" : ", ").append(DescribeProcess(process));
    }
  }
  return "version " + std::to_string(version) + " is in force at " + std::to_string(done) + " of " +
         std::to_string(processes.size()) + " processes" +
         (lagging.empty() ? "" : "; waiting for " + lagging);
}

bool AllHaveVersion(const std::vector<ProcessVersion>& processes, ConfigurationVersion version) {
  return std::ranges::all_of(processes, [&](const ProcessVersion& process) {
    return process.reachable && process.version >= version;
  });
}

ExitCode PrintWaitResult(const CommandLine& line, const ToolEnvironment& environment,
                         const std::vector<ProcessVersion>& processes,
                         ConfigurationVersion version) {
  const bool in_force = AllHaveVersion(processes, version);
  if (line.json) {
    Json list = Json::array();
    for (const ProcessVersion& process : processes) {
      list.push_back({{"address", process.address},
                      {"instance", process.instance},
                      {"reachable", process.reachable},
                      {"version", process.version}});
    }
    environment.out
        << Json{{"version", version}, {"in_force", in_force}, {"processes", std::move(list)}}.dump()
        << "\n";
  } else {
    environment.out << ProgressText(processes, version) << "\n";
  }
  return in_force ? ExitCode::kOk : ExitCode::kTimeout;
}

void PrintFlattened(std::ostream& out, const std::string& path, const Json& value) {
  if (value.is_structured() && !value.empty()) {
    const std::string prefix = path.empty() ? path : path + ".";
    for (const auto& [key, entry] : value.items()) {
      PrintFlattened(out, prefix + key, entry);
    }
    return;
  }
  constexpr int kColumnWidth = 40;
  out << std::left << std::setw(kColumnWidth) << path << " "
      << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
}

}  // namespace

ExitCode RunWait(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 0);
  const ConfigurationVersion version =
      line.version ? *line.version : ReadDocument(line, environment).version;
  std::vector<ProcessVersion> processes = FindProcesses(line, environment);
  const SteadyTime end = environment.clock.Now() + line.timeout;
  std::string shown;
  while (true) {
    for (ProcessVersion& process : processes) {
      // A process's version never decreases, so one that has reached it is not polled again.
      if (!process.reachable || process.version < version) {
        RefreshState(process, environment);
      }
    }
    if (AllHaveVersion(processes, version) || environment.clock.Now() >= end) {
      return PrintWaitResult(line, environment, processes, version);
    }
    if (std::string progress = ProgressText(processes, version); progress != shown) {
      environment.err << progress << "\n";
      shown = std::move(progress);
    }
    environment.pause(kPollPeriod);
  }
}

ExitCode RunDump(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 1);
  const Json state = Json::parse(environment.fetch_state(line.arguments.front()), nullptr, false);
  if (state.is_discarded()) {
    throw ProcessUnreachable(line.arguments.front() + " did not answer with JSON");
  }
  if (line.json) {
    environment.out << state.dump(kJsonIndent) << "\n";
  } else {
    PrintFlattened(environment.out, "", state);
  }
  return ExitCode::kOk;
}

}  // namespace wagtailwind::cli
