#ifndef WAGTAILWIND_RPC_LOG_EVENTS_H_
#define WAGTAILWIND_RPC_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::rpc {

// The ids are in the router's range, because only routers open connections to agents.
inline constexpr LogEvent kAgentConnected{2100, LogLevel::kDebug, "agent_connected"};
inline constexpr LogEvent kAgentConnectFailed{2101, LogLevel::kWarn, "agent_connect_failed"};
inline constexpr LogEvent kAgentDisconnected{2102, LogLevel::kInfo, "agent_disconnected"};
inline constexpr LogEvent kReplyDropped{2103, LogLevel::kWarn, "reply_dropped"};
inline constexpr LogEvent kAgentProtocolError{2104, LogLevel::kError, "agent_protocol_error"};
inline constexpr LogEvent kRpcTaskFailed{2105, LogLevel::kDebug, "rpc_task_failed"};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_LOG_EVENTS_H_
