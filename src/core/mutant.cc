#include "core/mutant.h"

#ifdef WAGTAILWIND_MUTANTS
#include <cstdlib>

namespace wagtailwind {

bool IsMutantEnabled(std::string_view name) noexcept {
  static const char* const selected = std::getenv("WAGTAILWIND_MUTANT");
  return selected != nullptr && name == selected;
}

}  // namespace wagtailwind
#endif
