#include "router/event_stream_ids.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::router {

namespace {

// Limits the memory of an event without an end. A larger event is sent without an id, so a resume
// begins before it.
constexpr std::size_t kMaxEventBytes = 128U << 10U;

struct BlankLine {
  /// Start of the blank line, directly after the line end of the event's last line.
  std::size_t position = std::string::npos;
  std::size_t size = 0;
};

BlankLine FindBlankLine(std::string_view text, std::size_t from) noexcept {
  for (std::size_t i = from; i < text.size(); ++i) {
    if (text[i] != '\n') {
      continue;
    }
    if (i + 1 < text.size() && text[i + 1] == '\n') {
      return {i + 1, 1};
    }
    if (i + 2 < text.size() && text[i + 1] == '\r' && text[i + 2] == '\n') {
      return {i + 1, 2};
    }
  }
  return {};
}

}  // namespace

EventStreamIds::EventStreamIds(std::string answer_id, std::uint64_t offset)
    : m_answer_id(std::move(answer_id)), m_offset(offset) {}

std::string EventStreamIds::Push(std::string_view data) {
  m_pending.append(data);
  std::string output;
  for (BlankLine blank = FindBlankLine(m_pending, m_search_start); blank.size > 0;
       blank = FindBlankLine(m_pending, m_search_start)) {
    AppendEvent(output, blank.position, blank.size);
  }
  // If a blank line is split between two chunks, the line end before it is at most 2 bytes before
  // the end.
  m_search_start = m_pending.size() - std::min<std::size_t>(m_pending.size(), 2);
  if (m_pending.size() > kMaxEventBytes) {
    m_offset += m_pending.size() - 2;
    output.append(m_pending, 0, m_pending.size() - 2);
    m_pending.erase(0, m_pending.size() - 2);
    m_search_start = 0;
  }
  return output;
}

void EventStreamIds::AppendEvent(std::string& output, std::size_t event_size,
                                 std::size_t blank_size) {
  m_offset += event_size + blank_size;
  output.append(m_pending, 0, event_size);
  // The field is added last, because clients use the last id of an event.
  output.append("id: ").append(m_answer_id).append("/").append(std::to_string(m_offset));
  output.append("\n");
  output.append(m_pending, event_size, blank_size);
  m_pending.erase(0, event_size + blank_size);
  m_search_start = 0;
}

std::string EventStreamIds::TakeRemaining() {
  m_offset += m_pending.size();
  m_search_start = 0;
  return std::exchange(m_pending, {});
}

}  // namespace wagtailwind::router
