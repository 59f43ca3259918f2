#include "support/process_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace wagtailwind::testing {

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

double CpuSeconds(const std::filesystem::path& folder) {
  const std::string stat = ReadFile(folder / "stat");
  // The program name, in brackets, may contain spaces.
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) {
    return 0;
  }
  std::istringstream fields(stat.substr(name_end + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t ResidentBytes(const std::filesystem::path& folder) {
  std::istringstream fields(ReadFile(folder / "statm"));
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  fields >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t Sleeps(const std::filesystem::path& folder) {
  constexpr std::string_view kField = "\nvoluntary_ctxt_switches:";
  std::uint64_t sleeps = 0;
  std::error_code gone;
  for (const auto& thread : std::filesystem::directory_iterator(folder / "task", gone)) {
    const std::string status = ReadFile(thread.path() / "status");
    const std::size_t field = status.find(kField);
    if (field != std::string::npos) {
      sleeps += std::stoull(status.substr(field + kField.size()));
    }
  }
  return sleeps;
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t process) {
  const std::filesystem::path folder = "/proc/" + std::to_string(process);
  return {CpuSeconds(folder), ResidentBytes(folder), Sleeps(folder)};
}

}  // namespace wagtailwind::testing
