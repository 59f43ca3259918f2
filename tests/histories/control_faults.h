#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_FAULTS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_FAULTS_H_

#include <cstdint>
#include <map>
#include <string>

#include "histories/control_fleet.h"
#include "histories/run_options.h"

namespace wagtailwind::histories {

/// \brief Runs the faults of a plan made from the seed and returns their number by kind.
/// Afterwards, all processes run and the platform answers.
[[nodiscard]] std::map<std::string, std::uint64_t> RunFaults(ControlFleet& fleet,
                                                             Operators& operators,
                                                             const RunOptions& options);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_FAULTS_H_
