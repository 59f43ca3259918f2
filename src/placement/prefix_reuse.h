#ifndef WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_
#define WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_

#include <chrono>
#include <cstdint>

namespace wagtailwind::placement {

/// \brief Throughput by which DecidePrefixReuse() compares waiting for an engine with transferring
/// or recomputing a prefix.
struct PrefixSpeeds {
  /// Prompt tokens that an engine processes per second.
  double prefill_tokens_per_second = 8'000;
  /// Tokens of KV cache that can be exported and imported per second; 0 if not supported.
  double transfer_tokens_per_second = 0;
  /// Fixed cost of a transfer.
  std::chrono::milliseconds transfer_setup{20};
};

/// \brief How an agent at its bound handles a request of a chat whose prefix it has.
struct PrefixReuseDecision {
  /// Time to wait for admission; 0 means not to wait.
  std::chrono::milliseconds wait{0};
  /// Whether to offer the prefix to the agent that takes the request if the wait ends without
  /// admission.
  bool export_prefix = false;
};

/// \brief Decides how long a request may wait for the engine that has its prefix. The wait is at
/// most the cost of running elsewhere, which is recomputing or transferring the prefix, whichever
/// is cheaper, and at most half of the remaining deadline.
[[nodiscard]] PrefixReuseDecision DecidePrefixReuse(std::uint32_t cached_tokens,
                                                    std::chrono::milliseconds remaining_deadline,
                                                    const PrefixSpeeds& speeds) noexcept;

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_
