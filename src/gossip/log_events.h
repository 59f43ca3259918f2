#ifndef WAGTAILWIND_GOSSIP_LOG_EVENTS_H_
#define WAGTAILWIND_GOSSIP_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::gossip {

inline constexpr LogEvent kMemberJoined{5000, LogLevel::kInfo, "member_joined"};
inline constexpr LogEvent kMemberSuspected{5001, LogLevel::kInfo, "member_suspected"};
inline constexpr LogEvent kMemberDead{5002, LogLevel::kWarn, "member_dead"};
inline constexpr LogEvent kMemberLeaving{5003, LogLevel::kInfo, "member_leaving"};
inline constexpr LogEvent kMemberRecovered{5004, LogLevel::kInfo, "member_recovered"};
inline constexpr LogEvent kSuspicionRefuted{5005, LogLevel::kWarn, "suspicion_refuted"};
inline constexpr LogEvent kProcessPaused{5006, LogLevel::kWarn, "process_paused"};
inline constexpr LogEvent kDatagramDropped{5100, LogLevel::kDebug, "datagram_dropped"};
inline constexpr LogEvent kSocketError{5101, LogLevel::kWarn, "socket_error"};
inline constexpr LogEvent kConfigurationPulled{5200, LogLevel::kInfo, "configuration_pulled"};
inline constexpr LogEvent kPullFailed{5201, LogLevel::kWarn, "pull_failed"};
inline constexpr LogEvent kMembersPulled{5202, LogLevel::kInfo, "members_pulled"};
inline constexpr LogEvent kInstanceListFailed{5300, LogLevel::kWarn, "instance_list_failed"};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_LOG_EVENTS_H_
