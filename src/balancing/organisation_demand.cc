#include "balancing/organisation_demand.h"

#include <algorithm>
#include <cmath>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

// An organisation counts towards the shares for this long after its last request.
constexpr std::chrono::seconds kActiveTime{30};

constexpr std::chrono::seconds kEvictionInterval{5};

// More than three times the number of organisations that the design allows for.
constexpr std::size_t kMaxOrganisations = 1024;

// Requests of mean size that an organisation may have above an equal share. At a router with few
// requests, single ones say nothing about the share of their organisation.
constexpr double kAllowedRequests = 2.0;

}  // namespace

void DecayingSum::Add(double amount, SteadyTime now) noexcept {
  m_value = Value(now) + amount;
  m_at = now;
}

double DecayingSum::Value(SteadyTime now) const noexcept {
  if (m_value == 0) {
    return 0;
  }
  return m_value * std::exp(-(std::chrono::duration<double>(now - m_at) / m_time));
}

double ServedFraction::Value(SteadyTime now) const noexcept {
  const double arrived = m_arrived.Value(now);
  return arrived > 0 ? std::min(1.0, m_admitted.Value(now) / arrived) : 1.0;
}

void OrganisationDemand::OnArrived(const OrganisationName& organisation, SteadyTime now) {
  EvictInactive(now);
  auto found = m_usage.find(organisation.value());
  if (found == m_usage.end()) {
    if (m_usage.size() >= kMaxOrganisations) {
      return;
    }
    found = m_usage.emplace(organisation.value(), Usage{}).first;
  }
  found->second.last_request = now;
  found->second.served.OnArrived(now);
}

void OrganisationDemand::OnAdmitted(const OrganisationName& organisation, double work,
                                    SteadyTime now) {
  const double counted = IsMutantEnabled("admission_shares_by_requests") ? 1.0 : work;
  const auto found = m_usage.find(organisation.value());
  if (found != m_usage.end()) {
    found->second.work.Add(counted, now);
    found->second.served.OnAdmitted(now);
    m_total_work.Add(counted, now);
    m_requests.Add(1, now);
  }
}

double OrganisationDemand::Excess(const OrganisationName& organisation, SteadyTime now) const {
  const auto found = m_usage.find(organisation.value());
  if (found == m_usage.end()) {
    return 0;
  }
  const double used = found->second.work.Value(now);
  const double share = m_total_work.Value(now) / static_cast<double>(m_usage.size()) +
                       kAllowedRequests * m_total_work.Value(now) / m_requests.Value(now);
  return share > 0 ? std::clamp(used / share - 1, 0.0, 1.0) : 0;
}

const ServedFraction* OrganisationDemand::Served(const OrganisationName& organisation) const {
  const auto found = m_usage.find(organisation.value());
  return found == m_usage.end() ? nullptr : &found->second.served;
}

void OrganisationDemand::EvictInactive(SteadyTime now) {
  if (now - m_evicted_at < kEvictionInterval) {
    return;
  }
  m_evicted_at = now;
  std::erase_if(m_usage,
                [now](const auto& entry) { return now - entry.second.last_request > kActiveTime; });
}

}  // namespace wagtailwind::balancing
