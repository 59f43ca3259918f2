#ifndef WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_
#define WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief An agent's estimate of the prefixes in its engine's cache, by what the engine served.
/// Cache events arrive late and with gaps; the estimate follows the requests instead, with the
/// engine's limit and least recent use. Safe to use from several threads.
class PrefixDirectory {
 public:
  virtual ~PrefixDirectory() = default;

  /// \brief A request of the chat ended, or its prefix was imported, with this many tokens.
  virtual void Store(const OrganisationName& organisation, const ChatId& chat,
                     std::uint32_t tokens) = 0;

  /// \brief The engine reported fewer cached tokens than expected, or the prefix was exported.
  virtual void Erase(const OrganisationName& organisation, const ChatId& chat) = 0;

  /// \brief The engine restarted.
  virtual void Reset() = 0;

  /// \brief Expected cached tokens of the chat; 0 if unknown.
  [[nodiscard]] virtual std::uint32_t Find(const OrganisationName& organisation,
                                           const ChatId& chat) const = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
};

/// \brief A directory of at most `max_chats` chats and `max_tokens` tokens.
[[nodiscard]] std::unique_ptr<PrefixDirectory> MakePrefixDirectory(std::size_t max_chats,
                                                                   std::uint64_t max_tokens);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_PREFIX_DIRECTORY_H_
