#ifndef WAGTAILWIND_BALANCING_PERFORMANCE_ESTIMATE_H_
#define WAGTAILWIND_BALANCING_PERFORMANCE_ESTIMATE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"

namespace wagtailwind::balancing {

struct EndpointRecord;

/// \brief Mean of values in which older ones weigh exponentially less.
class DecayingMean {
 public:
  explicit constexpr DecayingMean(std::chrono::duration<double> time_constant) noexcept
      : m_time_constant(time_constant) {}

  void Add(double value, SteadyTime now) noexcept;

  /// \brief Returns the mean, to which `prior` is added with the weight `prior_weight`.
  [[nodiscard]] double Value(SteadyTime now, double prior, double prior_weight) const noexcept;

  /// \brief Returns the number of values, reduced by their age.
  [[nodiscard]] double Weight(SteadyTime now) const noexcept;

 private:
  std::chrono::duration<double> m_time_constant;
  double m_sum = 0;
  double m_weight = 0;
  SteadyTime m_updated{};
};

/// \brief Typical performance of a pool's endpoints, to which each of them is compared.
struct TypicalPerformance {
  /// Mean of the paces that endpoints report.
  double pace = 1;
  /// Median of the mean times between events; 0: unknown.
  std::chrono::duration<double> event_gap{0};
  /// Mean duration of calls; 0: unknown.
  std::chrono::duration<double> call_time{0};
};

/// \brief What a router has learned about the speed of one endpoint, from the paces that the
/// endpoint reports and from the times that this router's requests took.
///
/// Two things are told apart. The speed changes within a second, so a reading loses its value as
/// fast, and the estimate returns to the endpoint's mean, or to the pool's where it is unknown. The
/// load from which additional requests delay all others is a property of the machine and is learned
/// over many seconds.
class PerformanceEstimate {
 public:
  /// \brief Records the pace in a load report: a multiple of the usual time.
  void OnPace(double pace, SteadyTime now) noexcept;

  /// \brief Records the time between two events of a stream, while the endpoint had about `load`
  /// of its `slots` in use.
  void OnEventGap(std::chrono::nanoseconds gap, double load, std::uint32_t slots,
                  SteadyTime now) noexcept;

  /// \brief Records the duration of a call at whose end the endpoint had about `load` of its
  /// `slots` in use, including the call.
  void OnCall(std::chrono::nanoseconds duration, double load, std::uint32_t slots,
              SteadyTime now) noexcept;

  /// \brief Records a load report whose pace is malformed. Returns whether it is the first one.
  [[nodiscard]] bool OnMalformedPace() noexcept;

  /// \brief Returns whether the endpoint has reported a pace.
  [[nodiscard]] bool HasPace() const noexcept { return m_pace_at.has_value(); }

  /// \brief Returns the endpoint's mean pace over the last seconds. Without readings, it is
  /// `typical`.
  [[nodiscard]] double MeanPace(SteadyTime now, double typical) const noexcept;

  /// \brief Returns the mean duration of calls; empty if there are too few recent ones.
  [[nodiscard]] std::optional<std::chrono::duration<double>> MeanCallTime(
      SteadyTime now) const noexcept;

  /// \brief Returns how long work is expected to take now, as a multiple of the pool's typical
  /// time.
  [[nodiscard]] double Slowness(SteadyTime now, const TypicalPerformance& typical) const noexcept;

  /// \brief Returns the load from which additional requests delay all of them; `slots` unless the
  /// endpoint was seen to slow down earlier.
  [[nodiscard]] double DelayingLoad(std::uint32_t slots, SteadyTime now) const noexcept;

  /// \brief Returns the factor by which a request takes longer if it is one of `load` requests.
  [[nodiscard]] double Crowding(double load, std::uint32_t slots, SteadyTime now) const noexcept;

 private:
  /// Loads are learned in this many classes of equal width, from 0 to the number of slots.
  static constexpr std::size_t kLoadClasses = 8;
  /// Time over which the effect of the load is learned: a router makes about one call a second at
  /// an endpoint.
  static constexpr std::chrono::duration<double> kLoadTime{20.0};
  /// Time over which the mean speed is learned.
  static constexpr std::chrono::duration<double> kMeanTime{10.0};
  static constexpr std::size_t kRecentGaps = 3;

  /// A reading of the slowness and when it was taken.
  struct Reading {
    double slowness;
    SteadyTime at;
  };

  [[nodiscard]] static std::size_t LoadClass(double load, std::uint32_t slots) noexcept;
  void RecordAtLoad(double seconds, double load, std::uint32_t slots, SteadyTime now) noexcept;
  [[nodiscard]] std::optional<Reading> GapReading(const TypicalPerformance& typical) const noexcept;

  double m_pace = 1;
  std::optional<SteadyTime> m_pace_at;
  DecayingMean m_mean_pace{kMeanTime};
  DecayingMean m_call_time{std::chrono::duration<double>(1.5)};
  /// Times by load class: of events at an engine, of calls at a plain service.
  std::array<DecayingMean, kLoadClasses> m_time_at_load{
      DecayingMean(kLoadTime), DecayingMean(kLoadTime), DecayingMean(kLoadTime),
      DecayingMean(kLoadTime), DecayingMean(kLoadTime), DecayingMean(kLoadTime),
      DecayingMean(kLoadTime), DecayingMean(kLoadTime)};
  /// The last gaps between events, and when each was seen.
  std::array<std::chrono::duration<double>, kRecentGaps> m_gaps{};
  std::array<SteadyTime, kRecentGaps> m_gaps_at{};
  std::size_t m_next_gap = 0;
  /// Time of the last gap that counted for the effect of the load.
  SteadyTime m_gap_at_load_at{};
  bool m_had_malformed_pace = false;
};

/// \brief Remembers which prompts this router's requests have had read at which endpoint, to
/// estimate whether the shared parts of a prompt are cached there.
class PromptCacheEstimate {
 public:
  /// \brief Records the time to the first event of a prompt at the endpoint that is expected to
  /// cache its shared parts.
  void OnFirstEvent(std::uint64_t prompt, const EndpointRecord& endpoint,
                    std::chrono::nanoseconds time, SteadyTime now);

  /// \brief Returns the probability that an endpoint has the shared parts cached. `is_preferred`:
  /// the routers send the prompt to it by default.
  [[nodiscard]] double CachedProbability(std::uint64_t prompt, const EndpointRecord& endpoint,
                                         bool is_preferred, SteadyTime now) const;

 private:
  struct Sighting {
    /// Hash of the endpoint's name and incarnation: a restart empties its cache.
    std::size_t process = 0;
    SteadyTime at{};
  };
  using Sightings = std::unordered_map<std::uint64_t, Sighting>;

  [[nodiscard]] static const Sighting* Find(const Sightings& sightings, std::uint64_t prompt);
  [[nodiscard]] bool WasSeen(std::uint64_t prompt, const EndpointRecord& endpoint,
                             SteadyTime now) const;

  /// Two generations: when the newer one is full, the older one is dropped.
  Sightings m_newer;
  Sightings m_older;
  /// Running lower quartile of the times to the first event; 0 before the first.
  std::chrono::duration<double> m_quartile{0};
  /// Share of the prompts that were cached although this router had not sent them recently.
  double m_unseen_cached = 0.7;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_PERFORMANCE_ESTIMATE_H_
