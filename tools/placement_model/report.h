#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "placement_model/result.h"

namespace wagtailwind::placement_model {

/// \brief The name of a policy and the result of its run.
using NamedResult = std::pair<std::string, Result>;

/// \brief Formats a table with one line per policy.
[[nodiscard]] std::string ToTable(const std::vector<NamedResult>& results);

/// \brief Formats one JSON object with all columns of all policies.
[[nodiscard]] std::string ToJson(const std::string& size, std::uint64_t seed,
                                 const std::vector<NamedResult>& results);

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_
