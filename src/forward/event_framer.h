#ifndef WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
#define WAGTAILWIND_FORWARD_EVENT_FRAMER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailwind::forward {

/// \brief Splits an event stream into complete events, so that a stream that breaks off inside an
/// event can be resumed at another endpoint without passing on a partial event.
class EventFramer {
 public:
  /// \brief Receives each complete event including its blank line, and its id if it is a number.
  using Handler = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

  /// \brief Adds bytes and reports the events that they complete.
  void Feed(std::string_view bytes, const Handler& handler);

  /// \brief Returns the bytes of the last, incomplete event.
  [[nodiscard]] std::string_view Rest() const noexcept { return m_partial; }

  /// \brief Discards the incomplete event.
  void Reset() noexcept { m_partial.clear(); }

 private:
  std::string m_partial;
};

/// \brief Returns the number in the `id` line of an event; empty if there is none.
[[nodiscard]] std::optional<std::uint64_t> EventId(std::string_view event) noexcept;

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_EVENT_FRAMER_H_
