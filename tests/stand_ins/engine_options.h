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
  /// Time between output tokens.
  std::chrono::microseconds token_interval{2'000};
  /// Prefill time per prompt token that is not in the prefix cache.
  std::chrono::microseconds prefill_time_per_token{20};
  /// Maximum number of concurrent generations.
  std::size_t concurrency = 16;
  std::uint64_t cache_tokens_limit = 200'000;
  /// Output tokens of a request without `max_tokens`.
  std::uint32_t default_tokens = 16;
  /// Delay until a cache event becomes visible.
  std::chrono::milliseconds event_delay{200};
  /// Omits every n-th cache event; 0: omits none.
  std::uint64_t event_gap = 0;
  /// Age of the state that load reports show.
  std::chrono::milliseconds load_lag{0};
  /// File to which each generation is appended before it starts; empty: no file.
  std::string history_file;
  /// Refuses load orders with a fencing token below the highest one received.
  bool checks_fencing = false;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_ENGINE_OPTIONS_H_
