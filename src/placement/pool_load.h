#ifndef WAGTAILWIND_PLACEMENT_POOL_LOAD_H_
#define WAGTAILWIND_PLACEMENT_POOL_LOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "gossip/member.h"

namespace wagtailwind::placement {

/// \brief Recent load entries of an agent's peers, with their sums.
struct PoolLoad {
  std::vector<gossip::LoadEntry> peers;
  std::uint64_t work_tokens = 0;
  std::uint64_t capacity = 0;
};

/// \brief Selects the entries of other endpoints that are at most `max_age` old and have a
/// capacity.
[[nodiscard]] PoolLoad SelectFreshPeers(std::vector<gossip::LoadEntry> entries,
                                        const EndpointName& self, std::chrono::milliseconds max_age,
                                        SteadyTime now);

/// \brief Selects at most `limit` peers at or below the pool's mean load, best first. Peers far
/// below the mean tend to come first. The order depends on `key`, so that requests that are refused
/// at the same time do not all go to the same peer.
[[nodiscard]] std::vector<EndpointName> SelectRedirectPeers(
    const PoolLoad& pool, std::uint64_t key, std::size_t limit,
    const std::function<bool(const EndpointName&)>& is_usable);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_POOL_LOAD_H_
