#ifndef WAGTAILWIND_PLACEMENT_CHAT_KEY_H_
#define WAGTAILWIND_PLACEMENT_CHAT_KEY_H_

#include <array>
#include <cstdint>
#include <string>

#include "core/hash.h"
#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief Key of a chat. It includes the organisation, because two organisations may use the same
/// chat id.
using ChatKey = std::array<std::uint8_t, 16>;

namespace detail {

/// \brief Joins organisation and chat id by a NUL, which neither may contain, so that different
/// pairs give different texts.
[[nodiscard]] inline std::string ChatText(const OrganisationName& organisation,
                                          const ChatId& chat) {
  std::string text = organisation.value();
  text.push_back('\0');
  return text.append(chat.value());
}

}  // namespace detail

/// \brief 64-bit hash of a chat, for the rendezvous order.
[[nodiscard]] inline std::uint64_t ChatHash(const OrganisationName& organisation,
                                            const ChatId& chat) {
  return StableHash(detail::ChatText(organisation, chat));
}

/// \brief 128-bit key of a chat, for tables.
[[nodiscard]] inline ChatKey MakeChatKey(const OrganisationName& organisation, const ChatId& chat) {
  return StableHash128(detail::ChatText(organisation, chat));
}

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_CHAT_KEY_H_
