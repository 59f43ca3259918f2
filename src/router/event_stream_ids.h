#ifndef WAGTAILWIND_ROUTER_EVENT_STREAM_IDS_H_
#define WAGTAILWIND_ROUTER_EVENT_STREAM_IDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailwind::router {

/// \brief Adds an `id: <answer id>/<offset>` field to each server-sent event of an answer. The
/// offset counts the agent's bytes up to and including the event's blank line, so that a resume
/// from there begins with the next event.
class EventStreamIds {
 public:
  /// \brief `offset` is the position of the first byte in the agent's answer.
  EventStreamIds(std::string answer_id, std::uint64_t offset);

  /// \brief Appends the next bytes of the answer and returns the events that are now complete, with
  /// ids.
  [[nodiscard]] std::string Push(std::string_view data);

  /// \brief Returns the bytes after the last blank line, at the end of a complete answer. Must not
  /// be called for a failed answer, since partial events are never sent.
  [[nodiscard]] std::string TakeRemaining();

 private:
  void AppendEvent(std::string& output, std::size_t event_size, std::size_t blank_size);

  std::string m_answer_id;
  std::uint64_t m_offset;
  /// Bytes of the incomplete event.
  std::string m_pending;
  /// Position in m_pending where the search for the next blank line starts.
  std::size_t m_search_start = 0;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_EVENT_STREAM_IDS_H_
