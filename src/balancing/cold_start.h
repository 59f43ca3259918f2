#ifndef WAGTAILWIND_BALANCING_COLD_START_H_
#define WAGTAILWIND_BALANCING_COLD_START_H_

#include <chrono>
#include <optional>
#include <span>
#include <string_view>

#include "balancing/request_limit.h"
#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief What the endpoints of a service take from all routers together while they are cold.
struct ColdLimit {
  /// Requests a second that a cold endpoint takes.
  double rate = 0;
  /// Largest number of requests that may arrive in any second.
  double most_in_a_second = 0;
};

/// \brief A cold endpoint, as far as the division of its limit depends on it.
struct ColdEndpoint {
  std::string_view name;
  const AvailabilityZoneName& zone;
  ColdLimit limit;
};

/// \brief Divides what a cold endpoint takes among the routers, without communication: all routers
/// that know the same routers come to the same result.
///
/// Only some routers of a large fleet use a cold endpoint. The shares leave room for routers that
/// know other routers, or don't know yet that the endpoint is cold.
[[nodiscard]] LimitShare DivideColdLimit(const ColdEndpoint& endpoint, const RouterInfo& self,
                                         std::span<const RouterInfo> routers);

/// \brief Keeps the requests of this router to a cold endpoint within its share.
class ColdStart {
 public:
  /// \brief The endpoint is cold at least until `until`. An earlier time than the one known changes
  /// nothing.
  void ExtendUntil(SteadyTime until) noexcept;

  /// \brief Returns whether the endpoint is cold.
  [[nodiscard]] bool IsCold(SteadyTime now) const noexcept { return now < m_until; }

  /// \brief Sets this router's share; empty if endpoints of the service have no limit while they
  /// are cold.
  void SetShare(std::optional<LimitShare> share, SteadyTime now) noexcept;

  /// \brief Returns whether a request may be sent.
  [[nodiscard]] bool IsAvailable(SteadyTime now) const noexcept;

  /// \brief Counts a request that is sent.
  void OnSent(SteadyTime now) noexcept;

  /// \brief Returns the time until a request may be sent.
  [[nodiscard]] std::chrono::nanoseconds WaitTime(SteadyTime now) const noexcept;

 private:
  SteadyTime m_until{};
  /// Without a limit while the endpoint is not cold, or its service has no limit.
  RequestQuota m_quota;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_COLD_START_H_
