#ifndef WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_
#define WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_

#include <cstddef>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief Where chats whose home is this agent were last served, if elsewhere. Bounded in number
/// and age. Safe to use from several threads.
class HomePointers {
 public:
  virtual ~HomePointers() = default;

  /// \brief Sets the pointer of a chat.
  virtual void Set(const OrganisationName& organisation, const ChatId& chat,
                   const EndpointName& endpoint) = 0;

  /// \brief Removes the pointer of a chat, because it is served here again.
  virtual void Clear(const OrganisationName& organisation, const ChatId& chat) = 0;

  /// \brief The endpoint that served the chat last, if known and not too long ago.
  [[nodiscard]] virtual std::optional<EndpointName> Find(const OrganisationName& organisation,
                                                         const ChatId& chat) const = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
};

/// \brief A table of at most `capacity` pointers; the oldest are evicted first.
[[nodiscard]] std::unique_ptr<HomePointers> MakeHomePointers(std::size_t capacity,
                                                             const Clock& clock);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_
