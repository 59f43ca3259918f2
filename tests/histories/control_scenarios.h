#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_

#include "histories/control_fleet.h"

namespace wagtailwind::histories {

/// \brief Drains an engine with a drain plan while callers send requests, then deletes the plan.
/// One router is paused before the drain and routes a burst of requests without knowing of it.
[[nodiscard]] AdmissionClosure DrainEngine(ControlFleet& fleet, std::size_t engine,
                                           std::size_t router);

/// \brief Marks an engine's agent as leaving in the instance list while a router is paused.
[[nodiscard]] AdmissionClosure MarkAgentLeaving(ControlFleet& fleet, std::size_t engine,
                                                std::size_t router);

/// \brief Pauses an engine's agent while it orders a model version, starts a successor that orders
/// the next version, and resumes the paused agent.
[[nodiscard]] EngineHistory ReplaceFenceHolder(ControlFleet& fleet, std::size_t engine,
                                               std::uint64_t seed);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_SCENARIOS_H_
