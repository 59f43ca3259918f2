#include "balancing/endpoint.h"

#include <algorithm>

#include "core/mutant.h"

namespace wagtailwind::balancing {

Availability Endpoint::CheckClosed(SteadyTime now) const noexcept {
  if (!usable) {
    return {.reason = Unavailability::kLeaving, .wait = std::nullopt};
  }
  if (evacuated) {
    return {.reason = Unavailability::kEvacuated, .wait = std::nullopt};
  }
  if (pause.IsActive(now) && !pause.IsAvailable(now)) {
    return {.reason = Unavailability::kPaused, .wait = pause.WaitTime(now)};
  }
  return {};
}

Availability Endpoint::CheckAvailability(SteadyTime now) const noexcept {
  if (const Availability closed = CheckClosed(now); !closed.wait) {
    return closed;
  }
  if (health.state() != requests::BreakerState::kClosed &&
      IsMutantEnabled("forwarder_sends_probes_during_pauses")) {
    return {};
  }
  const auto wait = std::max({pause.WaitTime(now), quota.WaitTime(now), cold.WaitTime(now)});
  // After a pause, requests return gradually.
  if (!pause.IsAvailable(now)) {
    return {.reason = Unavailability::kPaused, .wait = wait};
  }
  if (!quota.IsAvailable(now)) {
    return {.reason = Unavailability::kAtLimit, .wait = wait};
  }
  if (!cold.IsAvailable(now)) {
    return {.reason = Unavailability::kCold, .wait = wait};
  }
  return {};
}

}  // namespace wagtailwind::balancing
