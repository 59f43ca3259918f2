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

/// \brief Remembers restarts of endpoints and recognises those that restart again and again.
/// Bounded in memory. Safe to use from several threads.
class FlapDamping {
 public:
  /// \brief Takes note of the member's incarnation; true while the endpoint is damped.
  [[nodiscard]] bool Observe(const gossip::Member& member, SteadyTime now);

  [[nodiscard]] std::size_t Size() const;

 private:
  static constexpr std::size_t kChanges = 3;

  struct History {
    Incarnation incarnation = 0;
    SteadyTime first_seen{};
    SteadyTime last_observed{};
    SteadyTime damped_until{};
    /// Times of the last changes, as a ring.
    std::array<SteadyTime, kChanges> changes{};
    std::size_t change_count = 0;
  };

  static void RecordChange(History& history, SteadyTime now);
  void EvictUnobserved(SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  absl::flat_hash_map<EndpointName, History> m_histories ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_FLAP_DAMPING_H_
