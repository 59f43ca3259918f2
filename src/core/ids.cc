#include "core/ids.h"

namespace wagtailwind {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string ToHex(const RequestId& id) {
  std::string text;
  text.reserve(id.size() * 2);
  for (const std::uint8_t byte : id) {
    text.push_back(kHexDigits[byte >> 4U]);
    text.push_back(kHexDigits[byte & 0x0FU]);
  }
  return text;
}

std::optional<RequestId> RequestIdFromHex(std::string_view text) noexcept {
  RequestId id{};
  if (text.size() != id.size() * 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < id.size(); ++i) {
    const std::size_t high = kHexDigits.find(text[2 * i]);
    const std::size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    id[i] = static_cast<std::uint8_t>(high << 4U | low);
  }
  return id;
}

}  // namespace wagtailwind
