#ifndef WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_
#define WAGTAILWIND_GOSSIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <cstdint>
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

  /// \brief Up to `count` items with the fewest transmissions, each counted as sent once more. An
  /// item that has been sent `limit` times is removed.
  [[nodiscard]] std::vector<Item> Next(std::size_t count, std::uint32_t limit);

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
