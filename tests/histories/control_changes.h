#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief Checks the document against the reported changes: each accepted change is present with
/// its version and is not reverted by another change, no change reported as not accepted is
/// present, and there are no further changes. `before` is the document before the first change.
/// Supports at most records::kRecentChanges changes.
[[nodiscard]] Findings CheckChanges(const std::vector<ChangeReport>& changes,
                                    const records::Document& before,
                                    const records::Document& after);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_
