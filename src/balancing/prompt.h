#ifndef WAGTAILWIND_BALANCING_PROMPT_H_
#define WAGTAILWIND_BALANCING_PROMPT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::balancing {

/// \brief Identifies a part of a prompt that several requests have in common.
enum class PromptPart : std::uint64_t {};

/// \brief The parts of a prompt that a request shares with other requests.
struct SharedPrompt {
  /// Hash of the parts.
  std::uint64_t key = 0;
  std::uint64_t tokens = 0;
  std::vector<PromptPart> parts{};
};

/// \brief Parses a comma-separated list of `id:tokens`, the last part of which belongs to this
/// request alone. Returns empty if the list is empty.
[[nodiscard]] std::optional<SharedPrompt> ParsePrompt(std::string_view parts);

/// \brief Returns the part with the id `text`. A hexadecimal id of up to 16 digits is its own
/// value.
[[nodiscard]] PromptPart ParsePromptPart(std::string_view text) noexcept;

/// \brief Returns a part as a hexadecimal number.
[[nodiscard]] std::string ToText(PromptPart part);

/// \brief Returns the parts as hexadecimal numbers, separated by commas.
[[nodiscard]] std::string ToText(std::span<const PromptPart> parts);

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_PROMPT_H_
