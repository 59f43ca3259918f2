#ifndef WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
#define WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>

namespace wagtailwind::testing {

/// \brief What a process has used so far, from `/proc`.
struct ProcessUsage {
  double cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
  /// Voluntary context switches of all threads: how often a thread went to sleep.
  std::uint64_t sleeps = 0;
};

/// \brief Reads the usage of a process; all zero if it is gone.
[[nodiscard]] ProcessUsage ReadProcessUsage(pid_t process);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_PROCESS_USAGE_H_
