#ifndef WAGTAILWIND_REQUESTS_BACKOFF_H_
#define WAGTAILWIND_REQUESTS_BACKOFF_H_

#include <chrono>
#include <cstdint>

#include "core/random_source.h"

namespace wagtailwind::requests {

/// \brief Returns the delay before a retry, uniformly random between 0 and 10 ms × 2^retry. The
/// first retry has number 0.
[[nodiscard]] std::chrono::microseconds BackoffDelay(std::uint32_t retry, RandomSource& random);

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_BACKOFF_H_
