#ifndef WAGTAILWIND_FORWARD_CONFIRMATION_H_
#define WAGTAILWIND_FORWARD_CONFIRMATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace wagtailwind::forward {

/// \brief Tracks when the key-value service last confirmed that the configuration in force is the
/// newest.
///
/// Uses the boot clock, which includes time in suspension, because a key may be revoked while the
/// machine is suspended.
class Confirmation {
 public:
  /// \brief Records that the configuration in force was the newest at `valid_as_of`.
  void OnConfirmed(BootTime valid_as_of) noexcept {
    if (!m_confirmed_at || valid_as_of > *m_confirmed_at) {
      m_confirmed_at = valid_as_of;
    }
  }

  /// \brief Returns the time since the last confirmation; the maximum if there was none.
  [[nodiscard]] std::chrono::nanoseconds Age(BootTime now) const noexcept {
    return m_confirmed_at ? now - *m_confirmed_at : std::chrono::nanoseconds::max();
  }

  /// \brief Returns the age in milliseconds, for logs and metrics; empty if there was no
  /// confirmation.
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
