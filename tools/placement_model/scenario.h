#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::placement_model {

/// \brief A fleet and its workload. Times in seconds, speeds in tokens per second.
struct Scenario {
  std::string name;
  int engines = 0;
  int zones = 0;
  int daemons = 0;
  int organisations = 0;
  /// Exponent of the sizes of organisations.
  double organisation_skew = 1.0;

  double duration = 0;
  double warm_up = 0;

  double chats_per_second = 0;
  double mean_turns = 6;
  double first_prompt_min = 0;
  double first_prompt_max = 0;
  double turn_prompt_mean = 200;
  double output_mean = 300;
  double return_gap = 90;
  double long_gap_share = 0.1;
  double long_gap = 3600;
  /// Share of returning requests that carry the placement hint.
  double hint_share = 0.9;

  double cache_tokens = 0;
  double prefill_speed = 10'000;
  double decode_speed = 50;
  /// Streams at which the decode speed of each has fallen to one half.
  double half_speed_streams = 20;
  /// Capacity of an engine in work tokens.
  std::uint32_t capacity = 0;
  /// KV cache of 160 KB a token over half of a 100 Gbit/s link.
  double import_speed = 40'000;

  /// Mean time between failures and restarts in the fleet.
  double event_interval = 0;
  double failure_share = 36.0 / 136.0;
  double restart_time = 60;
  double zone_loss_at = 0;
  double zone_loss_time = 120;
  double flapping_from = 0;
  double surge_at = 0;
  double surge_time = 300;
  double surge_factor = 4;

  double report_delay_min = 0.5;
  double report_delay_max = 2;
  double detection_delay = 4.6;
};

/// \brief `clearview`, `kandy-lanka` or `design`.
[[nodiscard]] std::optional<Scenario> FindScenario(std::string_view name);

/// \brief A priority class of the workload.
struct ClassMix {
  std::string_view name;
  double part;
  double share;
  /// To the first token.
  double deadline;
};

[[nodiscard]] const std::vector<ClassMix>& Classes();

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SCENARIO_H_
