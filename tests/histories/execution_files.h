#ifndef WAGTAILWIND_TESTS_HISTORIES_EXECUTION_FILES_H_
#define WAGTAILWIND_TESTS_HISTORIES_EXECUTION_FILES_H_

#include <filesystem>
#include <vector>

#include "histories/history.h"

namespace wagtailwind::histories {

/// \brief Reads the history file of the engine and service stand-ins.
[[nodiscard]] std::vector<Execution> ReadExecutions(const std::filesystem::path& file);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_EXECUTION_FILES_H_
