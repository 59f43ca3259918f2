#include "balancing/endpoint_ranking.h"

#include <algorithm>
#include <chrono>

#include "core/hash.h"
#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

/// Load up to which an endpoint takes the prompts that it is preferred for: `factor` times the
/// pool's mean plus `slack` requests. Without the slack, at a low mean, single requests would move
/// prompts away from their cached parts.
struct LoadBound {
  double factor;
  double slack;
};

// The platform tolerates twice the mean plus three requests. The wide bound is lower because
// routers see the load with a delay.
constexpr LoadBound kLongPromptBound{1.8, 2.5};
constexpr LoadBound kShortPromptBound{1.5, 1.5};

// The load that the platform tolerates. Estimates of the load of an endpoint are seconds old in a
// large fleet, so an endpoint whose mean load is at the bound exceeds this load a part of the time.
// At a low mean that part is a quarter.
constexpr LoadBound kToleratedLoad{2.0, 3.0};

// Standard deviations of the estimate by which a load stays below the tolerated one. A prompt that
// is expensive to process again moves only if its endpoint is likely to be above.
constexpr double kDeviations = 2.0;
constexpr double kExpensivePromptDeviations = 0.0;
constexpr std::uint64_t kExpensivePromptTokens = 5'000;

// Factor on the bounds while prompts return to endpoints whose request limits have ended: all
// routers send to them at the same time, before their reports show it.
constexpr double kReturnBoundFactor = 0.6;

// Number of shared tokens from which a prompt counts as long: an engine takes longer than one batch
// step to process them.
constexpr std::uint64_t kLongPromptTokens = 1'500;

// Load penalty for another zone, as a fraction of an endpoint's slots: keeps traffic in the zone
// while the loads are about equal.
constexpr double kOtherZonePenalty = 0.2;

// Random load that breaks ties between routers that have received the same reports.
constexpr double kJitter = 0.1;

// An endpoint is ranked last if its failure rate exceeds the pool's mean times this factor plus
// this excess. When the whole pool fails, moving requests gains nothing and loses cached parts.
constexpr double kFailureFactor = 1.5;
constexpr double kFailureRateSlack = 0.2;

// An engine whose mean time between events is this many times the pool's median counts as
// overloaded. Differences in load alone stay below this factor.
constexpr double kSlowFactor = 2.0;

// The same factor for long prompts with learned performance, which decides about endpoints that are
// slow for a short time. A cached prompt stays at these; one that is slower has a fault.
constexpr double kFaultyFactor = 4.0;

// Endpoints that started within this time of the oldest one count as started together with it.
constexpr std::chrono::seconds kSameStartWindow{5};

// Age at which a new endpoint gets its full share of the prompts. Until then it is filled with
// short prompts and with requests that exceed the load bound of other endpoints.
constexpr std::chrono::seconds kWarmUpTime{300};
constexpr double kMinNewWeight = 0.02;

// Highest load of the old endpoints, relative to the pool's mean, to which sending fewer prompts to
// new ones may lead.
constexpr double kMaxOldEndpointLoad = 1.15;

// Part of its slots from which an endpoint is busy, so that its requests slow each other down.
constexpr double kBusyFraction = 0.5;

// Weight of the expected delay, in typical delays, against the load as a fraction of the slots.
// With 3, bursts of calls to uneven endpoints are late as often as without learned performance.
constexpr double kDelayWeight = 1.5;

// An endpoint whose requests are expected to take this many times the typical time is slow now.
// Readings that are older than half a second are too uncertain to exceed it.
constexpr double kSlowNow = 1.5;

// A long prompt leaves a slow endpoint if reading its shared parts there is expected to take this
// many times as long as at a typical endpoint, where they are read for certain. Below 1, because a
// read that stops other streams beyond their longest pause costs more than its time.
constexpr double kMovePayoff = 0.7;

// Probability that a preferred endpoint has the shared parts of a prompt, if nothing is known.
constexpr double kUsuallyCached = 0.7;

// Largest part of the endpoints within the load bound that a prompt avoids for their slowness. If
// more are slow, the others could not take their prompts.
constexpr double kMaxAvoidedShare = 0.5;

/// An endpoint that can serve the request, and its load.
struct Candidate {
  const EndpointPtr* endpoint;
  double load;
  /// Standard deviation of the load.
  double deviation;
};

struct Scored {
  const EndpointPtr* endpoint;
  /// 0: within the load bound; 1: overloaded; 2: full or failing.
  int tier;
  /// Lower is better.
  double cost;
  /// Cost without learned performance.
  double basic_cost = 0;
  double load = 0;
};

bool CanServe(const Endpoint& endpoint, const RankingRequest& request) {
  if (!endpoint.usable || endpoint.evacuated) {
    return false;
  }
  if (request.allowed_zones && !Contains(*request.allowed_zones, endpoint.record.zone)) {
    return false;
  }
  if (request.max_connections > 0 && endpoint.connections >= request.max_connections) {
    return false;
  }
  const auto& models = endpoint.record.models;
  return request.model.empty() || models.empty() ||
         std::find(models.begin(), models.end(), request.model) != models.end();
}

/// Keeps the endpoint with the highest score.
struct BestEndpoint {
  const EndpointPtr* endpoint = nullptr;
  double score = 0;

  void Update(const EndpointPtr& candidate, double candidate_score) {
    if (endpoint == nullptr || candidate_score > score) {
      endpoint = &candidate;
      score = candidate_score;
    }
  }

  [[nodiscard]] bool Is(const EndpointPtr& other) const {
    return endpoint != nullptr && *endpoint == other;
  }
};

bool IsNew(const Endpoint& endpoint, WallTime oldest) {
  return endpoint.record.started_at - oldest >= kSameStartWindow;
}

/// Returns the rendezvous weight of a new endpoint; an old one has the weight 1.
double NewEndpointWeight(const Endpoint& endpoint, double min_weight, WallTime now) {
  const double age = std::chrono::duration<double>(now - endpoint.record.started_at) / kWarmUpTime;
  return std::clamp(age * age, min_weight, 1.0);
}

/// Returns the smallest weight of new endpoints that keeps the load of the old ones within
/// kMaxOldEndpointLoad, and so below the load bound.
double MinNewEndpointWeight(std::size_t old_count, std::size_t new_count) {
  const double needed = static_cast<double>(old_count + new_count) / kMaxOldEndpointLoad -
                        static_cast<double>(old_count);
  return std::clamp(needed / static_cast<double>(std::max<std::size_t>(new_count, 1)),
                    kMinNewWeight, 1.0);
}

/// Returns the median of the endpoints' mean times between events; empty if too few are known.
std::optional<std::chrono::duration<double>> MedianEventInterval(
    std::span<const EndpointPtr> endpoints, SteadyTime now) {
  std::vector<std::chrono::duration<double>> intervals;
  for (const EndpointPtr& endpoint : endpoints) {
    if (const auto pace = endpoint->pace.Mean(now)) {
      intervals.push_back(*pace);
    }
  }
  // With fewer values, the median may be that of the slow endpoint itself.
  constexpr std::size_t kMinIntervals = 3;
  if (intervals.size() < kMinIntervals) {
    return std::nullopt;
  }
  const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
  std::nth_element(intervals.begin(), middle, intervals.end());
  return *middle;
}

/// Returns whether the ranking of a request uses learned performance.
bool UsesLearnedPerformance(std::span<const EndpointPtr> endpoints, const RankingRequest& request) {
  return request.learned_performance == LearnedPerformance::kOn ||
         (request.learned_performance == LearnedPerformance::kIfPaceReported &&
          std::any_of(endpoints.begin(), endpoints.end(),
                      [](const EndpointPtr& endpoint) { return endpoint->performance.HasPace(); }));
}

TypicalPerformance MeasurePerformance(
    std::span<const EndpointPtr> endpoints,
    const std::optional<std::chrono::duration<double>>& event_interval, SteadyTime now) {
  TypicalPerformance typical;
  double total_pace = 0;
  double with_pace = 0;
  std::chrono::duration<double> total_call_time{0};
  double with_calls = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    if (endpoint->performance.HasPace()) {
      total_pace += endpoint->performance.MeanPace(now, 1);
      ++with_pace;
    }
    if (const auto call_time = endpoint->performance.MeanCallTime(now)) {
      total_call_time += *call_time;
      ++with_calls;
    }
  }
  if (with_pace > 0) {
    typical.pace = total_pace / with_pace;
  }
  if (with_calls > 0) {
    typical.call_time = total_call_time / with_calls;
  }
  typical.event_gap = event_interval.value_or(std::chrono::duration<double>(0));
  return typical;
}

/// Returns the expected time of work that is added to an endpoint with this load, in typical times.
double ExpectedDelay(const Endpoint& endpoint, double load, const TypicalPerformance& typical,
                     SteadyTime now) {
  return endpoint.performance.Slowness(now, typical) *
         endpoint.performance.Crowding(load + 1, endpoint.record.slots, now);
}

/// Requests in flight at the endpoints of a pool.
struct PoolLoad {
  /// Requests of this router.
  double own = 0;
  /// From the last reports.
  TypicalLoad typical;
  /// Mean load by the newest reports only, which follows a fall of the load at once.
  double newest_mean = 0;
};

PoolLoad MeasurePool(std::span<const EndpointPtr> endpoints, std::size_t other_routers) {
  PoolLoad pool;
  pool.typical.other_routers = other_routers;
  double others_total = 0;
  std::size_t reported = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    pool.own += endpoint->load.own();
    if (const auto others = endpoint->load.ReportedOthers()) {
      others_total += *others;
      ++reported;
    }
  }
  if (reported > 0) {
    pool.typical.others = others_total / static_cast<double>(reported);
  }
  if (!endpoints.empty()) {
    pool.newest_mean =
        endpoints.front()->load.NewestReports() + pool.own / static_cast<double>(endpoints.size());
  }
  return pool;
}

double LoadCost(const Endpoint& endpoint, const RankingRequest& request, double load,
                RandomSource& random) {
  const double slots = std::max<double>(endpoint.record.slots, 1);
  const double zone = endpoint.record.zone == request.zone ? 0.0 : kOtherZonePenalty;
  return (load + kJitter * random.NextFraction()) / slots + zone;
}

/// The endpoints of a pool that can serve a request.
struct Candidates {
  std::vector<Candidate> endpoints;
  /// Endpoints that get no request now because of their request limits.
  std::vector<Candidate> at_limit;
  /// Shortest time until one of these may get a request.
  std::optional<std::chrono::nanoseconds> limit_wait;
  double mean_load = 0;
  double total_failure_rate = 0;
  /// Start time of the oldest endpoint.
  WallTime oldest = WallTime::max();
};

Candidates FindCandidates(std::span<const EndpointPtr> endpoints, const RankingRequest& request,
                          const TypicalLoad& typical, SteadyTime now) {
  Candidates found;
  std::vector<Candidate> reserved;
  double total_load = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    if (!CanServe(*endpoint, request)) {
      continue;
    }
    const Candidate candidate{.endpoint = &endpoint,
                              .load = endpoint->load.Requests(now, typical),
                              .deviation = endpoint->load.Deviation(now, typical)};
    total_load += candidate.load;
    found.total_failure_rate += endpoint->health.FailureRate(now);
    found.oldest = std::min(found.oldest, endpoint->record.started_at);
    const Availability availability = endpoint->CheckAvailability(now);
    if (!availability.IsAvailable()) {
      if (availability.wait) {
        found.limit_wait =
            std::min(found.limit_wait.value_or(*availability.wait), *availability.wait);
      }
      found.at_limit.push_back(candidate);
    } else if (request.is_costly || endpoint->quota.IsIdle(now)) {
      found.endpoints.push_back(candidate);
    } else {
      reserved.push_back(candidate);
    }
  }
  // What is reserved for costly requests is better used than left unused.
  auto& rest = found.endpoints.empty() ? found.endpoints : found.at_limit;
  rest.insert(rest.end(), reserved.begin(), reserved.end());
  // The limited endpoints hold few requests. For costly ones, which can use them, the mean includes
  // them, so that they come first when the others are loaded.
  std::size_t counted = found.endpoints.size();
  if (request.is_costly) {
    counted += found.at_limit.size();
  } else {
    for (const Candidate& limited : found.at_limit) {
      total_load -= limited.load;
    }
  }
  found.mean_load = total_load / static_cast<double>(std::max<std::size_t>(counted, 1));
  return found;
}

/// Moves endpoints that are slow now behind the others, if the prompt is probably not cached there.
void AvoidSlowEndpoints(std::vector<Scored>& scored, const RankingRequest& request,
                        const BestEndpoint& preferred, const TypicalPerformance& typical,
                        SteadyTime now) {
  std::vector<Scored*> avoided;
  std::size_t within_bound = 0;
  for (Scored& candidate : scored) {
    if (candidate.tier != 0) {
      continue;
    }
    ++within_bound;
    const Endpoint& endpoint = **candidate.endpoint;
    const double delay = ExpectedDelay(endpoint, candidate.load, typical, now);
    if (delay < kSlowNow) {
      continue;
    }
    const bool is_preferred = preferred.Is(*candidate.endpoint);
    const double cached = request.cached_prompts != nullptr
                              ? request.cached_prompts->CachedProbability(
                                    request.prompt->key, endpoint.record, is_preferred, now)
                              : (is_preferred ? kUsuallyCached : 0);
    if (delay * (1 - cached) > kMovePayoff) {
      avoided.push_back(&candidate);
    }
  }
  if (static_cast<double>(avoided.size()) <= kMaxAvoidedShare * static_cast<double>(within_bound)) {
    for (Scored* candidate : avoided) {
      candidate->tier = 1;
    }
  }
}

bool IsBefore(const Scored& left, const Scored& right) {
  return left.tier != right.tier ? left.tier < right.tier : left.cost < right.cost;
}

bool IsFailing(const Endpoint& endpoint, double mean_failure_rate, SteadyTime now) {
  return endpoint.health.state() == requests::BreakerState::kOpen || endpoint.full_until > now ||
         endpoint.health.IsUnresponsive(now) ||
         endpoint.health.FailureRate(now) > kFailureFactor * mean_failure_rate + kFailureRateSlack;
}

/// Returns the endpoint, other than the first one, that is expected to have a prompt's shared parts
/// cached; null if there is none.
EndpointPtr FindCacheSource(const EndpointPtr& first, const BestEndpoint& preferred,
                            const BestEndpoint& preferred_old, SteadyTime now) {
  // If the first endpoint is the highest-scoring old one, only a new endpoint can have taken over
  // the prompt.
  const BestEndpoint& source = preferred_old.Is(first) ? preferred : preferred_old;
  if (source.endpoint == nullptr || source.Is(first) ||
      (*source.endpoint)->health.IsUnresponsive(now)) {
    return nullptr;
  }
  return *source.endpoint;
}

}  // namespace

bool IsLongPrompt(const SharedPrompt& prompt) noexcept {
  return prompt.tokens >= kLongPromptTokens;
}

Ranking RankEndpoints(std::span<const EndpointPtr> endpoints, std::span<const EndpointPtr> draining,
                      const RankingRequest& request, SteadyTime now, RandomSource& random,
                      std::size_t limit) {
  const PoolLoad pool = MeasurePool(endpoints, request.other_routers);
  const Candidates found = FindCandidates(endpoints, request, pool.typical, now);
  const std::vector<Candidate>& candidates = found.endpoints;
  const WallTime oldest = found.oldest;
  Ranking ranking;
  ranking.limit_wait = found.limit_wait;
  if (candidates.empty()) {
    return ranking;
  }
  const auto count = static_cast<double>(candidates.size());
  const auto new_count = static_cast<std::size_t>(std::count_if(
      candidates.begin(), candidates.end(),
      [oldest](const Candidate& candidate) { return IsNew(**candidate.endpoint, oldest); }));
  const double min_new_weight = MinNewEndpointWeight(candidates.size() - new_count, new_count);
  const double mean = found.mean_load;
  const double mean_failure_rate = found.total_failure_rate / count;
  const bool is_long = request.prompt && IsLongPrompt(*request.prompt);
  const LoadBound& limits = is_long ? kLongPromptBound : kShortPromptBound;
  // While an endpoint with a limit has something left, a busy one that takes what the limited ones
  // can't gets no more than the mean. Otherwise the prompts of its own would leave the limits
  // unused.
  const bool has_limit_left = std::any_of(
      candidates.begin(), candidates.end(),
      [](const Candidate& candidate) { return (*candidate.endpoint)->quota.limit().has_value(); });
  const bool is_returning = std::any_of(
      candidates.begin(), candidates.end(),
      [now](const Candidate& candidate) { return (*candidate.endpoint)->load.IsReturning(now); });
  const double bound =
      (limits.factor * mean + limits.slack) * (is_returning ? kReturnBoundFactor : 1.0);
  const double deviations = request.prompt && request.prompt->tokens >= kExpensivePromptTokens
                                ? kExpensivePromptDeviations
                                : kDeviations;
  const bool has_margin = !IsMutantEnabled("forwarder_has_no_load_margin");
  const double tolerated =
      kToleratedLoad.factor * std::min(mean, pool.newest_mean) + kToleratedLoad.slack;
  const auto yields = [&](const Endpoint& endpoint, double load) {
    return has_limit_left && !endpoint.quota.limit() &&
           load > std::max(mean, kBusyFraction * endpoint.record.slots);
  };
  // Only requests with a prompt use the event interval.
  const auto interval = request.prompt ? MedianEventInterval(endpoints, now) : std::nullopt;
  if (UsesLearnedPerformance(endpoints, request)) {
    ranking.performance = MeasurePerformance(endpoints, interval, now);
  }
  const double slow_factor = ranking.performance && is_long ? kFaultyFactor : kSlowFactor;
  const auto slow_interval =
      interval ? slow_factor * *interval : std::chrono::duration<double>::max();
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  BestEndpoint preferred;
  BestEndpoint preferred_old;
  for (const auto& [candidate, load, deviation] : candidates) {
    const EndpointPtr& endpoint = *candidate;
    double score = 0;
    if (request.prompt) {
      const bool is_new = IsNew(*endpoint, oldest);
      score = RendezvousScore(
          request.prompt->key, endpoint->record.name.value(),
          is_new ? NewEndpointWeight(*endpoint, min_new_weight, request.wall_now) : 1.0);
      preferred.Update(endpoint, score);
      if (!is_new) {
        preferred_old.Update(endpoint, score);
      }
    }
    const bool failing = IsFailing(*endpoint, mean_failure_rate, now);
    const bool overloaded =
        request.prompt &&
        (load > bound || (has_margin && load + deviations * deviation > tolerated) ||
         yields(*endpoint, load) ||
         endpoint->pace.Mean(now).value_or(slow_interval) > slow_interval);
    // Without learned performance, a request without a prompt goes to the least loaded endpoint
    // anyway.
    const bool above_tolerated =
        !request.prompt && ranking.performance && load + deviation > tolerated - 1;
    const int tier = failing ? 2 : overloaded || above_tolerated ? 1 : 0;
    const double basic_cost =
        request.prompt && tier == 0 ? -score : LoadCost(*endpoint, request, load, random);
    double cost = basic_cost;
    if (!request.prompt && ranking.performance) {
      cost += kDelayWeight * (ExpectedDelay(*endpoint, load, *ranking.performance, now) - 1);
    }
    scored.push_back({.endpoint = &endpoint,
                      .tier = tier,
                      .cost = cost,
                      .basic_cost = basic_cost,
                      .load = load});
  }
  const EndpointPtr* basic_first = nullptr;
  if (ranking.performance) {
    basic_first =
        std::min_element(scored.begin(), scored.end(), [](const Scored& left, const Scored& right) {
          return left.tier != right.tier ? left.tier < right.tier
                                         : left.basic_cost < right.basic_cost;
        })->endpoint;
    if (is_long) {
      AvoidSlowEndpoints(scored, request, preferred, *ranking.performance, now);
    }
  }
  const std::size_t kept = std::min(limit, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), IsBefore);
  const EndpointPtr& first = *scored.front().endpoint;
  ranking.at_home = preferred.Is(first);
  ranking.avoided_delay = basic_first != nullptr && *basic_first != first;
  ranking.mean_load = mean;
  ranking.typical = pool.typical;
  ranking.own_load = pool.own;
  // An endpoint that has not reported to this router is assumed to have the mean number of
  // requests.
  ranking.others_load = pool.typical.others * static_cast<double>(endpoints.size());
  if (request.prompt) {
    const auto consider_cache = [&](const EndpointPtr& endpoint) {
      preferred_old.Update(endpoint,
                           RendezvousScore(request.prompt->key, endpoint->record.name.value()));
    };
    std::for_each(draining.begin(), draining.end(), consider_cache);
    for (const Candidate& limited : found.at_limit) {
      consider_cache(*limited.endpoint);
    }
    ranking.cached_at = FindCacheSource(first, preferred, preferred_old, now);
  }
  ranking.endpoints.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    ranking.endpoints.push_back(*scored[i].endpoint);
  }
  return ranking;
}

}  // namespace wagtailwind::balancing
