#ifndef WAGTAILWIND_CLI_ERRORS_H_
#define WAGTAILWIND_CLI_ERRORS_H_

#include "core/error.h"

namespace wagtailwind::cli {

namespace detail {
struct UsageErrorTag {
  static constexpr const char* kName = "usage";
};
struct RecordFileErrorTag {
  static constexpr const char* kName = "record_file";
};
struct ProcessUnreachableTag {
  static constexpr const char* kName = "process_unreachable";
};
}  // namespace detail

/// \brief Thrown when the command line is invalid.
using UsageError = wagtailwind::detail::NamedError<detail::UsageErrorTag>;
/// \brief Thrown when a record file can't be read or is malformed.
using RecordFileError = wagtailwind::detail::NamedError<detail::RecordFileErrorTag>;
/// \brief Thrown when a process does not respond at its admin address.
using ProcessUnreachable = wagtailwind::detail::NamedError<detail::ProcessUnreachableTag>;

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_ERRORS_H_
