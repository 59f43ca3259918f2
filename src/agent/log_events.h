#ifndef WAGTAILWIND_AGENT_LOG_EVENTS_H_
#define WAGTAILWIND_AGENT_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::agent {

inline constexpr LogEvent kAgentListening{3001, LogLevel::kInfo, "agent_listening"};
inline constexpr LogEvent kAttemptRefused{3002, LogLevel::kDebug, "attempt_refused"};
inline constexpr LogEvent kWrongIncarnation{3003, LogLevel::kInfo, "attempt_for_other_incarnation"};
inline constexpr LogEvent kDuplicateAttempt{3004, LogLevel::kInfo, "duplicate_attempt"};
inline constexpr LogEvent kStreamResumed{3005, LogLevel::kInfo, "engine_stream_resumed"};
inline constexpr LogEvent kEngineLost{3006, LogLevel::kWarn, "engine_stream_lost"};
inline constexpr LogEvent kUnreadCancelled{3007, LogLevel::kInfo, "unread_generation_cancelled"};
inline constexpr LogEvent kClaimAbandoned{3008, LogLevel::kInfo, "claim_abandoned"};
inline constexpr LogEvent kCallOutcomeUnknown{3009, LogLevel::kWarn, "call_outcome_unknown"};
inline constexpr LogEvent kAnswerOverLimit{3010, LogLevel::kWarn, "answer_over_limit"};
inline constexpr LogEvent kResultReplayed{3011, LogLevel::kInfo, "result_replayed"};
inline constexpr LogEvent kEndpointHealthy{3012, LogLevel::kInfo, "endpoint_healthy"};
inline constexpr LogEvent kEndpointUnhealthy{3013, LogLevel::kWarn, "endpoint_unhealthy"};
inline constexpr LogEvent kEndpointRestarted{3014, LogLevel::kWarn, "endpoint_restarted"};
inline constexpr LogEvent kStopStarted{3015, LogLevel::kInfo, "agent_stop_started"};
inline constexpr LogEvent kStopTimedOut{3016, LogLevel::kError, "agent_stop_bound_passed"};
inline constexpr LogEvent kFenceLost{3018, LogLevel::kWarn, "fence_lost"};
inline constexpr LogEvent kOrderRefused{3019, LogLevel::kWarn, "order_refused"};
inline constexpr LogEvent kFenceUnavailable{3020, LogLevel::kWarn, "fence_unavailable"};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_LOG_EVENTS_H_
