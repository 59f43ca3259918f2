#ifndef WAGTAILWIND_TESTS_STAND_INS_ENGINE_OPTIONS_H_
#define WAGTAILWIND_TESTS_STAND_INS_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wagtailwind::stand_ins {

/// \brief Parameters of an engine stand-in.
struct EngineOptions {
  std::string name = "engine";
  /// Time from one token to the next.
  std::chrono::microseconds token_pace{2'000};
  /// Time for one prompt token that is not in the prefix cache.
  std::chrono::microseconds prefill_cost{20};
  /// Generations that run at the same time.
  std::size_t concurrency = 16;
  std::uint64_t cache_tokens_limit = 200'000;
  /// Output tokens of a request without `max_tokens`.
  std::uint32_t default_tokens = 16;
  /// Cache events become visible this late.
  std::chrono::milliseconds event_delay{200};
  /// Every n-th cache event is missing; 0: none.
  std::uint64_t event_gap = 0;
  /// Load reports show the state of this long ago.
  std::chrono::milliseconds load_lag{0};
  /// Each generation is written here before it starts; empty: nowhere.
  std::string history_file;
  /// Refuse load orders with a lower fencing token than the highest one seen.
  bool checks_fencing = false;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_ENGINE_OPTIONS_H_
