#ifndef WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
#define WAGTAILWIND_FORWARD_EVENT_FRAMER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailwind::forward {

/// \brief Splits an event stream into complete events, so that a stream that breaks off inside an
/// event can be resumed at another endpoint without passing on a partial event. Comments and blank
/// lines are no events; they are reported with the event that follows them.
class EventFramer {
 public:
  /// \brief Receives each complete event including its blank line, and its id if it is a number.
  using Handler = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

  /// \brief Adds bytes and reports the events that they complete. Returns false if the incomplete
  /// event exceeds kMaxEventBytes; the stream is then not an event stream and must be given up.
  [[nodiscard]] bool Feed(std::string_view bytes, const Handler& handler);

  /// \brief Returns the bytes of the last, incomplete event.
  [[nodiscard]] std::string_view Rest() const noexcept { return m_partial; }

  /// \brief Returns whether the stream has begun an event that is incomplete.
  [[nodiscard]] bool IsInsideEvent() const noexcept;

  /// \brief Discards the incomplete event.
  void Reset() noexcept {
    m_partial.clear();
    m_comment_bytes = 0;
  }

  /// Largest size of an event, including comments before it.
  static constexpr std::size_t kMaxEventBytes = 64U << 10U;

 private:
  std::string m_partial;
  /// Length of the blocks without a field at the beginning of m_partial.
  std::size_t m_comment_bytes = 0;
};

/// \brief Returns the number in the `id` line of an event; empty if there is none.
[[nodiscard]] std::optional<std::uint64_t> EventId(std::string_view event) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
