#include "forward/endpoint_ranking.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"

namespace wagtailwind::forward {

namespace {

/// Load up to which an endpoint takes prompts that are at home there: `factor` times the pool's mean
/// and `slack` requests. At a low mean, single requests would otherwise drive prompts away from
/// their cached parts.
struct LoadBound {
  double factor;
  double slack;
};

// The platform tolerates twice the mean and three requests. Routers see the load late, so the wide
// bound stays below.
constexpr LoadBound kLongPromptBound{1.8, 2.5};
constexpr LoadBound kShortPromptBound{1.4, 1.0};

// Shared tokens from which a prompt counts as long: reading them takes an engine longer than a
// step of its batch.
constexpr std::uint64_t kLongPromptTokens = 1'500;

// Requests in flight that crossing zones is worth, in parts of an endpoint's slots: keeps traffic
// in the zone while the loads are about equal.
constexpr double kOtherZonePenalty = 0.2;

// Breaks ties between routers that have seen the same reports.
constexpr double kJitter = 0.1;

// Failure rate above which an endpoint comes last, beyond that of its peers.
constexpr double kExcessFailureRate = 0.2;

struct Scored {
  const EndpointPtr* endpoint;
  /// 0: within the bounds; 1: overloaded; 2: full or failing.
  int tier;
  /// Lower is better.
  double cost;
};

bool CanServe(const Endpoint& endpoint, const RankingRequest& request) {
  if (!endpoint.usable) {
    return false;
  }
  if (request.max_connections > 0 && endpoint.connections >= request.max_connections) {
    return false;
  }
  const auto& models = endpoint.record.models;
  return request.model.empty() || models.empty() ||
         std::find(models.begin(), models.end(), request.model) != models.end();
}

double LoadCost(const Endpoint& endpoint, const RankingRequest& request, double load,
                RandomSource& random) {
  const double slots = std::max<double>(endpoint.record.slots, 1);
  const double zone = endpoint.record.zone == request.zone ? 0.0 : kOtherZonePenalty;
  return (load + kJitter * random.Fraction()) / slots + zone;
}

}  // namespace

std::vector<EndpointPtr> RankEndpoints(std::span<const EndpointPtr> endpoints,
                                       const RankingRequest& request, SteadyTime now,
                                       RandomSource& random, std::size_t limit) {
  double total_load = 0;
  double lowest_failure_rate = 1;
  std::size_t count = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    if (CanServe(*endpoint, request)) {
      ++count;
      total_load += endpoint->load.Requests(now);
      lowest_failure_rate = std::min(lowest_failure_rate, endpoint->health.FailureRate(now));
    }
  }
  if (count == 0) {
    return {};
  }
  const double mean = total_load / static_cast<double>(count);
  const bool is_long = request.prompt && request.prompt->tokens >= kLongPromptTokens;
  const LoadBound& limits = is_long ? kLongPromptBound : kShortPromptBound;
  const double bound = limits.factor * mean + limits.slack;
  std::vector<Scored> scored;
  scored.reserve(count);
  for (const EndpointPtr& endpoint : endpoints) {
    if (!CanServe(*endpoint, request)) {
      continue;
    }
    const double load = endpoint->load.Requests(now);
    const bool failing =
        endpoint->health.state() == requests::BreakerState::kOpen || endpoint->full_until > now ||
        endpoint->health.FailureRate(now) > lowest_failure_rate + kExcessFailureRate;
    const bool overloaded = request.prompt && load > bound;
    const int tier = failing ? 2 : overloaded ? 1 : 0;
    const double cost =
        request.prompt && tier == 0
            ? -RendezvousScore(request.prompt->key, endpoint->record.name.value())
            : LoadCost(*endpoint, request, load, random);
    scored.push_back({.endpoint = &endpoint, .tier = tier, .cost = cost});
  }
  const std::size_t kept = std::min(limit, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), [](const Scored& left, const Scored& right) {
                      return left.tier != right.tier ? left.tier < right.tier
                                                     : left.cost < right.cost;
                    });
  std::vector<EndpointPtr> ranked;
  ranked.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    ranked.push_back(*scored[i].endpoint);
  }
  return ranked;
}

std::optional<SharedPrompt> ParsePrompt(std::string_view parts) noexcept {
  if (parts.empty()) {
    return std::nullopt;
  }
  const std::size_t last = parts.rfind(',');
  std::string_view shared = last == std::string_view::npos ? parts : parts.substr(0, last);
  SharedPrompt prompt{.key = StableHash(shared)};
  while (!shared.empty()) {
    const std::size_t end = std::min(shared.find(','), shared.size());
    const std::string_view part = shared.substr(0, end);
    shared.remove_prefix(std::min(end + 1, shared.size()));
    const std::size_t colon = part.find(':');
    std::uint64_t tokens = 0;
    if (colon != std::string_view::npos) {
      std::from_chars(part.data() + colon + 1, part.data() + part.size(), tokens);
    }
    prompt.tokens += tokens;
  }
  return prompt;
}

}  // namespace wagtailwind::forward
