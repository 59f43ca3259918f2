#ifndef WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_
#define WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_

#include <cstddef>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief Records at the home agent of a chat, the first in rendezvous order, which other endpoint
/// served the chat last. Pointers are bounded in number and age. Thread-safe.
class HomePointers {
 public:
  virtual ~HomePointers() = default;

  /// \brief Sets the endpoint that served a chat last.
  virtual void Set(const OrganisationName& organisation, const ChatId& chat,
                   const EndpointName& endpoint) = 0;

  /// \brief Removes the pointer of a chat that is served by its home agent again.
  virtual void Clear(const OrganisationName& organisation, const ChatId& chat) = 0;

  /// \brief Returns the endpoint that served the chat last; empty if unknown or expired.
  [[nodiscard]] virtual std::optional<EndpointName> Find(const OrganisationName& organisation,
                                                         const ChatId& chat) const = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
};

/// \brief Makes a table of at most `capacity` pointers, which evicts the oldest first.
[[nodiscard]] std::unique_ptr<HomePointers> MakeHomePointers(std::size_t capacity,
                                                             const Clock& clock);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_HOME_POINTERS_H_
