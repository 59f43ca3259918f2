#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_

#include <array>
#include <cstdint>
#include <vector>

namespace wagtailwind::placement_model {

inline constexpr std::size_t kClassCount = 3;

/// \brief Statistics of a run after its warm-up.
struct Result {
  std::uint64_t requests = 0;
  /// Requests of a chat after its first turn.
  std::uint64_t returning_requests = 0;
  /// Returning requests with more than half of their prefix cached.
  std::uint64_t hits = 0;
  /// Hits whose prefix was imported from another engine.
  std::uint64_t imports = 0;
  /// Hits of an ideal placement, an upper bound for all policies.
  std::uint64_t ideal_hits = 0;
  /// Prefixes of returning requests, the cached part of them, and the part that an ideal placement
  /// would have cached.
  double prefix_tokens = 0;
  double cached_tokens = 0;
  double ideal_tokens = 0;

  std::uint64_t samples = 0;
  /// Samples in which an engine with several jobs was above the bound.
  std::uint64_t samples_above_bound = 0;
  /// Ratios of the largest to the mean load of engines, one per sample.
  double load_ratio_sum = 0;
  std::vector<float> load_ratios;
  std::uint64_t admissions = 0;
  /// Admissions that brought an engine with other jobs above the bound.
  std::uint64_t admissions_above_bound = 0;
  std::uint64_t last_resorts = 0;

  /// Failures and planned restarts of engines; a zone loss counts once per engine.
  std::uint64_t engine_events = 0;
  /// Returning requests that ran elsewhere while their previous engine still had the prefix.
  std::uint64_t abandoned_prefixes = 0;
  std::array<std::uint64_t, kClassCount> class_requests{};
  /// Requests whose first token met the deadline of their class.
  std::array<std::uint64_t, kClassCount> class_within_deadline{};
  std::vector<float> first_token_times;
  std::uint64_t refused = 0;
  /// Refused because the organisation exceeded its share.
  std::uint64_t refused_over_share = 0;
  std::uint64_t attempts = 0;
  std::uint64_t waits = 0;
  std::uint64_t pointer_messages = 0;
  /// Requests during the surge from organisations other than the surging one.
  std::uint64_t surge_other_requests = 0;
  std::uint64_t surge_other_within_deadline = 0;
  /// Sum of the mean loads of all samples, in work tokens.
  double mean_load_sum = 0;
  /// Control traffic of a daemon.
  double control_bytes_per_second = 0;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_RESULT_H_
