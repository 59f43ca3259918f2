#include "forward/event_framer.h"

#include <algorithm>
#include <charconv>

#include "core/mutant.h"

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

/// Whether a block of lines has a field, so that it is an event and not only comments.
bool HasField(std::string_view block) noexcept {
  while (!block.empty()) {
    const char first = block.front();
    if (first != ':' && first != '\r' && first != '\n') {
      return true;
    }
    block.remove_prefix(std::min(block.find('\n'), block.size() - 1) + 1);
  }
  return false;
}

}  // namespace

bool EventFramer::Feed(std::string_view bytes, const Handler& handler) {
  // The line end before a blank line may be up to two bytes before the new bytes.
  constexpr std::size_t kLookBack = 3;
  const std::size_t unfinished = m_partial.size() - m_comment_bytes;
  std::size_t from = unfinished - std::min(unfinished, kLookBack);
  m_partial.append(bytes);
  const std::string_view text = m_partial;
  std::size_t begin = 0;
  std::size_t block = m_comment_bytes;
  while (const std::size_t length = FirstEventLength(text.substr(block), from)) {
    const bool is_event = HasField(text.substr(block, length));
    block += length;
    from = 0;
    if (is_event) {
      const std::string_view event = text.substr(begin, block - begin);
      handler(event, EventId(event));
      begin = block;
    }
  }
  m_comment_bytes = block - begin;
  m_partial.erase(0, begin);
  return m_partial.size() <= kMaxEventBytes || IsMutantEnabled("forwarder_keeps_endless_events");
}

bool EventFramer::IsInsideEvent() const noexcept {
  return HasField(std::string_view(m_partial).substr(m_comment_bytes));
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
