#include "gossip/change_queue.h"

#include <algorithm>
#include <bit>

namespace wagtailwind::gossip {

void ChangeQueue::Add(const InstanceName& instance, bool full) {
  const auto found = std::ranges::find(m_items, instance, &Item::instance);
  if (found == m_items.end()) {
    m_items.push_back({instance, full, 0});
    return;
  }
  found->full = found->full || full;
  found->times_sent = 0;
}

void ChangeQueue::Send(std::size_t count, std::uint32_t limit, const AppendFunction& append) {
  const auto end = m_items.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_items.size()));
  std::ranges::partial_sort(m_items, end, std::ranges::less(), &Item::times_sent);
  for (auto item = m_items.begin(); item != end && append(*item); ++item) {
    ++item->times_sent;
  }
  std::erase_if(m_items, [limit](const Item& item) { return item.times_sent >= limit; });
}

std::size_t ChangeQueue::CountBelow(std::uint32_t times) const noexcept {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_items, [times](const Item& item) { return item.times_sent < times; }));
}

std::uint32_t TransmissionLimit(std::size_t members) noexcept {
  return 2U * static_cast<std::uint32_t>(std::bit_width(members + 1));
}

}  // namespace wagtailwind::gossip
