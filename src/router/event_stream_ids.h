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

  /// \brief Takes the next bytes of the answer and returns the whole events among them, with ids.
  [[nodiscard]] std::string Push(std::string_view data);

  /// \brief The bytes after the last blank line, for the end of a whole answer. A failed answer
  /// leaves them out: a part of an event is never sent.
  [[nodiscard]] std::string TakeRest();

 private:
  void AppendEvent(std::string& output, std::size_t event_size, std::size_t blank_size);

  std::string m_answer_id;
  std::uint64_t m_offset;
  /// Bytes of the event that is not whole yet.
  std::string m_pending;
  /// Position in m_pending from where the blank line is searched.
  std::size_t m_scanned = 0;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_EVENT_STREAM_IDS_H_
