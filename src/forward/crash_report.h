#ifndef WAGTAILWIND_FORWARD_CRASH_REPORT_H_
#define WAGTAILWIND_FORWARD_CRASH_REPORT_H_

#include <string>
#include <string_view>

#include "balancing/prompt_quarantine.h"
#include "core/error.h"
#include "core/ids.h"

namespace wagtailwind::forward {

namespace detail {
struct MalformedCrashReportTag {
  static constexpr const char* kName = "malformed_crash_report";
};
}  // namespace detail

/// \brief Thrown for a stored crash report that can't be decoded.
using MalformedCrashReport = wagtailwind::detail::NamedError<detail::MalformedCrashReportTag>;

/// \brief Returns the key of a router's report on a crash, without the prefix of all reports.
[[nodiscard]] std::string CrashReportKey(const balancing::CrashReport& report,
                                         const InstanceName& router);

/// \brief Encodes a report as the value of its key.
[[nodiscard]] std::string EncodeCrashReport(const balancing::CrashReport& report);

/// \brief Decodes the value of a report. Throws MalformedCrashReport.
[[nodiscard]] balancing::CrashReport DecodeCrashReport(std::string_view value);

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CRASH_REPORT_H_
