#include "placement_model/scenario.h"

namespace wagtailwind::placement_model {

namespace {

// Quotes from long specification sheets: long prompts, few concurrent requests per engine.
Scenario Clearview() {
  Scenario scenario;
  scenario.name = "clearview";
  scenario.engines = 10;
  scenario.zones = 3;
  scenario.daemons = 13 + 4;
  scenario.organisations = 10;
  scenario.duration = 4 * 3600;
  scenario.warm_up = 900;
  scenario.chats_per_second = 0.6;
  scenario.first_prompt_min = 3'000;
  scenario.first_prompt_max = 24'000;
  scenario.cache_tokens = 2'000'000;
  scenario.capacity = 40'000;
  scenario.event_interval = 300;
  return scenario;
}

// Morning rounds: shorter prompts, a surge of requests from one large organisation.
Scenario KandyLanka() {
  Scenario scenario;
  scenario.name = "kandy-lanka";
  scenario.engines = 20;
  scenario.zones = 4;
  scenario.daemons = 24 + 4;
  scenario.organisations = 10;
  scenario.duration = 3 * 3600;
  scenario.warm_up = 900;
  scenario.chats_per_second = 2.4;
  scenario.mean_turns = 5;
  scenario.first_prompt_min = 500;
  scenario.first_prompt_max = 4'000;
  scenario.output_mean = 250;
  scenario.cache_tokens = 800'000;
  scenario.capacity = 40'000;
  scenario.event_interval = 300;
  return scenario;
}

// The pool of one of the design's five models, because placement never crosses pools. Engine events
// occur 30 times as often as the design's 136 per day in 1,400 replicas, so that this part of the
// fleet has some during the run.
Scenario Design() {
  Scenario scenario;
  scenario.name = "design";
  scenario.engines = 280;
  scenario.zones = 8;
  scenario.daemons = 1'840;
  scenario.organisations = 280;
  scenario.organisation_skew = 1.1;
  scenario.duration = 900;
  scenario.warm_up = 300;
  scenario.chats_per_second = 220;
  scenario.mean_turns = 6;
  scenario.first_prompt_min = 500;
  scenario.first_prompt_max = 8'000;
  scenario.output_mean = 396;
  scenario.turn_gap = 60;
  scenario.cache_tokens = 3'000'000;
  scenario.half_speed_streams = 55;
  scenario.capacity = 250'000;
  scenario.event_interval = 86'400.0 / 136 * 5 / 30;
  scenario.report_delay_min = 1;
  scenario.report_delay_max = 5;
  return scenario;
}

}  // namespace

std::optional<Scenario> FindScenario(std::string_view name) {
  std::optional<Scenario> scenario;
  if (name == "clearview") {
    scenario = Clearview();
  } else if (name == "kandy-lanka") {
    scenario = KandyLanka();
  } else if (name == "design") {
    scenario = Design();
  }
  if (scenario) {
    const double measured_time = scenario->duration - scenario->warm_up;
    scenario->surge_at = scenario->warm_up + 0.2 * measured_time;
    scenario->surge_duration = 0.05 * measured_time;
    scenario->zone_loss_at = scenario->warm_up + 0.5 * measured_time;
    scenario->flapping_from = scenario->warm_up + 0.75 * measured_time;
  }
  return scenario;
}

const std::vector<PriorityClass>& PriorityClasses() {
  static const std::vector<PriorityClass> classes = {
      {"high", 0.5, 1.0, 1.1}, {"normal", 0.3, 0.9, 3.0}, {"bulk", 0.2, 0.75, 30.0}};
  return classes;
}

}  // namespace wagtailwind::placement_model
