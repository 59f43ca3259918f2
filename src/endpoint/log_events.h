#ifndef WAGTAILWIND_ENDPOINT_LOG_EVENTS_H_
#define WAGTAILWIND_ENDPOINT_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::endpoint {

inline constexpr LogEvent kTransferFailed{8001, LogLevel::kInfo, "transfer_failed"};
inline constexpr LogEvent kMalformedStatus{8002, LogLevel::kWarn, "malformed_engine_status"};
inline constexpr LogEvent kStreamMismatch{8003, LogLevel::kError, "resumed_stream_mismatch"};
inline constexpr LogEvent kCallNotSendable{8004, LogLevel::kWarn, "call_not_sendable"};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_LOG_EVENTS_H_
