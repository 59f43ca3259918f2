#ifndef WAGTAILWIND_FORWARD_CONFIRMATION_H_
#define WAGTAILWIND_FORWARD_CONFIRMATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::forward {

/// \brief When the key-value service last confirmed that the configuration in force is the newest.
///
/// The time includes suspension, during which a key may have been revoked.
class Confirmation {
 public:
  /// \brief The configuration in force was the newest at this time.
  void OnConfirmed(BootTime held_at) noexcept {
    if (!m_confirmed_at || held_at > *m_confirmed_at) {
      m_confirmed_at = held_at;
    }
  }

  /// \brief Time since the last confirmation; the maximum if there was none.
  [[nodiscard]] std::chrono::nanoseconds Age(BootTime now) const noexcept {
    return m_confirmed_at ? now - *m_confirmed_at : std::chrono::nanoseconds::max();
  }

  /// \brief The same in milliseconds, for logs and metrics; empty if there was none.
  [[nodiscard]] std::optional<std::int64_t> AgeMilliseconds(BootTime now) const noexcept {
    if (!m_confirmed_at) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(Age(now)).count();
  }

 private:
  std::optional<BootTime> m_confirmed_at;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CONFIRMATION_H_
