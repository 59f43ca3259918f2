#ifndef WAGTAILWIND_BALANCING_REQUEST_LIMIT_H_
#define WAGTAILWIND_BALANCING_REQUEST_LIMIT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief Parses the number of requests a second that an endpoint takes from all routers together.
/// Returns empty if the text is not a number of at least 0.
[[nodiscard]] std::optional<double> ParseRequestLimit(std::string_view text) noexcept;

/// \brief A router that shares request limits with others.
struct RouterInfo {
  InstanceName name;
  AvailabilityZoneName zone;

  friend bool operator==(const RouterInfo&, const RouterInfo&) = default;
};

/// \brief The part of an endpoint's request limit that one router may use.
struct LimitShare {
  /// Requests a second; 0 if the router has no share.
  double rate = 0;
  /// Number of requests that may be sent at once after a pause.
  double burst = 1;

  friend bool operator==(const LimitShare&, const LimitShare&) = default;
};

/// \brief An endpoint that has named a request limit.
struct LimitedEndpoint {
  std::string_view name;
  const AvailabilityZoneName& zone;
  double limit = 0;
};

/// \brief Returns how many other routers come before this one where only some use an endpoint:
/// those of its availability zone first, then by a hash that all routers compute alike.
[[nodiscard]] std::size_t RoutersAhead(std::string_view endpoint, const AvailabilityZoneName& zone,
                                       const RouterInfo& self, std::span<const RouterInfo> routers);

/// \brief Divides the limit of an endpoint among the routers, without communication: all routers
/// that know the same routers come to the same result.
///
/// In a large fleet, only some routers use the limit. If all had a share, each could send one
/// request in a long time, and all could do so at the same moment. Routers of the endpoint's
/// availability zone come first, so that all routers of a zone use the same endpoints, and a prompt
/// gets few cached copies. `routers` includes `self`.
[[nodiscard]] LimitShare DivideLimit(const LimitedEndpoint& endpoint, const RouterInfo& self,
                                     std::span<const RouterInfo> routers);

/// \brief Returns the number of the current turn to check limits, the same at all routers whose
/// wall clocks agree.
[[nodiscard]] std::uint64_t CheckTurn(WallTime now) noexcept;

/// \brief Returns whether this router may check in this turn whether the endpoint still has a
/// limit. One router of all may.
[[nodiscard]] bool MayCheck(std::string_view endpoint, const RouterInfo& self,
                            std::span<const RouterInfo> routers, std::uint64_t turn);

/// \brief Token bucket that keeps the requests of this router to one endpoint within its share of
/// the endpoint's limit. Without a limit, it permits every request.
class RequestQuota {
 public:
  /// \brief Sets the limit that the endpoint has named, and this router's share of it.
  void SetLimit(double limit, LimitShare share, SteadyTime now) noexcept;

  void RemoveLimit() noexcept { m_limit.reset(); }

  [[nodiscard]] std::optional<double> limit() const noexcept { return m_limit; }
  [[nodiscard]] const LimitShare& share() const noexcept { return m_share; }

  /// \brief Permits one request to a router without a share, or withdraws the permit.
  void SetCheckPermit(bool is_permitted) noexcept;

  /// \brief Returns whether a request may be sent.
  [[nodiscard]] bool IsAvailable(SteadyTime now) const noexcept;

  /// \brief Returns whether a request may be sent that is not worth a token if a more costly one
  /// may follow: the bucket has been full for a while.
  [[nodiscard]] bool IsIdle(SteadyTime now) const noexcept;

  /// \brief Consumes a token for a request; false if there is none.
  [[nodiscard]] bool TryTake(SteadyTime now) noexcept;

  /// \brief Returns the time until a request may be sent.
  [[nodiscard]] std::chrono::nanoseconds WaitTime(SteadyTime now) const noexcept;

 private:
  /// Number of tokens without an upper limit.
  [[nodiscard]] double UnboundedTokens(SteadyTime now) const noexcept;
  [[nodiscard]] double Tokens(SteadyTime now) const noexcept;

  std::optional<double> m_limit;
  LimitShare m_share;
  /// Number of tokens at m_updated_at.
  double m_tokens = 0;
  SteadyTime m_updated_at{};
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_REQUEST_LIMIT_H_
