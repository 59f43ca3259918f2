#ifndef WAGTAILWIND_PLATFORM_LOG_EVENTS_H_
#define WAGTAILWIND_PLATFORM_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::platform {

inline constexpr LogEvent kKeyValueCallFailed{4000, LogLevel::kWarn, "key_value_call_failed"};
inline constexpr LogEvent kKeyValueWriteUnknown{4001, LogLevel::kWarn, "key_value_write_unknown"};
inline constexpr LogEvent kInstanceListReadFailed{4100, LogLevel::kWarn,
                                                  "instance_list_read_failed"};
inline constexpr LogEvent kInstanceListEntryIgnored{4101, LogLevel::kWarn,
                                                    "instance_list_entry_ignored"};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_LOG_EVENTS_H_
