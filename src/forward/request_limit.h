#ifndef WAGTAILWIND_FORWARD_REQUEST_LIMIT_H_
#define WAGTAILWIND_FORWARD_REQUEST_LIMIT_H_

#include <optional>
#include <string_view>

namespace wagtailwind::forward {

/// \brief Parses the number of requests a second that an endpoint takes from all routers together.
/// Returns empty if the text is not a number of at least 0.
[[nodiscard]] std::optional<double> ParseRequestLimit(std::string_view text) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_REQUEST_LIMIT_H_
