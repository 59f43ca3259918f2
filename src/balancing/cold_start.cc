#include "balancing/cold_start.h"

#include <algorithm>
#include <cmath>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Part of the limit that the routers use together. The rest is for requests of routers that know
// other routers, or learn late that the endpoint is cold.
constexpr double kUsedPart = 0.8;

// Part of the limit that gives the number of routers that use it. Each of them sends at most one
// request in a second, so the largest number of arrivals is this part.
constexpr double kUsersPart = 0.6;

// Rate of a router at which two of its requests never arrive within one second, also if the first
// one is delayed on its way.
constexpr double kSingleRequestRate = 0.9;

// Requests that may be saved up for a cold endpoint. With more, the users could exceed the limit
// after a pause.
constexpr double kBurst = 1.0;

}  // namespace

LimitShare DivideColdLimit(const ColdEndpoint& endpoint, const RouterInfo& self,
                           std::span<const RouterInfo> routers) {
  const ColdLimit& limit = endpoint.limit;
  const auto count = static_cast<double>(std::max<std::size_t>(routers.size(), 1));
  const double users =
      std::min(count, std::max(1.0, std::floor(kUsersPart * limit.most_in_a_second)));
  const std::size_t ahead = RoutersAhead(endpoint.name, endpoint.zone, self, routers);
  if (IsMutantEnabled("forwarder_cold_rate_per_router")) {
    return {.rate = limit.rate, .burst = kBurst};
  }
  if (static_cast<double>(ahead) >= users) {
    return {};
  }
  // In any second, a user sends at most its burst and what its rate yields meanwhile.
  const double most =
      std::max(kSingleRequestRate, kUsedPart * limit.most_in_a_second / users - kBurst);
  return {.rate = std::min(limit.rate / users, most), .burst = kBurst};
}

void ColdStart::ExtendUntil(SteadyTime until) noexcept { m_until = std::max(m_until, until); }

void ColdStart::SetShare(std::optional<LimitShare> share, SteadyTime now) noexcept {
  if (share) {
    m_quota.SetLimit(share->rate, *share, now);
  } else {
    m_quota.RemoveLimit();
  }
}

bool ColdStart::IsAvailable(SteadyTime now) const noexcept {
  return !IsCold(now) || m_quota.IsAvailable(now) ||
         IsMutantEnabled("forwarder_ignores_cold_endpoints");
}

void ColdStart::OnSent(SteadyTime now) noexcept {
  if (IsCold(now)) {
    (void)m_quota.TryTake(now);
  }
}

std::chrono::nanoseconds ColdStart::WaitTime(SteadyTime now) const noexcept {
  return IsCold(now) ? std::min<std::chrono::nanoseconds>(m_quota.WaitTime(now), m_until - now)
                     : 0ns;
}

}  // namespace wagtailwind::balancing
