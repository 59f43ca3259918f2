#ifndef WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_
#define WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief Estimates which chat prefixes are in the cache of an agent's engine. The estimate follows
/// the served requests, because cache events arrive late and with gaps. Above the engine's limit it
/// drops the least recently used prefixes. Thread-safe.
class PrefixDirectory {
 public:
  virtual ~PrefixDirectory() = default;

  /// \brief Sets the cached tokens of a chat after one of its requests ended or its prefix was
  /// imported.
  virtual void Store(const OrganisationName& organisation, const ChatId& chat,
                     std::uint32_t tokens) = 0;

  /// \brief Removes a chat after the engine reported fewer cached tokens than expected or the
  /// prefix was exported.
  virtual void Erase(const OrganisationName& organisation, const ChatId& chat) = 0;

  /// \brief Removes all chats after a restart of the engine.
  virtual void Reset() = 0;

  /// \brief Returns the expected cached tokens of the chat; 0 if unknown.
  [[nodiscard]] virtual std::uint32_t Find(const OrganisationName& organisation,
                                           const ChatId& chat) const = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
};

/// \brief Makes a directory of at most `max_chats` chats and `max_tokens` tokens.
[[nodiscard]] std::unique_ptr<PrefixDirectory> MakePrefixDirectory(std::size_t max_chats,
                                                                   std::uint64_t max_tokens);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_
