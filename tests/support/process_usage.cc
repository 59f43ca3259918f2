#include "support/process_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace wagtailwind::testing {

namespace {

constexpr double kBytesPerKib = 1024;

// Returns the value of a `Name:   value` line; 0 if there is none.
double ReadField(const std::filesystem::path& file, const std::string& name) {
  std::ifstream input(file);
  std::string line;
  while (std::getline(input, line)) {
    if (line.starts_with(name + ":")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

double ReadCpuSeconds(const std::filesystem::path& stat_file) {
  std::ifstream input(stat_file);
  std::stringstream text;
  text << input.rdbuf();
  // The command name may contain spaces, so that fields are counted from its closing parenthesis.
  const std::string line = text.str();
  const std::size_t bracket = line.rfind(')');
  if (bracket == std::string::npos) {
    return 0;
  }
  std::istringstream fields(line.substr(bracket + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t process) {
  const std::filesystem::path folder = std::filesystem::path("/proc") / std::to_string(process);
  ProcessUsage usage;
  usage.cpu_seconds = ReadCpuSeconds(folder / "stat");
  usage.resident_bytes = ReadField(folder / "status", "VmRSS") * kBytesPerKib;
  usage.private_bytes = ReadField(folder / "status", "RssAnon") * kBytesPerKib;
  std::error_code error;
  for (const auto& thread : std::filesystem::directory_iterator(folder / "task", error)) {
    ++usage.threads;
    usage.waits +=
        static_cast<std::uint64_t>(ReadField(thread.path() / "status", "voluntary_ctxt_switches"));
  }
  return usage;
}

std::map<std::string, double> ParseMetrics(const std::string& text) {
  std::map<std::string, double> metrics;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (!line.starts_with('#') && space != std::string::npos) {
      metrics[line.substr(0, space)] = std::stod(line.substr(space + 1));
    }
  }
  return metrics;
}

double SumOf(const std::map<std::string, double>& metrics, const std::string& prefix,
             const std::string& part) {
  double sum = 0;
  for (const auto& [name, value] : metrics) {
    sum += name.starts_with(prefix) && name.find(part) != std::string::npos ? value : 0;
  }
  return sum;
}

}  // namespace wagtailwind::testing
