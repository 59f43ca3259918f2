#ifndef WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
#define WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

namespace wagtailwind::testing {

/// \brief What a process has used so far, read from /proc.
struct ProcessUsage {
  /// Exact to 10 ms.
  double cpu_seconds = 0;
  double resident_bytes = 0;
  /// Resident pages that belong to this process alone (without the program file's pages).
  double private_bytes = 0;
  std::uint64_t threads = 0;
  /// Times that the present threads gave up a core to wait.
  std::uint64_t waits = 0;
};

/// \brief Reads the usage of a process; all fields are 0 if it has ended.
[[nodiscard]] ProcessUsage ReadProcessUsage(pid_t process);

/// \brief Values by name of a `/metrics` text. The name includes the labels.
[[nodiscard]] std::map<std::string, double> ParseMetrics(const std::string& text);

/// \brief Sum of the values whose name starts with `prefix` and contains `part`.
[[nodiscard]] double SumOf(const std::map<std::string, double>& metrics, const std::string& prefix,
                           const std::string& part = "");

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
