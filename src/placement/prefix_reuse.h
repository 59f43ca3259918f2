#ifndef WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_
#define WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_

#include <chrono>
#include <cstdint>

namespace wagtailwind::placement {

/// \brief Speeds that decide between waiting, moving and recomputing a prefix.
struct PrefixSpeeds {
  /// Prompt tokens that an engine computes per second.
  double prefill_tokens_per_second = 8'000;
  /// Tokens of KV cache that are exported and imported per second; 0: not supported.
  double transfer_tokens_per_second = 0;
  /// Fixed cost of a move.
  std::chrono::milliseconds transfer_setup{20};
};

/// \brief What an agent at its bound does with a chat whose prefix it has.
struct PrefixReuseDecision {
  /// Wait this long for room; 0: do not wait.
  std::chrono::milliseconds wait{0};
  /// Without room in that time, offer the prefix to the agent that takes the request.
  bool export_prefix = false;
};

/// \brief Waiting pays while it is shorter than what the chat would lose elsewhere: computing the
/// prefix anew, or moving it, whichever is cheaper. A wait takes at most half of the deadline.
[[nodiscard]] PrefixReuseDecision DecidePrefixReuse(std::uint32_t cached_tokens,
                                                    std::chrono::milliseconds remaining_deadline,
                                                    const PrefixSpeeds& speeds) noexcept;

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_PREFIX_REUSE_H_
