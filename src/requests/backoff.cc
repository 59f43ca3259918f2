#include "requests/backoff.h"

#include <algorithm>

namespace wagtailwind::requests {

std::chrono::microseconds BackoffDelay(std::uint32_t retry, RandomSource& random) {
  constexpr std::chrono::microseconds kBase{10'000};
  // Limits the shift to the width of its type; no request makes that many retries.
  constexpr std::uint32_t kMaxExponent = 10;
  const auto ceiling = kBase.count() * (1LL << std::min(retry, kMaxExponent));
  return std::chrono::microseconds(random.NextBelow(static_cast<std::uint64_t>(ceiling) + 1));
}

}  // namespace wagtailwind::requests
