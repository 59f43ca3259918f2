#ifndef WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
#define WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

namespace wagtailwind::testing {

/// \brief Resource usage of a process, read from /proc.
struct ProcessUsage {
  /// User and system CPU time with a resolution of 10 ms.
  double cpu_seconds = 0;
  double resident_bytes = 0;
  /// Resident anonymous memory, which excludes the pages of the program file.
  double private_bytes = 0;
  std::uint64_t threads = 0;
  /// Voluntary context switches of the current threads.
  std::uint64_t waits = 0;
};

/// \brief Reads the usage of a process. All fields are 0 if the process has ended.
[[nodiscard]] ProcessUsage ReadProcessUsage(pid_t process);

/// \brief Parses a `/metrics` text into values by name. Names include their labels.
[[nodiscard]] std::map<std::string, double> ParseMetrics(const std::string& text);

/// \brief Returns the sum of the values whose name starts with `prefix` and contains `part`.
[[nodiscard]] double SumOf(const std::map<std::string, double>& metrics, const std::string& prefix,
                           const std::string& part = "");

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
