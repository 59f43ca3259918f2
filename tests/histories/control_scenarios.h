#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_

#include "histories/control_fleet.h"

namespace wagtailwind::histories {

/// \brief Drains an engine by a plan while callers send and a router is paused that has not learned
/// of it, and takes the plan back.
[[nodiscard]] ClosedGate DrainEngine(ControlFleet& fleet, std::size_t engine, std::size_t router);

/// \brief The instance list says that an engine's agent leaves, while a router is paused.
[[nodiscard]] ClosedGate LeaveByList(ControlFleet& fleet, std::size_t engine, std::size_t router);

/// \brief Pauses an engine's agent while it orders a version, lets a successor order the next one,
/// and resumes the agent.
[[nodiscard]] EngineHistory ReplaceHolder(ControlFleet& fleet, std::size_t engine,
                                          std::uint64_t seed);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_
