#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_

#include "histories/control_history.h"

namespace wagtailwind::histories {

/// \brief What was reported as accepted is in the document under its version and was not undone by
/// anyone else, what was reported as not accepted is not, and nothing else is. `before` is the
/// document before the first of the changes. At most records::kRecentChanges are made.
[[nodiscard]] Findings CheckChanges(const std::vector<ChangeReport>& changes,
                                    const records::Document& before,
                                    const records::Document& after);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_CHANGES_H_
