#include "balancing/request_limit.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

#include "core/hash.h"
#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Number of routers that use a limit of L requests a second: 2 L - 1, at least one. In 4 s they
// send at most 4 L requests and one that each had saved up. The platform tolerates 6 L + 5; the
// other 6 are for routers that have not yet heard of the limit, or know different routers. With
// fewer users, most of an endpoint's own prompts would arrive at routers that may not send them
// there.
constexpr double kUsersPerRequestRate = 2.0;
constexpr double kUnusedUsers = 1.0;

/// Returns the number of requests that may be saved up for an endpoint at all routers.
double SavedRequests(double limit) noexcept {
  return std::max(std::floor(kUsersPerRequestRate * limit - kUnusedUsers), 1.0);
}

// Saved requests that let a router use its share although its requests come at irregular times.
constexpr double kMaxBurst = 2.0;

// Time that a token stays reserved for a costly request, in times between two tokens.
constexpr double kIdlePeriod = 1.0;

// Time of a router's turn to check. The routers that use a limit notice its end at once, and tell
// the others; checks are for the case that none of them is left.
constexpr std::chrono::seconds kCheckTurn{20};

constexpr std::chrono::hours kLongestWait{1};

}  // namespace

std::optional<double> ParseRequestLimit(std::string_view text) noexcept {
  double limit = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, limit);
  if (result.ec != std::errc() || result.ptr != end || !std::isfinite(limit) || limit < 0) {
    return std::nullopt;
  }
  return limit;
}

std::size_t RoutersAhead(std::string_view endpoint, const AvailabilityZoneName& zone,
                         const RouterInfo& self, std::span<const RouterInfo> routers) {
  const std::uint64_t key = StableHash(endpoint);
  const auto rank = [&zone, key](const RouterInfo& router) {
    return std::pair(router.zone == zone, RendezvousScore(key, router.name.value()));
  };
  const auto own_rank = rank(self);
  return static_cast<std::size_t>(std::count_if(
      routers.begin(), routers.end(), [&rank, &own_rank, &self](const RouterInfo& router) {
        return router.name != self.name && rank(router) > own_rank;
      }));
}

LimitShare DivideLimit(const LimitedEndpoint& endpoint, const RouterInfo& self,
                       std::span<const RouterInfo> routers) {
  const auto count = static_cast<double>(std::max<std::size_t>(routers.size(), 1));
  const double saved = SavedRequests(endpoint.limit);
  const double users = std::min(saved, count);
  const std::size_t ahead = RoutersAhead(endpoint.name, endpoint.zone, self, routers);
  if (static_cast<double>(ahead) >= users) {
    return {};
  }
  return {.rate = endpoint.limit / users, .burst = std::clamp(saved / users, 1.0, kMaxBurst)};
}

std::uint64_t CheckTurn(WallTime now) noexcept {
  return static_cast<std::uint64_t>(now.time_since_epoch() / kCheckTurn);
}

bool MayCheck(std::string_view endpoint, const RouterInfo& self,
              std::span<const RouterInfo> routers, std::uint64_t turn) {
  const std::uint64_t key = StableHash(endpoint, turn);
  const double own_score = RendezvousScore(key, self.name.value());
  return std::none_of(routers.begin(), routers.end(), [&](const RouterInfo& router) {
    return router.name != self.name && RendezvousScore(key, router.name.value()) > own_score;
  });
}

void RequestQuota::SetLimit(double limit, LimitShare share, SteadyTime now) noexcept {
  m_tokens = m_limit ? Tokens(now) : 0;
  m_updated_at = now;
  m_limit = limit;
  m_share = share;
}

void RequestQuota::SetCheckPermit(bool is_permitted) noexcept {
  if (m_limit && m_share.rate <= 0) {
    m_tokens = is_permitted ? 1 : 0;
  }
}

double RequestQuota::UnboundedTokens(SteadyTime now) const noexcept {
  const std::chrono::duration<double> elapsed = now - m_updated_at;
  return m_tokens + elapsed.count() * m_share.rate;
}

double RequestQuota::Tokens(SteadyTime now) const noexcept {
  return std::min(m_share.burst, UnboundedTokens(now));
}

bool RequestQuota::IsAvailable(SteadyTime now) const noexcept {
  return !m_limit || Tokens(now) >= 1 || IsMutantEnabled("forwarder_ignores_limits");
}

bool RequestQuota::IsIdle(SteadyTime now) const noexcept {
  return !m_limit || m_share.rate <= 0 ? IsAvailable(now)
                                       : UnboundedTokens(now) >= m_share.burst + kIdlePeriod;
}

bool RequestQuota::TryTake(SteadyTime now) noexcept {
  if (!IsAvailable(now)) {
    return false;
  }
  if (m_limit) {
    m_tokens = Tokens(now) - 1;
    m_updated_at = now;
  }
  return true;
}

std::chrono::nanoseconds RequestQuota::WaitTime(SteadyTime now) const noexcept {
  if (IsAvailable(now)) {
    return 0ns;
  }
  if (m_share.rate <= 0) {
    return kLongestWait;
  }
  const std::chrono::duration<double> wait((1 - Tokens(now)) / m_share.rate);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::min<std::chrono::duration<double>>(wait, kLongestWait));
}

}  // namespace wagtailwind::balancing
