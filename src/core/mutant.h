#ifndef WAGTAILWIND_CORE_MUTANT_H_
#define WAGTAILWIND_CORE_MUTANT_H_

#include <string_view>

namespace wagtailwind {

/// \brief Whether mutation testing has disabled the named mechanism, to check that a test fails
/// without it. Test builds such as `wagtailwindd_mutants` define WAGTAILWIND_MUTANTS and disable
/// the mechanism that the environment variable WAGTAILWIND_MUTANT names; in all other builds this
/// is false at compile time.
#ifdef WAGTAILWIND_MUTANTS
[[nodiscard]] bool IsMutantEnabled(std::string_view name) noexcept;
#else
[[nodiscard]] constexpr bool IsMutantEnabled(std::string_view /*name*/) noexcept { return false; }
#endif

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_MUTANT_H_
