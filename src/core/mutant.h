#ifndef WAGTAILWIND_CORE_MUTANT_H_
#define WAGTAILWIND_CORE_MUTANT_H_

#include <string_view>

namespace wagtailwind {

/// \brief Whether the named mechanism is removed, to show that a test notices its absence. Only the
/// test build `wagtailwindd_mutants` can remove one (environment variable WAGTAILWIND_MUTANT); in
/// every other build this is false at compile time.
#ifdef WAGTAILWIND_MUTANTS
[[nodiscard]] bool MutantIs(std::string_view name) noexcept;
#else
[[nodiscard]] constexpr bool MutantIs(std::string_view /*name*/) noexcept { return false; }
#endif

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_MUTANT_H_
