#ifndef WAGTAILWIND_REVIEW_CONFIGURATION_HPP_
#define WAGTAILWIND_REVIEW_CONFIGURATION_HPP_

#include <cstdint>
#include <string>

namespace review {

/// \brief Returns the configuration of a small deployment: the host `small.example` with resumable
/// streams at `/summary/` and others at `/note/` (service `llm`), and calls that run once at
/// `/confirm/` and idempotent ones at `/status/` (service `api`), all of the tenant `tenant` with
/// the key `key1`.
[[nodiscard]] std::string Configuration(std::uint64_t version,
                                        std::uint64_t max_body_bytes = 4'194'304);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_CONFIGURATION_HPP_
