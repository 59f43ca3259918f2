#ifndef WAGTAILWIND_FORWARD_STATUS_TEXT_H_
#define WAGTAILWIND_FORWARD_STATUS_TEXT_H_

#include <http_parser.h>

#include <string_view>

namespace wagtailwind::forward {

/// \brief Returns the reason phrase of an HTTP status.
[[nodiscard]] inline std::string_view StatusText(int status) noexcept {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_STATUS_TEXT_H_
