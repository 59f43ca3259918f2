#ifndef WAGTAILWIND_BALANCING_AVAILABILITY_H_
#define WAGTAILWIND_BALANCING_AVAILABILITY_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief Why an endpoint takes no request now.
enum class Unavailability : std::uint8_t {
  /// It takes a request.
  kNone,
  /// It drains, was removed, or another process uses its address.
  kLeaving,
  /// The operators have evacuated its availability zone.
  kEvacuated,
  /// It has named a time for which it wants no requests.
  kPaused,
  /// This router's share of its request limit is used up.
  kAtLimit,
  /// It has just started, and this router's share of what it takes meanwhile is used up.
  kCold,
};

/// \brief Returns the reason as it stands in logs.
[[nodiscard]] std::string_view ToText(Unavailability reason) noexcept;

/// \brief Returns whether the list has the zone.
[[nodiscard]] inline bool Contains(std::span<const AvailabilityZoneName> zones,
                                   const AvailabilityZoneName& zone) noexcept {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

/// \brief Whether an endpoint takes a request now.
struct Availability {
  Unavailability reason = Unavailability::kNone;
  /// Time until the endpoint takes a request; empty if it is not known.
  std::optional<std::chrono::nanoseconds> wait{0};

  [[nodiscard]] bool IsAvailable() const noexcept { return reason == Unavailability::kNone; }
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_AVAILABILITY_H_
