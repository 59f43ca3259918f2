#ifndef WAGTAILWIND_CLI_EXIT_CODE_H_
#define WAGTAILWIND_CLI_EXIT_CODE_H_

namespace wagtailwind::cli {

/// \brief Exit codes of the tool. Scripts depend on the numbers.
enum class ExitCode : int {
  /// Done; a change is accepted.
  kOk = 0,
  /// The change is not made and will not be; for `diff`: there are differences.
  kNotAccepted = 1,
  /// The command line or a record file is malformed.
  kUsage = 2,
  /// The change may or may not be made.
  kUnknown = 3,
  /// The platform can't be reached; nothing is changed.
  kPlatformUnavailable = 4,
  /// The record or change does not exist.
  kNotFound = 5,
  /// `wait`: a process does not have the version in time.
  kTimeout = 6,
  /// `dump`: the process can't be reached.
  kProcessUnreachable = 7,
};

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_EXIT_CODE_H_
