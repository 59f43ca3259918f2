#include "forward/event_framer.h"

#include <algorithm>
#include <charconv>

namespace wagtailwind::forward {

namespace {

/// Returns the length of the first complete event in the text, including its blank line; 0 if there
/// is none.
std::size_t FirstEventLength(std::string_view text, std::size_t from) noexcept {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
  }
  return 0;
}

}  // namespace

void EventFramer::Feed(std::string_view bytes, const Handler& handler) {
  // The line end before a blank line may be up to two bytes before the new bytes.
  constexpr std::size_t kLookBack = 3;
  std::size_t from = m_partial.size() - std::min(m_partial.size(), kLookBack);
  m_partial.append(bytes);
  std::size_t begin = 0;
  while (const std::size_t length =
             FirstEventLength(std::string_view(m_partial).substr(begin), from)) {
    const std::string_view event = std::string_view(m_partial).substr(begin, length);
    handler(event, EventId(event));
    begin += length;
    from = 0;
  }
  m_partial.erase(0, begin);
}

std::optional<std::uint64_t> EventId(std::string_view event) noexcept {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    return error == std::errc() ? std::optional(id) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace wagtailwind::forward
