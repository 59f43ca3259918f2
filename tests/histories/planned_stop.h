#ifndef WAGTAILWIND_TESTS_HISTORIES_PLANNED_STOP_H_
#define WAGTAILWIND_TESTS_HISTORIES_PLANNED_STOP_H_

#include <filesystem>
#include <functional>
#include <vector>

#include "histories/caller.h"
#include "histories/history.h"
#include "support/fleet.h"

namespace wagtailwind::histories {

/// \brief Stops one router and all agents with SIGTERM while calls are in flight through both
/// routers, waits until they exit, and restarts them.
[[nodiscard]] std::vector<PlannedStop> StopUnderTraffic(wagtailwind::testing::Fleet& fleet,
                                                        CallerContext& context,
                                                        const std::filesystem::path& executions,
                                                        const std::function<void()>& on_restart);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_PLANNED_STOP_H_
