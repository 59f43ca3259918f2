#ifndef WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_
#define WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>

#include "core/clock.h"
#include "core/ids.h"
#include "records/configuration_view.h"

namespace wagtailwind::placement {

/// \brief Weighted shares of the organisations that used an agent recently. Bounded in memory.
/// Not safe to use from several threads.
class OrganisationShares {
 public:
  /// \brief Takes note of a request of an organisation.
  void Observe(const OrganisationName& organisation, SteadyTime now);

  /// \brief Part in (0, 1] of the agent's work that is due to an organisation, by the weights of
  /// the records among the organisations of the last minute.
  [[nodiscard]] double ShareOf(const OrganisationName& organisation,
                               const records::Configuration& configuration, SteadyTime now);

  [[nodiscard]] std::size_t Size() const noexcept { return m_last_request.size(); }

 private:
  void EvictOld(SteadyTime now);

  absl::flat_hash_map<OrganisationName, SteadyTime> m_last_request;
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ORGANISATION_SHARES_H_
