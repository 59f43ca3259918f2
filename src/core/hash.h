#ifndef WAGTAILWIND_CORE_HASH_H_
#define WAGTAILWIND_CORE_HASH_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace wagtailwind {

/// \brief 64-bit hash whose value is the same in every process and version of the project.
[[nodiscard]] std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0) noexcept;

/// \brief 128-bit hash whose value is the same in every process and version of the project.
[[nodiscard]] std::array<std::uint8_t, 16> StableHash128(std::string_view text) noexcept;

/// \brief Weighted rendezvous score of a node for a key; the node with the highest score owns the
/// key. A node's share of the keys is proportional to its weight, and removing a node moves only
/// the keys that it owned.
[[nodiscard]] double RendezvousScore(std::uint64_t key_hash, std::string_view node,
                                     double weight = 1.0) noexcept;

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_HASH_H_
