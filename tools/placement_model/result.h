#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_

#include <array>
#include <cstdint>
#include <vector>

namespace wagtailwind::placement_model {

inline constexpr std::size_t kClassCount = 3;

/// \brief What a run counts after its warm-up.
struct Result {
  std::uint64_t requests = 0;
  std::uint64_t returns = 0;
  std::uint64_t hits = 0;
  /// Hits whose prefix was imported from another engine.
  std::uint64_t imports = 0;
  std::uint64_t best_hits = 0;
  double prefix_tokens = 0;
  double cached_tokens = 0;
  double best_tokens = 0;

  std::uint64_t samples = 0;
  std::uint64_t samples_above = 0;
  double ratio_sum = 0;
  std::vector<float> ratios;
  std::uint64_t admissions = 0;
  std::uint64_t admissions_above = 0;
  std::uint64_t last_resorts = 0;

  std::uint64_t engine_events = 0;
  std::uint64_t prefixes_left = 0;
  std::array<std::uint64_t, kClassCount> class_requests{};
  std::array<std::uint64_t, kClassCount> class_in_time{};
  std::vector<float> first_token_times;
  std::uint64_t refused = 0;
  std::uint64_t over_share = 0;
  std::uint64_t attempts = 0;
  std::uint64_t waits = 0;
  std::uint64_t pointer_messages = 0;
  std::uint64_t surge_others = 0;
  std::uint64_t surge_others_in_time = 0;
  double mean_load = 0;
  double control_bytes = 0;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_
