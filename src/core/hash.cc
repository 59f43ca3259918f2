#include "core/hash.h"

#include <xxhash.h>

#include <cmath>
#include <cstring>

namespace wagtailwind {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::array<std::uint8_t, 16> StableHash128(std::string_view text) noexcept {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
  std::array<std::uint8_t, 16> bytes{};
  std::memcpy(bytes.data(), canonical.digest, bytes.size());
  return bytes;
}

double RendezvousScore(std::uint64_t key_hash, std::string_view node, double weight) noexcept {
  // Adding 0.5 and scaling by 2^-53 keeps the fraction inside (0, 1), where the logarithm is
  // finite.
  const std::uint64_t bits = StableHash(node, key_hash) >> 11U;
  const double fraction = (static_cast<double>(bits) + 0.5) * 0x1.0p-53;
  return -weight / std::log(fraction);
}

}  // namespace wagtailwind
