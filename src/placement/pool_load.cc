#include "placement/pool_load.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace wagtailwind::placement {

namespace {

double LoadRatio(const gossip::LoadEntry& entry) {
  return static_cast<double>(entry.work_tokens) / static_cast<double>(entry.capacity);
}

struct ScoredPeer {
  double score;
  const EndpointName* endpoint;
};

}  // namespace

PoolLoad SelectFreshPeers(std::vector<gossip::LoadEntry> entries, const EndpointName& self,
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

std::vector<EndpointName> SelectRedirectPeers(
    const PoolLoad& pool, std::uint64_t key, std::size_t limit,
    const std::function<bool(const EndpointName&)>& is_usable) {
  if (pool.peers.empty()) {
    return {};
  }
  const double mean = static_cast<double>(pool.work_tokens) / static_cast<double>(pool.capacity);
  std::vector<ScoredPeer> scored;
  for (const gossip::LoadEntry& peer : pool.peers) {
    const double below_mean = (mean - LoadRatio(peer)) * static_cast<double>(peer.capacity);
    if (below_mean >= 0 && is_usable(peer.endpoint)) {
      // The added token gives a positive weight to peers exactly at the mean, as all peers of an
      // idle pool are.
      scored.push_back(
          {RendezvousScore(key, peer.endpoint.value(), below_mean + 1), &peer.endpoint});
    }
  }
  const std::size_t count = std::min(limit, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const ScoredPeer& a, const ScoredPeer& b) { return a.score > b.score; });
  std::vector<EndpointName> redirects;
  redirects.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    redirects.push_back(*scored[i].endpoint);
  }
  return redirects;
}

}  // namespace wagtailwind::placement
