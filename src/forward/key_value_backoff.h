#ifndef WAGTAILWIND_FORWARD_KEY_VALUE_BACKOFF_H_
#define WAGTAILWIND_FORWARD_KEY_VALUE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/random_source.h"

namespace wagtailwind::forward {

/// \brief Returns the time after which a failed call of the key-value service is repeated, where
/// `repeats` delayed repeats of it have failed before. It is random, up to a limit that doubles to
/// 600 ms, so that the routers of a fleet do not overload a recovering service.
[[nodiscard]] inline std::chrono::milliseconds KeyValueBackoff(RandomSource& random, int repeats) {
  constexpr std::chrono::milliseconds kFirst{100};
  constexpr std::chrono::milliseconds kMax{600};
  constexpr int kMaxDoublings = 8;
  const auto ceiling = std::min(kMax, kFirst * (1 << std::clamp(repeats, 0, kMaxDoublings)));
  return ceiling / 2 + std::chrono::milliseconds(
                           random.NextBelow(static_cast<std::uint64_t>(ceiling.count()) / 2 + 1));
}

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_KEY_VALUE_BACKOFF_H_
