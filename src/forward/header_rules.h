#ifndef WAGTAILWIND_FORWARD_HEADER_RULES_H_
#define WAGTAILWIND_FORWARD_HEADER_RULES_H_

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "balancing/load_estimate.h"
#include "http/message.h"

namespace wagtailwind::forward {

/// \brief Returns the end-to-end fields, without hop-by-hop fields and the length of the body.
[[nodiscard]] std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers);

/// \brief Returns the number of fields with the name.
[[nodiscard]] std::size_t CountHeaders(const std::vector<http::Header>& headers,
                                       std::string_view name) noexcept;

/// \brief Parses a field that holds whole milliseconds; empty if it does not.
[[nodiscard]] std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) noexcept;

/// \brief Parses the timeout of a `Keep-Alive` field; empty if it has none.
[[nodiscard]] std::optional<std::chrono::milliseconds> KeepAliveTimeout(
    std::string_view text) noexcept;

/// \brief Parses a load field: running requests, waiting requests, slots, and optionally the pace
/// in percent. Empty if one of the first three is malformed; a malformed pace is left out.
[[nodiscard]] std::optional<balancing::LoadReport> ParseLoad(std::string_view text) noexcept;

/// \brief Returns whether a load field has a pace that is malformed or out of range.
[[nodiscard]] bool HasMalformedPace(std::string_view text) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_HEADER_RULES_H_
