#ifndef WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_
#define WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/ids.h"

namespace wagtailwind::gossip {

/// \brief Queue of the members whose changes are still to be sent to peers, each a limited number
/// of times. Not thread-safe.
class ChangeQueue {
 public:
  /// \brief Change of one member. `full` requests the full record instead of the status, because
  /// peers may not know the member.
  struct Item {
    InstanceName instance;
    bool full = false;
    std::uint32_t times_sent = 0;
  };

  /// \brief Adds a change, which replaces an older change of the same member.
  void Add(const InstanceName& instance, bool full);

  /// \brief Appends an item to a message; returns false if it does not fit.
  using AppendFunction = std::function<bool(const Item&)>;

  /// \brief Passes up to `count` items to `append`, those with the fewest transmissions first,
  /// until one does not fit. Counts a transmission of each item that fits, and removes items that
  /// were sent `limit` times.
  void Send(std::size_t count, std::uint32_t limit, const AppendFunction& append);

  /// \brief Returns the number of items that were sent fewer than `times` times.
  [[nodiscard]] std::size_t CountBelow(std::uint32_t times) const noexcept;

  [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

 private:
  std::vector<Item> m_items;
};

/// \brief Returns how often each of `members` processes sends a change: O(log n).
[[nodiscard]] std::uint32_t TransmissionLimit(std::size_t members) noexcept;

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_
