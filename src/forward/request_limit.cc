#include "forward/request_limit.h"

#include <charconv>
#include <cmath>

namespace wagtailwind::forward {

std::optional<double> ParseRequestLimit(std::string_view text) noexcept {
  double limit = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, limit);
  if (result.ec != std::errc() || result.ptr != end || !std::isfinite(limit) || limit < 0) {
    return std::nullopt;
  }
  return limit;
}

}  // namespace wagtailwind::forward
