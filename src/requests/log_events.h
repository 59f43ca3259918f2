#ifndef WAGTAILWIND_REQUESTS_LOG_EVENTS_H_
#define WAGTAILWIND_REQUESTS_LOG_EVENTS_H_

#include "core/log.h"

namespace wagtailwind::requests {

inline constexpr LogEvent kClaimCommitFailed{7001, LogLevel::kWarn, "claim_commit_failed"};
inline constexpr LogEvent kClaimsLoaded{7002, LogLevel::kInfo, "claims_loaded"};

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_LOG_EVENTS_H_
