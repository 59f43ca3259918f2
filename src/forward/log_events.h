#ifndef WAGTAILWIND_FORWARD_LOG_EVENTS_H_
#define WAGTAILWIND_FORWARD_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::forward {

inline constexpr LogEvent kForwarderStarted{2200, LogLevel::kInfo, "forwarder_started"};
inline constexpr LogEvent kForwarderStopping{2201, LogLevel::kInfo, "forwarder_stopping"};
inline constexpr LogEvent kForwarderStopped{2202, LogLevel::kInfo, "forwarder_stopped"};
inline constexpr LogEvent kSettingsReloaded{2203, LogLevel::kInfo, "settings_reloaded"};
inline constexpr LogEvent kSettingsRefused{2204, LogLevel::kError, "settings_refused"};
inline constexpr LogEvent kRequestForwarded{2210, LogLevel::kInfo, "request_forwarded"};
inline constexpr LogEvent kRequestRefused{2211, LogLevel::kInfo, "request_refused"};
inline constexpr LogEvent kRequestUnread{2212, LogLevel::kInfo, "request_unread"};
inline constexpr LogEvent kAttemptStarted{2213, LogLevel::kInfo, "attempt_started"};
inline constexpr LogEvent kAttemptFailed{2214, LogLevel::kInfo, "attempt_failed"};
inline constexpr LogEvent kRetryDecided{2215, LogLevel::kInfo, "retry_decided"};
inline constexpr LogEvent kAnswerSkipped{2216, LogLevel::kWarn, "answer_skipped"};
inline constexpr LogEvent kCallerLeft{2217, LogLevel::kInfo, "caller_left"};
inline constexpr LogEvent kAttemptSetAside{2218, LogLevel::kInfo, "attempt_set_aside"};
inline constexpr LogEvent kAttemptResumed{2219, LogLevel::kInfo, "attempt_resumed"};
inline constexpr LogEvent kConfigurationInForce{2220, LogLevel::kInfo, "configuration_in_force"};
inline constexpr LogEvent kConfigurationIgnored{2221, LogLevel::kError, "configuration_ignored"};
inline constexpr LogEvent kEndpointListed{2222, LogLevel::kInfo, "endpoint_listed"};
inline constexpr LogEvent kEndpointRemoved{2223, LogLevel::kInfo, "endpoint_removed"};
inline constexpr LogEvent kEndpointEntryIgnored{2224, LogLevel::kWarn, "endpoint_entry_ignored"};
inline constexpr LogEvent kKeyValueLost{2225, LogLevel::kWarn, "key_value_lost"};
inline constexpr LogEvent kKeyValueRegained{2226, LogLevel::kInfo, "key_value_regained"};
inline constexpr LogEvent kReadinessChanged{2227, LogLevel::kInfo, "readiness_changed"};
inline constexpr LogEvent kAcceptFailed{2228, LogLevel::kWarn, "accept_failed"};
inline constexpr LogEvent kLinesDropped{2229, LogLevel::kWarn, "log_lines_dropped"};
inline constexpr LogEvent kEndpointCrashed{2230, LogLevel::kWarn, "endpoint_crashed"};
inline constexpr LogEvent kPromptQuarantined{2231, LogLevel::kWarn, "prompt_quarantined"};
inline constexpr LogEvent kPromptReleased{2232, LogLevel::kInfo, "prompt_released"};
inline constexpr LogEvent kCrashReportIgnored{2233, LogLevel::kWarn, "crash_report_ignored"};
inline constexpr LogEvent kRecordWriteFailed{2234, LogLevel::kWarn, "record_write_failed"};
inline constexpr LogEvent kRecordDropped{2235, LogLevel::kWarn, "record_dropped"};
inline constexpr LogEvent kEndpointLimitChanged{2236, LogLevel::kInfo, "endpoint_limit_changed"};
inline constexpr LogEvent kRoutersChanged{2237, LogLevel::kInfo, "routers_changed"};
inline constexpr LogEvent kLimitRecordIgnored{2238, LogLevel::kWarn, "limit_record_ignored"};
inline constexpr LogEvent kEndpointLeaving{2239, LogLevel::kInfo, "endpoint_leaving"};
inline constexpr LogEvent kEndpointPaused{2240, LogLevel::kInfo, "endpoint_paused"};
inline constexpr LogEvent kPauseIgnored{2241, LogLevel::kWarn, "pause_ignored"};
inline constexpr LogEvent kZoneEvacuated{2242, LogLevel::kInfo, "zone_evacuated"};
inline constexpr LogEvent kZoneRestored{2243, LogLevel::kInfo, "zone_restored"};
inline constexpr LogEvent kEndpointCold{2244, LogLevel::kInfo, "endpoint_cold"};
inline constexpr LogEvent kKeyValueRead{2245, LogLevel::kInfo, "key_value_read"};
inline constexpr LogEvent kKeyValueRestored{2246, LogLevel::kWarn, "key_value_restored"};
inline constexpr LogEvent kConfigurationSkipped{2247, LogLevel::kInfo, "configuration_skipped"};
inline constexpr LogEvent kPaceIgnored{2250, LogLevel::kWarn, "pace_ignored"};
inline constexpr LogEvent kAdmissionRefused{2260, LogLevel::kInfo, "admission_refused"};
inline constexpr LogEvent kShortageBegan{2261, LogLevel::kWarn, "shortage_began"};
inline constexpr LogEvent kShortageEnded{2262, LogLevel::kInfo, "shortage_ended"};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_LOG_EVENTS_H_
