#include "placement/prefix_reuse.h"

#include <algorithm>

namespace wagtailwind::placement {

PrefixReuseDecision DecidePrefixReuse(std::uint32_t cached_tokens,
                                      std::chrono::milliseconds remaining_deadline,
                                      const PrefixSpeeds& speeds) noexcept {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  constexpr double kMillisecondsPerSecond = 1'000;
  PrefixReuseDecision decision;
  const double tokens = cached_tokens;
  if (tokens <= 0 || speeds.prefill_tokens_per_second <= 0) {
    return decision;
  }
  Milliseconds cost{tokens / speeds.prefill_tokens_per_second * kMillisecondsPerSecond};
  if (speeds.transfer_tokens_per_second > 0) {
    const Milliseconds transfer_cost =
        speeds.transfer_setup +
        Milliseconds{tokens / speeds.transfer_tokens_per_second * kMillisecondsPerSecond};
    decision.export_prefix = transfer_cost < cost;
    cost = std::min(cost, transfer_cost);
  }
  const auto limit = std::max(remaining_deadline / 2, std::chrono::milliseconds{0});
  decision.wait = std::min(std::chrono::duration_cast<std::chrono::milliseconds>(cost), limit);
  return decision;
}

}  // namespace wagtailwind::placement
