#include "placement/organisation_shares.h"

#include <chrono>

namespace wagtailwind::placement {

namespace {

// An organisation is active for this long after its last request. If only current requests counted,
// one organisation with a burst of requests could fill the whole bound in a moment without other
// requests, and the next request of another organisation would be refused.
constexpr std::chrono::seconds kActiveTime{60};

// More than three times the number of organisations that the design allows for.
constexpr std::size_t kMaxOrganisations = 1024;

double WeightOf(const OrganisationName& name, const records::Configuration& configuration) {
  const records::Organisation* organisation = configuration.FindOrganisation(name.value());
  return organisation == nullptr ? 1.0 : organisation->weight;
}

}  // namespace

void OrganisationShares::Observe(const OrganisationName& organisation, SteadyTime now) {
  if (m_last_request.size() >= kMaxOrganisations && !m_last_request.contains(organisation)) {
    EvictInactive(now);
    if (m_last_request.size() >= kMaxOrganisations) {
      return;
    }
  }
  m_last_request[organisation] = now;
}

double OrganisationShares::ShareOf(const OrganisationName& organisation,
                                   const records::Configuration& configuration, SteadyTime now) {
  EvictInactive(now);
  const double own = WeightOf(organisation, configuration);
  double sum = own;
  for (const auto& [name, last_request] : m_last_request) {
    if (name != organisation) {
      sum += WeightOf(name, configuration);
    }
  }
  return sum > 0 ? own / sum : 1.0;
}

void OrganisationShares::EvictInactive(SteadyTime now) {
  absl::erase_if(m_last_request,
                 [now](const auto& entry) { return now - entry.second > kActiveTime; });
}

}  // namespace wagtailwind::placement
