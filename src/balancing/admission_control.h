#ifndef WAGTAILWIND_BALANCING_ADMISSION_CONTROL_H_
#define WAGTAILWIND_BALANCING_ADMISSION_CONTROL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "balancing/load_estimate.h"
#include "balancing/organisation_demand.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/random_source.h"

namespace wagtailwind::balancing {

/// Callers wait for at most this part of the time that they have left.
inline constexpr int kRetryTimeDivisor = 3;

/// \brief Properties of a request on which its admission depends.
struct AdmissionRequest {
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  const OrganisationName& organisation;
  std::string_view route;
  /// Work that the request causes, in units of a prompt token.
  double work = 1;
  /// Target time to the first event.
  std::chrono::nanoseconds objective{0};
  /// Time until the request's deadline.
  std::chrono::nanoseconds time_left{0};
};

/// \brief Identifies an admitted request until it ends.
enum class AdmissionTicket : std::uint64_t {};

/// \brief What decided about a request.
enum class AdmissionReason : std::uint8_t {
  /// The service serves all requests in time, or has slots free.
  kNoShortage,
  /// Admitted, although others are refused.
  kWithinRate,
  /// Admitted, because too few requests of its priority or organisation were.
  kReserved,
  /// Refused, because more urgent requests need the capacity.
  kPriority,
  /// Refused, because its organisation has more than its share.
  kOrganisationShare,
};

/// \brief Stable snake-case name of a reason, for log lines and metrics.
[[nodiscard]] std::string_view ToText(AdmissionReason reason) noexcept;

/// \brief Decision about one request.
struct AdmissionDecision {
  AdmissionReason reason = AdmissionReason::kNoShortage;
  /// Set if the request is admitted.
  std::optional<AdmissionTicket> ticket{};
  /// For a refused request: time after which it can be served; empty if that is too late for it.
  std::optional<std::chrono::nanoseconds> retry_after{};
  /// Whether a request of this organisation and route was told to return at about this time.
  bool is_returning = false;

  [[nodiscard]] bool IsAdmitted() const noexcept { return ticket.has_value(); }
};

/// \brief Decides which requests of a service one router refuses while the service can't serve all
/// in time.
///
/// A shortage begins when requests of any priority wait too long for their first event, relative to
/// their objectives, while the endpoints are at least half full or report waiting requests. From
/// then on the admitted work per second is limited: to a part of the work that ends while requests
/// are late, and to more in steps while they are in time, until the limit exceeds the demand.
///
/// The limit is divided among the priorities, the most urgent one first, by the work that has
/// arrived for each. A priority of which a part is served admits that part of its requests,
/// whatever their sizes: those of organisations that have used less than others, and of callers
/// that return after a refusal, go first.
class AdmissionControl {
 public:
  /// \brief Decides about a request that has not been sent. `occupancy` is the estimated fraction
  /// of the slots of the service's endpoints that are taken.
  [[nodiscard]] AdmissionDecision Decide(const AdmissionRequest& request, double occupancy,
                                         SteadyTime now, RandomSource& random);

  /// \brief The first event of an admitted request, or its whole answer, has arrived.
  void OnFirstEvent(AdmissionTicket ticket, SteadyTime now);

  /// \brief An admitted request has ended; `is_served` tells whether an endpoint has run it.
  void OnEnded(AdmissionTicket ticket, bool is_served, SteadyTime now);

  /// \brief An endpoint has reported its load.
  void OnReport(const LoadReport& report, SteadyTime now);

  /// \brief An endpoint has refused a request because it was full.
  void OnEndpointFull(SteadyTime now) noexcept { m_full_at = now; }

  /// \brief Returns a time after which a refused caller can be served, by the rate at which
  /// requests end. Callers that are refused together get different times. Empty if the time exceeds
  /// a third of `time_left`, up to which callers wait, or if no request ends.
  [[nodiscard]] std::optional<std::chrono::nanoseconds> RetryAfter(
      std::chrono::nanoseconds time_left, SteadyTime now, RandomSource& random);

  /// \brief Whether the admitted work is limited.
  [[nodiscard]] bool IsLimiting() const noexcept { return m_is_limiting; }

  /// \brief Returns the limit of the admitted work per second, as a fraction of what arrives; 1
  /// while there is no limit.
  [[nodiscard]] double AdmittedFraction(SteadyTime now) const noexcept;

  /// \brief Returns how late requests are: the longest mean delay of a priority, as a fraction of
  /// its objective, or the delay that the reported queues cause, whichever is longer.
  [[nodiscard]] double Lateness(SteadyTime now) const;

 private:
  static constexpr std::size_t kPriorities = 10;
  /// Times over which delays, and demand and ends of work, are averaged. A router of the smallest
  /// share has about a request a second.
  static constexpr std::chrono::duration<double> kDelayTime{0.5};
  static constexpr std::chrono::duration<double> kRateTime{2.0};

  /// Delays to the first event of one priority.
  struct PriorityState {
    DecayingSum ratios{kDelayTime};
    DecayingSum samples{kDelayTime};
    /// Work of the requests that arrive.
    DecayingSum demand{kRateTime};
    /// Number of requests that may be admitted: grows by the admitted part with each request. It
    /// counts requests, so that all sizes are treated alike.
    double credit = 0;
    ServedFraction served;
    std::optional<SteadyTime> last_request;
  };

  /// An admitted request that has not ended.
  struct Running {
    std::size_t priority = 0;
    double work = 0;
    std::chrono::nanoseconds objective{0};
    SteadyTime admitted_at{};
    std::optional<SteadyTime> first_event_at{};
  };

  /// A caller that was told to return.
  struct Returning {
    OrganisationName organisation;
    std::string route;
    SteadyTime at{};
  };

  /// Adjusts the limit for the time since the last adjustment.
  void Update(double occupancy, SteadyTime now);
  /// Mean delay of a request in the endpoints' queues, as a fraction of the mean objective.
  [[nodiscard]] double QueueLateness(SteadyTime now) const;
  /// Whether half of the slots are taken, by the estimate and by the newest reports.
  [[nodiscard]] bool IsBusy(double occupancy, SteadyTime now) const;
  /// Whether requests may be refused: half of the slots are taken, or requests wait.
  [[nodiscard]] bool MayRefuse(double occupancy, SteadyTime now) const;
  /// Fraction of the requests of a priority for which the limit suffices.
  [[nodiscard]] double FractionOf(std::size_t priority, SteadyTime now) const;
  [[nodiscard]] bool IsUnderserved(const AdmissionRequest& request, std::size_t priority,
                                   SteadyTime now) const;
  /// Consumes the record of a caller that was told to return at about this time.
  [[nodiscard]] bool TakeReturning(const AdmissionRequest& request, SteadyTime now);
  [[nodiscard]] AdmissionTicket Admit(const AdmissionRequest& request, std::size_t priority,
                                      SteadyTime now);

  std::array<PriorityState, kPriorities> m_priorities;
  OrganisationDemand m_organisations;
  ServedFraction m_served;
  std::map<AdmissionTicket, Running> m_running;
  std::uint64_t m_last_ticket = 0;
  std::deque<Returning> m_returning;
  /// Work of the requests that arrive, and that end.
  DecayingSum m_demand{kRateTime};
  DecayingSum m_ended_work{kRateTime};
  DecayingSum m_ended{kRateTime};
  /// Seconds for which the ended requests took slots.
  DecayingSum m_slot_seconds{kRateTime};
  /// Moving average of the objectives in seconds.
  double m_mean_objective = 0;

  /// Sums over the newest load reports.
  DecayingSum m_reported_running{kDelayTime};
  DecayingSum m_reported_waiting{kDelayTime};
  DecayingSum m_reported_slots{kDelayTime};
  /// Number of reports, and of those with waiting requests.
  DecayingSum m_reports{kDelayTime};
  DecayingSum m_waiting_reports{kDelayTime};
  /// Newest report of an endpoint with waiting requests, and refusal of a full one.
  std::optional<SteadyTime> m_waiting_at;
  std::optional<SteadyTime> m_full_at;

  bool m_is_limiting = false;
  /// Admitted work per second while it is limited.
  double m_rate = 0;
  /// Work that ends per second while requests wait at most endpoints.
  double m_capacity = 0;
  SteadyTime m_adjusted_at{};
  /// Time up to which refused callers were told to return.
  SteadyTime m_last_return{};
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ADMISSION_CONTROL_H_
