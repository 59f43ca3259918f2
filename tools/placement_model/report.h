#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "placement_model/result.h"

namespace wagtailwind::placement_model {

/// \brief A policy's name and what its run counted.
using NamedResult = std::pair<std::string, Result>;

/// \brief One line for each policy.
[[nodiscard]] std::string ToTable(const std::vector<NamedResult>& results);

/// \brief One JSON object with all columns.
[[nodiscard]] std::string ToJson(const std::string& size, std::uint64_t seed,
                                 const std::vector<NamedResult>& results);

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_REPORT_H_
