#ifndef WAGTAILWIND_TESTS_HISTORIES_VERDICT_H_
#define WAGTAILWIND_TESTS_HISTORIES_VERDICT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "histories/history.h"

namespace wagtailwind::histories {

/// \brief Outcome of a run.
struct Verdict {
  std::uint64_t seed = 0;
  std::string mutant;
  /// Counts by name, such as `calls` and `executions`.
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::uint64_t> faults;
  std::vector<Violation> violations;
  /// Why the run proves nothing, such as `no faults`; empty if the run is meaningful.
  std::string vacuous;

  /// \brief `pass`, `fail` or `vacuous`.
  [[nodiscard]] std::string Text() const;
};

/// \brief Prints the violations and the JSON line, and returns the exit status (0 only for `pass`).
int ReportVerdict(const Verdict& verdict);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_VERDICT_H_
