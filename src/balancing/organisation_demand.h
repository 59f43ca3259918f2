#ifndef WAGTAILWIND_BALANCING_ORGANISATION_DEMAND_H_
#define WAGTAILWIND_BALANCING_ORGANISATION_DEMAND_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief A sum whose parts lose their weight exponentially with their age.
class DecayingSum {
 public:
  explicit DecayingSum(std::chrono::duration<double> time) noexcept : m_time(time) {}

  void Add(double amount, SteadyTime now) noexcept;
  [[nodiscard]] double Value(SteadyTime now) const noexcept;

  /// \brief Returns the mean rate per second over about the time constant.
  [[nodiscard]] double Rate(SteadyTime now) const noexcept { return Value(now) / m_time.count(); }

 private:
  std::chrono::duration<double> m_time;
  double m_value = 0;
  SteadyTime m_at{};
};

/// \brief Number of requests that arrived and that were admitted, of which the old ones count less.
class ServedFraction {
 public:
  void OnArrived(SteadyTime now) noexcept { m_arrived.Add(1, now); }
  void OnAdmitted(SteadyTime now) noexcept { m_admitted.Add(1, now); }

  [[nodiscard]] double Arrived(SteadyTime now) const noexcept { return m_arrived.Value(now); }

  /// \brief Returns the fraction that was admitted; 1 before the first request.
  [[nodiscard]] double Value(SteadyTime now) const noexcept;

 private:
  /// A priority that is not served during a short shortage does not starve.
  static constexpr std::chrono::duration<double> kTime{60.0};

  DecayingSum m_arrived{kTime};
  DecayingSum m_admitted{kTime};
};

/// \brief Records how much work of each organisation one router has admitted for a service, and
/// which organisations have more than an equal share.
class OrganisationDemand {
 public:
  void OnArrived(const OrganisationName& organisation, SteadyTime now);

  /// \brief Counts an admitted request. `work` is in units of a prompt token.
  void OnAdmitted(const OrganisationName& organisation, double work, SteadyTime now);

  /// \brief Returns by how much the organisation's admitted work exceeds an equal share: 0 up to
  /// the share, 1 from twice the share.
  [[nodiscard]] double Excess(const OrganisationName& organisation, SteadyTime now) const;

  /// \brief Returns the requests of the organisation; null if there are none.
  [[nodiscard]] const ServedFraction* Served(const OrganisationName& organisation) const;

 private:
  /// Covers some requests of each of two dozen organisations at a router with eight requests a
  /// second.
  static constexpr std::chrono::duration<double> kUsageTime{10.0};

  struct Usage {
    DecayingSum work{kUsageTime};
    ServedFraction served{};
    SteadyTime last_request{};
  };

  void EvictInactive(SteadyTime now);

  std::map<std::string, Usage, std::less<>> m_usage;
  DecayingSum m_total_work{kUsageTime};
  /// Number of admitted requests.
  DecayingSum m_requests{kUsageTime};
  SteadyTime m_evicted_at{};
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ORGANISATION_DEMAND_H_
