#include "requests/answer_id.h"

#include <charconv>

#include "absl/strings/str_cat.h"

namespace wagtailwind::requests {

std::string ToText(const AnswerId& id) {
  return absl::StrCat(id.endpoint.value(), "~", absl::Hex(id.agent_incarnation), "~",
                      ToHex(id.number));
}

std::optional<AnswerId> ParseAnswerId(std::string_view text) {
  // Searches from the end, so that an endpoint name may contain the separator.
  const std::size_t second_separator = text.rfind('~');
  if (second_separator == std::string_view::npos || second_separator == 0) {
    return std::nullopt;
  }
  const std::size_t first_separator = text.rfind('~', second_separator - 1);
  if (first_separator == std::string_view::npos || first_separator == 0) {
    return std::nullopt;
  }
  AnswerId id{EndpointName(std::string(text.substr(0, first_separator))), 0, {}};
  const char* const digits_end = text.data() + second_separator;
  const auto [end, code] =
      std::from_chars(text.data() + first_separator + 1, digits_end, id.agent_incarnation, 16);
  const std::optional<RequestId> number = RequestIdFromHex(text.substr(second_separator + 1));
  if (code != std::errc() || end != digits_end || !number) {
    return std::nullopt;
  }
  id.number = *number;
  return id;
}

}  // namespace wagtailwind::requests
