#ifndef WAGTAILWIND_CORE_RANDOM_SOURCE_H_
#define WAGTAILWIND_CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <mutex>
#include <random>

#include "core/ids.h"

namespace wagtailwind {

/// \brief Source of random numbers. Implementations are thread-safe.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// \brief Returns 64 random bits.
  [[nodiscard]] virtual std::uint64_t Next() = 0;

  /// \brief Returns a number in [0, bound); bound must be positive.
  [[nodiscard]] std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }

  /// \brief Returns a number in [0, 1).
  [[nodiscard]] double NextFraction() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

  /// \brief Returns a request id of 128 random bits.
  [[nodiscard]] RequestId NewRequestId();
};

/// \brief Pseudo-random generator. Tests and measurements use a fixed seed, other programs
/// EntropySeed().
class SeededRandomSource final : public RandomSource {
 public:
  explicit SeededRandomSource(std::uint64_t seed) : m_engine(seed) {}

  /// \brief Returns a seed from the operating system's entropy source.
  [[nodiscard]] static std::uint64_t EntropySeed();

  [[nodiscard]] std::uint64_t Next() override;

 private:
  std::mutex m_mutex;
  std::mt19937_64 m_engine;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_RANDOM_SOURCE_H_
