#include "balancing/prompt.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"

namespace wagtailwind::balancing {

std::optional<SharedPrompt> ParsePrompt(std::string_view parts) {
  if (parts.empty()) {
    return std::nullopt;
  }
  const std::size_t last = parts.rfind(',');
  std::string_view shared = last == std::string_view::npos ? parts : parts.substr(0, last);
  SharedPrompt prompt{.key = StableHash(shared)};
  while (!shared.empty()) {
    const std::size_t end = std::min(shared.find(','), shared.size());
    const std::string_view part = shared.substr(0, end);
    shared.remove_prefix(std::min(end + 1, shared.size()));
    const std::size_t colon = part.find(':');
    std::uint64_t tokens = 0;
    if (colon != std::string_view::npos) {
      std::from_chars(part.data() + colon + 1, part.data() + part.size(), tokens);
    }
    prompt.tokens += tokens;
    prompt.parts.push_back(ParsePromptPart(part.substr(0, colon)));
  }
  return prompt;
}

PromptPart ParsePromptPart(std::string_view text) noexcept {
  constexpr int kHexadecimal = 16;
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kHexadecimal);
  const bool is_number = result.ec == std::errc() && result.ptr == end;
  return PromptPart{is_number ? value : StableHash(text)};
}

std::string ToText(PromptPart part) {
  constexpr int kHexadecimal = 16;
  char digits[16];
  const auto result = std::to_chars(std::begin(digits), std::end(digits),
                                    static_cast<std::uint64_t>(part), kHexadecimal);
  return {digits, result.ptr};
}

std::string ToText(std::span<const PromptPart> parts) {
  std::string text;
  for (const PromptPart part : parts) {
    text.append(text.empty() ? "" : ",").append(ToText(part));
  }
  return text;
}

}  // namespace wagtailwind::balancing
