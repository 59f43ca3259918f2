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

/// \brief The command line can't be understood.
using UsageError = wagtailwind::detail::NamedError<detail::UsageErrorTag>;
/// \brief A record file can't be read or is malformed.
using RecordFileError = wagtailwind::detail::NamedError<detail::RecordFileErrorTag>;
/// \brief A process does not answer at its admin address.
using ProcessUnreachable = wagtailwind::detail::NamedError<detail::ProcessUnreachableTag>;

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_ERRORS_H_
