#ifndef WAGTAILWIND_CLI_EXIT_CODE_H_
#define WAGTAILWIND_CLI_EXIT_CODE_H_

namespace wagtailwind::cli {

/// \brief Exit codes of the tool. Scripts depend on the numbers.
enum class ExitCode : int {
  /// Success; a change was accepted.
  kOk = 0,
  /// The change was not made and will not be made; for `diff`: there are differences; for
  /// `placement`: the request would be refused.
  kNotAccepted = 1,
  /// The command line or a record file is malformed.
  kUsage = 2,
  /// It is unknown whether the change was or will be made.
  kUnknown = 3,
  /// The platform can't be reached; nothing is changed.
  kPlatformUnavailable = 4,
  /// The record or change does not exist.
  kNotFound = 5,
  /// `wait`: a process did not reach the version before the timeout.
  kTimeout = 6,
  /// `dump`, `placement`: the process can't be reached.
  kProcessUnreachable = 7,
};

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_EXIT_CODE_H_
