#ifndef WAGTAILWIND_CORE_RANDOM_SOURCE_H_
#define WAGTAILWIND_CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <mutex>
#include <random>

#include "core/ids.h"

namespace wagtailwind {

/// \brief Source of random numbers. Implementations are safe to use from several threads.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// \brief 64 random bits.
  [[nodiscard]] virtual std::uint64_t Next() = 0;

  /// \brief A number in [0, bound); bound must be positive.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

  /// \brief A number in [0, 1).
  [[nodiscard]] double Fraction() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

  /// \brief A new request id.
  [[nodiscard]] RequestId NewRequestId();
};

/// \brief Generator with a given seed, for tests and measurements, or seeded by the machine.
class SeededRandomSource final : public RandomSource {
 public:
  explicit SeededRandomSource(std::uint64_t seed) : m_engine(seed) {}

  /// \brief A seed from the machine's entropy.
  [[nodiscard]] static std::uint64_t EntropySeed();

  [[nodiscard]] std::uint64_t Next() override;

 private:
  std::mutex m_mutex;
  std::mt19937_64 m_engine;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_RANDOM_SOURCE_H_
