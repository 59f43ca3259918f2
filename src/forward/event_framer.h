#ifndef WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
#define WAGTAILWIND_FORWARD_EVENT_FRAMER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailwind::forward {

/// \brief Splits an event stream into whole events, so that a stream that breaks off in the middle
/// of an event can go on at another endpoint without a torn event.
class EventFramer {
 public:
  /// \brief Receives each whole event with its blank line, and its id if it is a number.
  using Handler = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

  /// \brief Adds bytes and reports the events that they complete.
  void Feed(std::string_view bytes, const Handler& handler);

  /// \brief Bytes of an event that is not complete.
  [[nodiscard]] std::string_view Rest() const noexcept { return m_partial; }

  /// \brief Forgets the incomplete event.
  void Reset() noexcept { m_partial.clear(); }

 private:
  std::string m_partial;
};

/// \brief The number of an event's `id` line; empty if it has none.
[[nodiscard]] std::optional<std::uint64_t> EventId(std::string_view event) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
