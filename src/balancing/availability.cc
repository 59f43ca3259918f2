#include "balancing/availability.h"

namespace wagtailwind::balancing {

std::string_view ToText(Unavailability reason) noexcept {
  switch (reason) {
    case Unavailability::kNone:
      break;
    case Unavailability::kLeaving:
      return "leaving";
    case Unavailability::kEvacuated:
      return "evacuated";
    case Unavailability::kPaused:
      return "paused";
    case Unavailability::kAtLimit:
      return "at_limit";
    case Unavailability::kCold:
      return "cold";
  }
  return "none";
}

}  // namespace wagtailwind::balancing
