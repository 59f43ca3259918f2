#ifndef WAGTAILWIND_RECORDS_LOG_EVENTS_H_
#define WAGTAILWIND_RECORDS_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::records {

inline constexpr LogEvent kConfigurationInForce{4500, LogLevel::kInfo, "configuration_in_force"};
inline constexpr LogEvent kConfigurationRefused{4501, LogLevel::kWarn, "configuration_refused"};
inline constexpr LogEvent kRecordNotUnderstood{4502, LogLevel::kWarn, "record_not_understood"};
inline constexpr LogEvent kWatchFailed{4510, LogLevel::kWarn, "configuration_watch_failed"};
inline constexpr LogEvent kWatchRecovered{4511, LogLevel::kInfo, "configuration_watch_recovered"};
inline constexpr LogEvent kOlderReadIgnored{4512, LogLevel::kWarn, "older_platform_read_ignored"};
inline constexpr LogEvent kFenceRaised{4520, LogLevel::kInfo, "fence_raised"};
inline constexpr LogEvent kFenceAnswerLost{4521, LogLevel::kWarn, "fence_answer_lost"};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_LOG_EVENTS_H_
