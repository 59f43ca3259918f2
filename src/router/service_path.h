#ifndef WAGTAILWIND_ROUTER_SERVICE_PATH_H_
#define WAGTAILWIND_ROUTER_SERVICE_PATH_H_

#include <string_view>

#include "records/configuration_view.h"

namespace wagtailwind::router {

/// \brief Whether every parser interprets a path alike: it begins with a slash and has no empty or
/// dot segments, no encoded slashes or dots, and no backslashes or control characters.
[[nodiscard]] bool IsUnambiguousPath(std::string_view path) noexcept;

/// \brief Whether the service record marks a call as repeatable. Prefixes match whole
/// segments.
[[nodiscard]] bool IsRepeatable(const records::Service& service, std::string_view method,
                                std::string_view path) noexcept;

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_SERVICE_PATH_H_
