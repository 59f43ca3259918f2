#include "forward/ranking_request.h"

#include <span>
#include <string>

namespace wagtailwind::forward {

namespace {

// One router uses at most the connections that an endpoint accepts, divided by this.
constexpr std::uint32_t kConnectionDivisor = 2;

balancing::LearnedPerformance ToLearnedPerformance(settings::FeatureMode mode) noexcept {
  switch (mode) {
    case settings::FeatureMode::kOn:
      return balancing::LearnedPerformance::kOn;
    case settings::FeatureMode::kOff:
      return balancing::LearnedPerformance::kOff;
    case settings::FeatureMode::kAuto:
      break;
  }
  return balancing::LearnedPerformance::kIfPaceReported;
}

}  // namespace

balancing::RankingRequest MakeRankingRequest(const ForwardContext& context,
                                             const RoutedRequest& request) {
  balancing::RankingRequest ranking;
  ranking.zone = context.zone;
  ranking.allowed_zones = context.HomeZones(
      request.route.home_regions, request.key_owner != nullptr ? request.key_owner->home_regions
                                                               : std::span<const RegionName>());
  ranking.wall_now = context.clock.WallNow();
  ranking.other_routers = context.OtherRouters();
  ranking.model = ModelName(std::string(request.model));
  const auto spec = request.configuration.services.find(request.service.value());
  if (spec != request.configuration.services.end()) {
    ranking.max_connections = spec->second.max_connections / kConnectionDivisor;
  }
  ranking.prompt = request.prompt;
  ranking.learned_performance = ToLearnedPerformance(context.balancing.learned_performance);
  const auto cached_prompts = context.cached_prompts.find(request.service.value());
  if (cached_prompts != context.cached_prompts.end()) {
    ranking.cached_prompts = &cached_prompts->second;
  }
  return ranking;
}

}  // namespace wagtailwind::forward
