#include "balancing/performance_estimate.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "balancing/endpoint.h"
#include "core/hash.h"
#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using Seconds = std::chrono::duration<double>;

// Time constant with which a reading of the speed loses its value. Endpoints that are slow for 0.6
// s at a time in 0.15 of the time change with the rate 1 / 0.6 s + 1 / 3.4 s, so a reading predicts
// the speed at a later time with this constant.
constexpr Seconds kReadingTime{0.5};

// Weight of the pool's typical pace in an endpoint's mean, in readings.
constexpr double kTypicalWeight = 4;

// Calls that are needed for a mean, reduced by their age.
constexpr double kMinCalls = 2;

// Calls of the pool's typical duration that are added to an endpoint's own. The durations of single
// calls vary by half.
constexpr double kTypicalCalls = 2;

// Events within this time count as one reading of the speed. Streams that are read slowly or have
// ended say nothing about the present.
constexpr Seconds kGapWindow{0.6};

// Smallest ratio to the typical time between events that says that an endpoint is slow. The load
// alone stays below it.
constexpr double kSlowGapRatio = 1.6;

// Limits of the slowness, so that a single wrong reading has a limited effect.
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 5;

// Values needed in a load class, reduced by their age.
constexpr double kMinClassWeight = 3;

// Least time between gaps that count for the effect of the load: all gaps in one slow phase of the
// machine say the same.
constexpr Seconds kLoadSampleTime{0.5};

// Ratio to the time at low load from which the load delays requests. Smaller ratios occur by chance
// and with the size of an engine's batch.
constexpr double kDelayingRatio = 1.5;

// Prompts remembered in each generation, and the time after which a prompt may have been replaced
// in an endpoint's cache.
constexpr std::size_t kMaxSightings = 2'048;
constexpr std::chrono::seconds kCachedTime{60};

// Probability that a prompt is cached at an endpoint that has read it recently.
constexpr double kSeenCached = 0.95;

// A first event that takes this many times the lower quartile belongs to a prompt whose shared
// parts had to be read. A slow machine alone stays below.
constexpr double kReadRatio = 3;

// Part of the prompts whose first event is earlier than the quartile.
constexpr double kQuartile = 0.25;

// Step of the running quartile and gain of the share, for about two or three long prompts a second.
constexpr double kQuartileStep = 0.05;
constexpr double kShareGain = 0.05;

double DecayFactor(SteadyTime since, SteadyTime now, Seconds time_constant) noexcept {
  return std::exp(-std::max(Seconds(now - since), Seconds(0)) / time_constant);
}

std::size_t ProcessHash(const EndpointRecord& endpoint) {
  return StableHash(endpoint.name.value() + "#" + std::to_string(endpoint.incarnation));
}

}  // namespace

void DecayingMean::Add(double value, SteadyTime now) noexcept {
  const double factor = DecayFactor(m_updated, now, m_time_constant);
  m_sum = m_sum * factor + value;
  m_weight = m_weight * factor + 1;
  m_updated = now;
}

double DecayingMean::Weight(SteadyTime now) const noexcept {
  // Most load classes are empty, and each endpoint of a pool is asked for all of them.
  return m_weight > 0 ? m_weight * DecayFactor(m_updated, now, m_time_constant) : 0;
}

double DecayingMean::Value(SteadyTime now, double prior, double prior_weight) const noexcept {
  const double factor = DecayFactor(m_updated, now, m_time_constant);
  const double weight = m_weight * factor + prior_weight;
  return weight > 0 ? (m_sum * factor + prior * prior_weight) / weight : prior;
}

void PerformanceEstimate::OnPace(double pace, SteadyTime now) noexcept {
  if (IsMutantEnabled("forwarder_ignores_paces")) {
    return;
  }
  m_pace = pace;
  m_pace_at = now;
  m_mean_pace.Add(pace, now);
}

void PerformanceEstimate::OnEventGap(std::chrono::nanoseconds gap, double load, std::uint32_t slots,
                                     SteadyTime now) noexcept {
  m_gaps[m_next_gap] = gap;
  m_gaps_at[m_next_gap] = now;
  m_next_gap = (m_next_gap + 1) % kRecentGaps;
  if (now - m_gap_at_load_at >= kLoadSampleTime) {
    m_gap_at_load_at = now;
    RecordAtLoad(Seconds(gap).count(), load, slots, now);
  }
}

void PerformanceEstimate::OnCall(std::chrono::nanoseconds duration, double load,
                                 std::uint32_t slots, SteadyTime now) noexcept {
  m_call_time.Add(Seconds(duration).count(), now);
  RecordAtLoad(Seconds(duration).count(), load, slots, now);
}

bool PerformanceEstimate::OnMalformedPace() noexcept {
  const bool is_first = !m_had_malformed_pace;
  m_had_malformed_pace = true;
  return is_first;
}

double PerformanceEstimate::MeanPace(SteadyTime now, double typical) const noexcept {
  return m_mean_pace.Value(now, typical, kTypicalWeight);
}

std::optional<Seconds> PerformanceEstimate::MeanCallTime(SteadyTime now) const noexcept {
  if (m_call_time.Weight(now) < kMinCalls) {
    return std::nullopt;
  }
  return Seconds(m_call_time.Value(now, 0, 0));
}

std::optional<PerformanceEstimate::Reading> PerformanceEstimate::GapReading(
    const TypicalPerformance& typical) const noexcept {
  const auto newest = *std::max_element(m_gaps_at.begin(), m_gaps_at.end());
  const auto oldest = *std::min_element(m_gaps_at.begin(), m_gaps_at.end());
  if (typical.event_gap <= Seconds(0) || newest - oldest > kGapWindow) {
    return std::nullopt;
  }
  // A prompt that is read makes single gaps long. The shortest of the last ones is long only if the
  // endpoint is slow.
  const double ratio = *std::min_element(m_gaps.begin(), m_gaps.end()) / typical.event_gap;
  return Reading{.slowness = ratio >= kSlowGapRatio ? ratio : 1.0, .at = newest};
}

double PerformanceEstimate::Slowness(SteadyTime now,
                                     const TypicalPerformance& typical) const noexcept {
  const double typical_pace = std::max(typical.pace, kMinSlowness);
  double mean = MeanPace(now, typical_pace) / typical_pace;
  std::optional<Reading> newest = GapReading(typical);
  if (m_pace_at && (!newest || *m_pace_at > newest->at)) {
    newest = Reading{.slowness = m_pace / typical_pace, .at = *m_pace_at};
  }
  if (!m_pace_at && typical.call_time > Seconds(0)) {
    mean = m_call_time.Value(now, typical.call_time.count(), kTypicalCalls) /
           typical.call_time.count();
  }
  if (!m_pace_at && !newest && IsMutantEnabled("forwarder_takes_unknown_pace_as_fast")) {
    mean = kMinSlowness;
  }
  if (!newest) {
    return std::clamp(mean, kMinSlowness, kMaxSlowness);
  }
  const double weight = IsMutantEnabled("forwarder_never_forgets_speeds")
                            ? 1.0
                            : DecayFactor(newest->at, now, kReadingTime);
  return std::clamp(mean + (newest->slowness - mean) * weight, kMinSlowness, kMaxSlowness);
}

std::size_t PerformanceEstimate::LoadClass(double load, std::uint32_t slots) noexcept {
  const double fraction = std::clamp(load / std::max<double>(slots, 1), 0.0, 1.0);
  return std::min(static_cast<std::size_t>(fraction * kLoadClasses), kLoadClasses - 1);
}

void PerformanceEstimate::RecordAtLoad(double seconds, double load, std::uint32_t slots,
                                       SteadyTime now) noexcept {
  // The speed of the machine at that time is not an effect of the load.
  constexpr Seconds kSamePhase{0.3};
  const bool has_pace = m_pace_at && now - *m_pace_at < kSamePhase;
  m_time_at_load[LoadClass(load, slots)].Add(has_pace ? seconds / m_pace : seconds, now);
}

double PerformanceEstimate::DelayingLoad(std::uint32_t slots, SteadyTime now) const noexcept {
  const double width = std::max<double>(slots, 1) / kLoadClasses;
  std::optional<double> low_load_time;
  std::optional<double> delaying_load;
  for (std::size_t i = 0; i < kLoadClasses; ++i) {
    if (m_time_at_load[i].Weight(now) < kMinClassWeight) {
      continue;
    }
    const double time = m_time_at_load[i].Value(now, 0, 0);
    low_load_time = std::min(low_load_time.value_or(time), time);
    if (time < kDelayingRatio * *low_load_time) {
      // A lower class that seemed slow was so by chance.
      delaying_load.reset();
    } else if (!delaying_load) {
      // Above the delaying load, the time is proportional to the load.
      delaying_load = width * (static_cast<double>(i) + 0.5) * *low_load_time / time;
    }
  }
  return delaying_load.value_or(slots);
}

double PerformanceEstimate::Crowding(double load, std::uint32_t slots,
                                     SteadyTime now) const noexcept {
  return std::max(1.0, load / std::max(DelayingLoad(slots, now), 1.0));
}

const PromptCacheEstimate::Sighting* PromptCacheEstimate::Find(const Sightings& sightings,
                                                               std::uint64_t prompt) {
  const auto found = sightings.find(prompt);
  return found == sightings.end() ? nullptr : &found->second;
}

bool PromptCacheEstimate::WasSeen(std::uint64_t prompt, const EndpointRecord& endpoint,
                                  SteadyTime now) const {
  const Sighting* sighting = Find(m_newer, prompt);
  sighting = sighting != nullptr ? sighting : Find(m_older, prompt);
  return sighting != nullptr && now - sighting->at < kCachedTime &&
         sighting->process == ProcessHash(endpoint);
}

void PromptCacheEstimate::OnFirstEvent(std::uint64_t prompt, const EndpointRecord& endpoint,
                                       std::chrono::nanoseconds time, SteadyTime now) {
  if (m_quartile <= Seconds(0)) {
    m_quartile = time;
  }
  if (!WasSeen(prompt, endpoint, now)) {
    const double cached = Seconds(time) < kReadRatio * m_quartile ? 1 : 0;
    m_unseen_cached += (cached - m_unseen_cached) * kShareGain;
  }
  m_quartile *= Seconds(time) > m_quartile ? 1 + kQuartileStep * kQuartile
                                           : 1 - kQuartileStep * (1 - kQuartile);
  if (m_newer.size() >= kMaxSightings) {
    m_older = std::move(m_newer);
    m_newer.clear();
  }
  m_newer[prompt] = {.process = ProcessHash(endpoint), .at = now};
}

double PromptCacheEstimate::CachedProbability(std::uint64_t prompt, const EndpointRecord& endpoint,
                                              bool is_preferred, SteadyTime now) const {
  if (WasSeen(prompt, endpoint, now)) {
    return kSeenCached;
  }
  return is_preferred ? m_unseen_cached : 0;
}

}  // namespace wagtailwind::balancing
