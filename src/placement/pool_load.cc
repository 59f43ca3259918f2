#include "placement/pool_load.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace wagtailwind::placement {

namespace {

double Level(const gossip::LoadEntry& entry) {
  return static_cast<double>(entry.work_tokens) / static_cast<double>(entry.capacity);
}

struct Scored {
  double score;
  const EndpointName* endpoint;
};

}  // namespace

PoolLoad FreshPeers(std::vector<gossip::LoadEntry> entries, const EndpointName& self,
                    std::chrono::milliseconds max_age, SteadyTime now) {
  PoolLoad pool;
  std::erase_if(entries, [&](const gossip::LoadEntry& entry) {
    return entry.capacity == 0 || entry.endpoint == self || now - entry.measured_at > max_age;
  });
  for (const gossip::LoadEntry& entry : entries) {
    pool.work_tokens += entry.work_tokens;
    pool.capacity += entry.capacity;
  }
  pool.peers = std::move(entries);
  return pool;
}

std::vector<EndpointName> RedirectPeers(const PoolLoad& pool, std::uint64_t key, std::size_t limit,
                                        const std::function<bool(const EndpointName&)>& is_usable) {
  if (pool.peers.empty()) {
    return {};
  }
  const double mean = static_cast<double>(pool.work_tokens) / static_cast<double>(pool.capacity);
  std::vector<Scored> scored;
  for (const gossip::LoadEntry& peer : pool.peers) {
    const double room = (mean - Level(peer)) * static_cast<double>(peer.capacity);
    if (room >= 0 && is_usable(peer.endpoint)) {
      // The added token keeps the peers of an idle pool, which are all at the mean, in the list.
      scored.push_back({RendezvousScore(key, peer.endpoint.value(), room + 1), &peer.endpoint});
    }
  }
  const std::size_t count = std::min(limit, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const Scored& a, const Scored& b) { return a.score > b.score; });
  std::vector<EndpointName> redirects;
  redirects.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    redirects.push_back(*scored[i].endpoint);
  }
  return redirects;
}

}  // namespace wagtailwind::placement
