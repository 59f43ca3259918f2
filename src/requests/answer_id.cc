#include "requests/answer_id.h"

#include <charconv>

#include "absl/strings/str_cat.h"

namespace wagtailwind::requests {

std::string ToText(const AnswerId& id) {
  return absl::StrCat(id.endpoint.value(), "~", absl::Hex(id.agent_incarnation), "~",
                      ToHex(id.number));
}

std::optional<AnswerId> ParseAnswerId(std::string_view text) {
  const std::size_t second = text.rfind('~');
  if (second == std::string_view::npos || second == 0) {
    return std::nullopt;
  }
  const std::size_t first = text.rfind('~', second - 1);
  if (first == std::string_view::npos || first == 0) {
    return std::nullopt;
  }
  AnswerId id{EndpointName(std::string(text.substr(0, first))), 0, {}};
  const char* const digits_end = text.data() + second;
  const auto [end, code] =
      std::from_chars(text.data() + first + 1, digits_end, id.agent_incarnation, 16);
  const std::optional<RequestId> number = RequestIdFromHex(text.substr(second + 1));
  if (code != std::errc() || end != digits_end || !number) {
    return std::nullopt;
  }
  id.number = *number;
  return id;
}

}  // namespace wagtailwind::requests
