#ifndef WAGTAILWIND_DAEMON_LOG_EVENTS_H_
#define WAGTAILWIND_DAEMON_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::daemon {

inline constexpr LogEvent kListening{1001, LogLevel::kInfo, "listening"};
inline constexpr LogEvent kConfigurationReady{1002, LogLevel::kInfo, "configuration_ready"};
inline constexpr LogEvent kStopBegun{1003, LogLevel::kInfo, "stop_begun"};
inline constexpr LogEvent kStopFinished{1004, LogLevel::kInfo, "stop_finished"};
inline constexpr LogEvent kStopAbortedRequests{1005, LogLevel::kError, "stop_cut_requests"};
inline constexpr LogEvent kStartFailed{1006, LogLevel::kError, "start_failed"};
inline constexpr LogEvent kEngineOrdersApplied{1007, LogLevel::kInfo, "engine_orders_applied"};
inline constexpr LogEvent kEngineOrdersFailed{1008, LogLevel::kWarn, "engine_orders_failed"};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_LOG_EVENTS_H_
