#ifndef WAGTAILWIND_PLACEMENT_FLAP_DAMPING_H_
#define WAGTAILWIND_PLACEMENT_FLAP_DAMPING_H_

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>

#include "core/clock.h"
#include "core/ids.h"
#include "gossip/member.h"

namespace wagtailwind::placement {

/// \brief Detects endpoints that restart repeatedly and damps them for a time. Uses a bounded
/// amount of memory. Thread-safe.
class FlapDamping {
 public:
  /// \brief Records the member's incarnation and returns whether its endpoint is damped.
  [[nodiscard]] bool Observe(const gossip::Member& member, SteadyTime now);

  /// \brief Number of endpoints with a history.
  [[nodiscard]] std::size_t Size() const;

 private:
  static constexpr std::size_t kChangesToDamp = 3;

  struct History {
    Incarnation incarnation = 0;
    SteadyTime first_seen{};
    SteadyTime last_observed{};
    SteadyTime damped_until{};
    /// Times of the latest restarts and recoveries, as a ring buffer.
    std::array<SteadyTime, kChangesToDamp> changes{};
    std::size_t change_count = 0;
  };

  static void RecordChange(History& history, SteadyTime now);
  void EvictUnobserved(SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  absl::flat_hash_map<EndpointName, History> m_histories ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_FLAP_DAMPING_H_
