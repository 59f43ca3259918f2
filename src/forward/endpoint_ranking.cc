#include "forward/endpoint_ranking.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "core/hash.h"

namespace wagtailwind::forward {

namespace {

/// Load up to which an endpoint takes prompts that are at home there: `factor` times the pool's
/// mean and `slack` requests. At a low mean, single requests would otherwise drive prompts away
/// from their cached parts.
struct LoadBound {
  double factor;
  double slack;
};

// The platform tolerates twice the mean and three requests. Routers see the load late, so the wide
// bound stays below.
constexpr LoadBound kLongPromptBound{1.8, 2.5};
constexpr LoadBound kShortPromptBound{1.5, 1.5};

// Shared tokens from which a prompt counts as long: reading them takes an engine longer than a
// step of its batch.
constexpr std::uint64_t kLongPromptTokens = 1'500;

// Requests in flight that crossing zones is worth, in parts of an endpoint's slots: keeps traffic
// in the zone while the loads are about equal.
constexpr double kOtherZonePenalty = 0.2;

// Breaks ties between routers that have seen the same reports.
constexpr double kJitter = 0.1;

// An endpoint comes last if its failure rate is above this multiple of the pool's mean and this
// much more. When the whole pool fails, moving requests away helps nobody and loses cached parts.
constexpr double kFailureFactor = 1.5;
constexpr double kExcessFailureRate = 0.2;

// An engine whose events come this many times slower than the median of its pool counts as
// overloaded. Differences of load alone stay below.
constexpr double kSlowFactor = 2.0;

// Endpoints that started within this time of the oldest one belong to the same start of the pool.
constexpr std::chrono::seconds kSameStart{5};

// Age at which a new endpoint has its full share of the prompts. Until then it is filled by short
// prompts and by what other endpoints have no room for.
constexpr std::chrono::seconds kFullShareAge{300};
constexpr double kLeastShare = 0.02;

// Load of the old endpoints over the pool's mean that sparing the new ones may lead to.
constexpr double kOldExcess = 1.15;

/// An endpoint that can serve the request, with its load.
struct Candidate {
  const EndpointPtr* endpoint;
  double load;
};

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

/// The endpoint with the highest score so far.
struct Holder {
  const EndpointPtr* endpoint = nullptr;
  double score = 0;

  void Offer(const EndpointPtr& candidate, double candidate_score) {
    if (endpoint == nullptr || candidate_score > score) {
      endpoint = &candidate;
      score = candidate_score;
    }
  }

  [[nodiscard]] bool Is(const EndpointPtr& other) const {
    return endpoint != nullptr && *endpoint == other;
  }
};

bool IsYoung(const Endpoint& endpoint, WallTime oldest) {
  return endpoint.record.started_at - oldest >= kSameStart;
}

/// Share of the prompts that are at home at a new endpoint, against an old one.
double YoungShare(const Endpoint& endpoint, double least, WallTime now) {
  const double age =
      std::chrono::duration<double>(now - endpoint.record.started_at) / kFullShareAge;
  return std::clamp(age * age, least, 1.0);
}

/// Least share of new endpoints, so that the old ones are not driven over the load bound.
double LeastYoungShare(std::size_t old_count, std::size_t young_count) {
  const double needed =
      static_cast<double>(old_count + young_count) / kOldExcess - static_cast<double>(old_count);
  return std::clamp(needed / static_cast<double>(std::max<std::size_t>(young_count, 1)),
                    kLeastShare, 1.0);
}

/// Time between events above which an endpoint counts as slow.
std::chrono::duration<double> SlowPace(std::span<const EndpointPtr> endpoints, SteadyTime now) {
  std::vector<std::chrono::duration<double>> paces;
  for (const EndpointPtr& endpoint : endpoints) {
    if (const auto pace = endpoint->pace.Mean(now)) {
      paces.push_back(*pace);
    }
  }
  // With fewer, the slow one may be the median itself.
  constexpr std::size_t kMinPaces = 3;
  if (paces.size() < kMinPaces) {
    return std::chrono::duration<double>::max();
  }
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return kSlowFactor * *middle;
}

/// Requests in flight at a pool.
struct PoolLoad {
  /// Of this router.
  double own = 0;
  /// Of other routers at an endpoint on average, by the last reports.
  double typical_others = 0;
};

PoolLoad MeasurePool(std::span<const EndpointPtr> endpoints) {
  PoolLoad pool;
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
    pool.typical_others = others_total / static_cast<double>(reported);
  }
  return pool;
}

double LoadCost(const Endpoint& endpoint, const RankingRequest& request, double load,
                RandomSource& random) {
  const double slots = std::max<double>(endpoint.record.slots, 1);
  const double zone = endpoint.record.zone == request.zone ? 0.0 : kOtherZonePenalty;
  return (load + kJitter * random.Fraction()) / slots + zone;
}

}  // namespace

Ranking RankEndpoints(std::span<const EndpointPtr> endpoints, std::span<const EndpointPtr> draining,
                      const RankingRequest& request, SteadyTime now, RandomSource& random,
                      std::size_t limit) {
  const PoolLoad pool = MeasurePool(endpoints);
  std::vector<Candidate> candidates;
  candidates.reserve(endpoints.size());
  double total_load = 0;
  double total_failure_rate = 0;
  WallTime oldest = WallTime::max();
  for (const EndpointPtr& endpoint : endpoints) {
    if (CanServe(*endpoint, request)) {
      const double load = endpoint->load.Requests(now, pool.typical_others);
      candidates.push_back({.endpoint = &endpoint, .load = load});
      oldest = std::min(oldest, endpoint->record.started_at);
      total_load += load;
      total_failure_rate += endpoint->health.FailureRate(now);
    }
  }
  if (candidates.empty()) {
    return {};
  }
  const auto count = static_cast<double>(candidates.size());
  const auto young = static_cast<std::size_t>(std::count_if(
      candidates.begin(), candidates.end(),
      [oldest](const Candidate& candidate) { return IsYoung(**candidate.endpoint, oldest); }));
  const double least_share = LeastYoungShare(candidates.size() - young, young);
  const double mean = total_load / count;
  const double mean_failure_rate = total_failure_rate / count;
  const bool is_long = request.prompt && request.prompt->tokens >= kLongPromptTokens;
  const LoadBound& limits = is_long ? kLongPromptBound : kShortPromptBound;
  const double bound = limits.factor * mean + limits.slack;
  // Only the order of prompts depends on it.
  const auto slow_pace =
      request.prompt ? SlowPace(endpoints, now) : std::chrono::duration<double>::max();
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  Holder home;
  Holder old_holder;
  for (const auto& [candidate, load] : candidates) {
    const EndpointPtr& endpoint = *candidate;
    double score = 0;
    if (request.prompt) {
      const bool is_young = IsYoung(*endpoint, oldest);
      score =
          RendezvousScore(request.prompt->key, endpoint->record.name.value(),
                          is_young ? YoungShare(*endpoint, least_share, request.wall_now) : 1.0);
      home.Offer(endpoint, score);
      if (!is_young) {
        old_holder.Offer(endpoint, score);
      }
    }
    const bool failing =
        endpoint->health.state() == requests::BreakerState::kOpen || endpoint->full_until > now ||
        endpoint->health.IsSilent(now) ||
        endpoint->health.FailureRate(now) > kFailureFactor * mean_failure_rate + kExcessFailureRate;
    const bool overloaded =
        request.prompt &&
        (load > bound || endpoint->pace.Mean(now).value_or(slow_pace) > slow_pace);
    const int tier = failing ? 2 : overloaded ? 1 : 0;
    const double cost =
        request.prompt && tier == 0 ? -score : LoadCost(*endpoint, request, load, random);
    scored.push_back({.endpoint = &endpoint, .tier = tier, .cost = cost});
  }
  const std::size_t kept = std::min(limit, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), [](const Scored& left, const Scored& right) {
                      return left.tier != right.tier ? left.tier < right.tier
                                                     : left.cost < right.cost;
                    });
  const EndpointPtr& first = *scored.front().endpoint;
  Ranking ranking;
  ranking.at_home = home.Is(first);
  ranking.mean_load = mean;
  ranking.own_load = pool.own;
  // Endpoints that have not reported to this router count as typical ones.
  ranking.others_load = pool.typical_others * static_cast<double>(endpoints.size());
  if (request.prompt) {
    for (const EndpointPtr& endpoint : draining) {
      old_holder.Offer(endpoint,
                       RendezvousScore(request.prompt->key, endpoint->record.name.value()));
    }
    // When the first one is the old holder, only a new endpoint can have taken the prompt over.
    const Holder& source = old_holder.Is(first) ? home : old_holder;
    if (!source.Is(first) && source.endpoint != nullptr &&
        !(*source.endpoint)->health.IsSilent(now)) {
      ranking.cached_at = *source.endpoint;
    }
  }
  ranking.endpoints.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    ranking.endpoints.push_back(*scored[i].endpoint);
  }
  return ranking;
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
