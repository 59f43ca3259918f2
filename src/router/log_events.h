#ifndef WAGTAILWIND_ROUTER_LOG_EVENTS_H_
#define WAGTAILWIND_ROUTER_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::router {

inline constexpr LogEvent kListening{2000, LogLevel::kInfo, "router_listening"};
inline constexpr LogEvent kRequestFinished{2001, LogLevel::kDebug, "request_finished"};
inline constexpr LogEvent kRequestFailed{2002, LogLevel::kInfo, "request_failed"};
inline constexpr LogEvent kAttemptLost{2003, LogLevel::kWarn, "attempt_lost"};
inline constexpr LogEvent kCallerDisconnected{2004, LogLevel::kDebug, "caller_gone"};
inline constexpr LogEvent kStopStarted{2010, LogLevel::kInfo, "router_stop_started"};
inline constexpr LogEvent kStopFinished{2011, LogLevel::kInfo, "router_stop_finished"};
inline constexpr LogEvent kStreamsTerminated{2012, LogLevel::kError, "router_streams_cut"};
inline constexpr LogEvent kHttpLibraryError{2020, LogLevel::kWarn, "http_library_error"};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_LOG_EVENTS_H_
