#ifndef WAGTAILWIND_BALANCING_REFUSAL_PAUSE_H_
#define WAGTAILWIND_BALANCING_REFUSAL_PAUSE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace wagtailwind::balancing {

/// \brief Parses the time in seconds, with an optional fraction, for which an endpoint that has
/// refused a request wants no further ones. Returns empty if the text is not such a number.
[[nodiscard]] std::optional<std::chrono::nanoseconds> ParsePauseTime(
    std::string_view text) noexcept;

/// \brief Keeps the requests of this router from an endpoint that has named such a time. When it is
/// over, requests return gradually.
class RefusalPause {
 public:
  /// \brief Extends the pause to at least `time` from now. A shorter time than what is left changes
  /// nothing. `slots` is this router's part of the endpoint's slots, which its returning requests
  /// fill step by step.
  void Extend(std::chrono::nanoseconds time, double slots, SteadyTime now) noexcept;

  /// \brief Returns whether the endpoint wants no request now.
  [[nodiscard]] bool IsActive(SteadyTime now) const noexcept { return now < m_end; }

  /// \brief Returns whether a request may be sent now.
  [[nodiscard]] bool IsAvailable(SteadyTime now) const noexcept;

  /// \brief Counts a request that is sent.
  void OnSent(SteadyTime now) noexcept;

  /// \brief Returns the time until a request may be sent.
  [[nodiscard]] std::chrono::nanoseconds WaitTime(SteadyTime now) const noexcept;

 private:
  [[nodiscard]] bool IsReturning(SteadyTime now) const noexcept;

  SteadyTime m_end{};
  /// Requests a second that return after the end of the pause.
  double m_return_rate = 0;
  /// Number of requests that were sent since the end of the pause.
  std::uint32_t m_returned = 0;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_REFUSAL_PAUSE_H_
