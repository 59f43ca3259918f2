#ifndef WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_
#define WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>

#include "core/clock.h"
#include "core/ids.h"
#include "records/configuration_view.h"

namespace wagtailwind::placement {

/// \brief Weighted shares of the organisations that used an agent recently. Uses a bounded amount
/// of memory. Not thread-safe.
class OrganisationShares {
 public:
  /// \brief Records a request of an organisation.
  void Observe(const OrganisationName& organisation, SteadyTime now);

  /// \brief Share of an organisation in the agent's work, in (0, 1]: its configured weight relative
  /// to the weights of all organisations with requests in the last minute.
  [[nodiscard]] double ShareOf(const OrganisationName& organisation,
                               const records::Configuration& configuration, SteadyTime now);

  /// \brief Number of recorded organisations.
  [[nodiscard]] std::size_t Size() const noexcept { return m_last_request.size(); }

 private:
  void EvictInactive(SteadyTime now);

  absl::flat_hash_map<OrganisationName, SteadyTime> m_last_request;
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_
