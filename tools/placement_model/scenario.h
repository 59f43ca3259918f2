#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::placement_model {

/// \brief A fleet and its workload. Times are in seconds, speeds in tokens per second.
struct Scenario {
  std::string name;
  int engines = 0;
  int zones = 0;
  int daemons = 0;
  int organisations = 0;
  /// Zipf exponent of the request rates and weights of organisations.
  double organisation_skew = 1.0;

  double duration = 0;
  /// Start of the run that is excluded from the statistics.
  double warm_up = 0;

  double chats_per_second = 0;
  double mean_turns = 6;
  /// Prompt tokens of the first turn are distributed log-uniformly between these limits.
  double first_prompt_min = 0;
  double first_prompt_max = 0;
  /// Means of the exponential distributions of later prompts and of outputs, in tokens.
  double turn_prompt_mean = 200;
  double output_mean = 300;
  /// Mean time from an answer to the next turn, for short and for long gaps.
  double turn_gap = 90;
  double long_gap_share = 0.1;
  double long_gap = 3600;
  /// Share of returning requests that carry the placement hint.
  double hint_share = 0.9;

  /// Size of an engine's prefix cache.
  double cache_tokens = 0;
  double prefill_speed = 10'000;
  /// Decode speed of a single stream.
  double decode_speed = 50;
  /// Number of concurrent streams at which the decode speed of each is halved.
  double half_speed_streams = 20;
  /// Capacity of an engine in work tokens.
  std::uint32_t capacity = 0;
  /// Speed of a prefix transfer: 160 KB of KV cache per token over half of a 100 Gbit/s link.
  double import_speed = 40'000;

  /// Mean interval between engine failures and planned restarts in the fleet.
  double event_interval = 0;
  /// Fraction of failures among these events.
  double failure_share = 36.0 / 136.0;
  double restart_time = 60;
  double zone_loss_at = 0;
  double zone_loss_duration = 120;
  /// Time from which one engine fails and restarts repeatedly.
  double flapping_from = 0;
  /// Period in which the largest organisation starts chats at `surge_factor` times its usual rate.
  double surge_at = 0;
  double surge_duration = 300;
  double surge_factor = 4;

  /// Delay until a load report has reached all daemons.
  double report_delay_min = 0.5;
  double report_delay_max = 2;
  /// Time until all daemons know that an engine has failed.
  double detection_delay = 4.6;
};

/// \brief Returns the scenario `clearview`, `kandy-lanka` or `design`; empty for other names.
[[nodiscard]] std::optional<Scenario> FindScenario(std::string_view name);

/// \brief A priority class of the workload.
struct PriorityClass {
  std::string_view name;
  /// Fraction of the chats.
  double request_fraction;
  /// Fraction of the admission bound that requests of this class may fill.
  double bound_fraction;
  /// Time limit for the first token, in seconds.
  double deadline;
};

/// \brief Returns the priority classes by rank.
[[nodiscard]] const std::vector<PriorityClass>& PriorityClasses();

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_
