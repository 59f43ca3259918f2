#ifndef WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_
#define WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/ids.h"

namespace wagtailwind::gossip {

/// \brief Members whose changes still have to be passed on, each a bounded number of times. For
/// one thread.
class ChangeQueue {
 public:
  /// \brief A change to pass on; `full` asks for the whole record, since peers may not know it.
  struct Item {
    InstanceName instance;
    bool full = false;
    std::uint32_t times_sent = 0;
  };

  /// \brief Adds a change; it replaces an older one of the same member.
  void Add(const InstanceName& instance, bool full);

  /// \brief Whether an item was put into the message.
  using Place = std::function<bool(const Item&)>;

  /// \brief Offers up to `count` items, those with the fewest transmissions first, until one does
  /// not fit. Each one that does is counted as sent once more, and removed after `limit` times.
  void Send(std::size_t count, std::uint32_t limit, const Place& place);

  /// \brief Number of items that were sent fewer than `times` times.
  [[nodiscard]] std::size_t CountBelow(std::uint32_t times) const noexcept;

  [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

 private:
  std::vector<Item> m_items;
};

/// \brief Transmissions of each change by each of `members` processes: O(log n).
[[nodiscard]] std::uint32_t TransmissionLimit(std::size_t members) noexcept;

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_
