#include "balancing/endpoint_registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// The platform guarantees that live endpoints write their entries again about two seconds after an
// outage, and requires that an endpoint that has left gets no more requests after three seconds.
// The time counts from when the service was last known to be down, so that it also ends in time if
// this router noticed the recovery late.
constexpr std::chrono::milliseconds kRewriteGraceTime = 2'500ms;

// Number of processes that are remembered as leaving or gone: more than endpoints leave within the
// time in which a deleted entry of the same process may be written again.
constexpr std::size_t kMaxRemembered = 256;

// Entries are removed after three heartbeats of silence, of little more than a second each. One
// that a restored service still lists after this time belongs to a live process.
constexpr std::chrono::milliseconds kOutdatedEntryTime = 5'000ms;

// Initial value: the service has not been seen to recover. A process that starts during an outage
// has no recovery to count the grace time from.
constexpr SteadyTime kNever{};

using EndpointsByService = std::map<std::string, std::vector<EndpointPtr>, std::less<>>;

const std::vector<EndpointPtr>& EndpointsOf(const EndpointsByService& endpoints,
                                            std::string_view service) {
  static const std::vector<EndpointPtr> none;
  const auto found = endpoints.find(service);
  return found == endpoints.end() ? none : found->second;
}

}  // namespace

EndpointRegistry::EndpointRegistry(std::function<void(const EndpointPtr&)> on_removed)
    : m_on_removed(std::move(on_removed)) {}

EndpointRegistry::Process EndpointRegistry::ProcessOf(const EndpointRecord& record) {
  return {.name = record.name, .incarnation = record.incarnation, .address = record.address};
}

void EndpointRegistry::Remember(std::deque<Process>& processes, const EndpointRecord& record) {
  processes.push_back(ProcessOf(record));
  if (processes.size() > kMaxRemembered) {
    processes.pop_front();
  }
}

void EndpointRegistry::Put(const EndpointRecord& record) {
  std::erase_if(m_outdated,
                [&record](const EndpointRecord& other) { return other.name == record.name; });
  const auto found = m_entries.find(record.name.value());
  const bool same_process = found != m_entries.end() &&
                            found->second.endpoint->record.incarnation == record.incarnation &&
                            found->second.endpoint->record.address == record.address;
  if (!same_process) {
    if (found != m_entries.end()) {
      Remove(found);
    }
    std::shared_ptr<LoadReportAverage>& average = m_load_averages[record.service.value()];
    if (!average) {
      average = std::make_shared<LoadReportAverage>();
    }
    std::erase(m_gone, ProcessOf(record));
    auto endpoint = std::make_shared<Endpoint>();
    endpoint->record = record;
    endpoint->record.draining = record.draining || HasAnnouncedLeaving(record);
    endpoint->load = LoadEstimate(average);
    endpoint->usable = !endpoint->record.draining;
    endpoint->evacuated = Contains(m_evacuated_zones, record.zone);
    m_entries.emplace(record.name.value(), Entry{.endpoint = std::move(endpoint)});
    m_lists_outdated = true;
    return;
  }
  Endpoint& endpoint = *found->second.endpoint;
  found->second.grace_until.reset();
  if (IsMutantEnabled("forwarder_forgets_leaving_with_the_entry") && !record.draining) {
    endpoint.record.draining = false;
    endpoint.usable = true;
    m_lists_outdated = true;
  }
  // A draining process never accepts new work again, so an older entry must not make it usable.
  const bool draining = (endpoint.record.draining || record.draining) &&
                        !IsMutantEnabled("forwarder_ignores_draining");
  const bool changed =
      draining != endpoint.record.draining || record.service != endpoint.record.service ||
      record.zone != endpoint.record.zone || record.models != endpoint.record.models;
  endpoint.record = record;
  endpoint.record.draining = draining;
  if (changed) {
    endpoint.usable = endpoint.usable && !draining;
    endpoint.evacuated = Contains(m_evacuated_zones, record.zone);
    m_lists_outdated = true;
  }
}

void EndpointRegistry::Delete(std::string_view name, SteadyTime now) {
  std::erase_if(m_outdated,
                [name](const EndpointRecord& other) { return other.name.value() == name; });
  const auto found = m_entries.find(name);
  if (found == m_entries.end()) {
    return;
  }
  const bool near_outage =
      m_service_lost || (m_last_lost != kNever && now - m_last_lost < kRewriteGraceTime);
  if (near_outage && found->second.endpoint->usable) {
    if (!found->second.grace_until) {
      found->second.grace_until = (m_service_lost ? now : m_last_lost) + kRewriteGraceTime;
      m_has_missing = true;
    }
    return;
  }
  Remove(found);
  m_lists_outdated = true;
}

void EndpointRegistry::Replace(const std::vector<EndpointRecord>& records, SteadyTime now) {
  std::set<std::string_view> present;
  m_outdated.clear();
  for (const EndpointRecord& record : records) {
    if (IsOutdated(record, now)) {
      m_outdated.push_back(record);
    } else {
      present.insert(record.name.value());
      Put(record);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : m_entries) {
    if (!present.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    Delete(name, now);
  }
}

void EndpointRegistry::OnServiceLost() noexcept { m_service_lost = true; }

void EndpointRegistry::OnServiceRegained(SteadyTime last_lost) noexcept {
  if (m_service_lost) {
    m_service_lost = false;
    m_last_lost = last_lost;
  }
}

void EndpointRegistry::OnServiceRestored(SteadyTime now) noexcept {
  if (IsMutantEnabled("forwarder_trusts_restored_entries")) {
    return;
  }
  m_last_lost = now;
  m_outdated_until = now + kOutdatedEntryTime;
}

bool EndpointRegistry::IsOutdated(const EndpointRecord& record, SteadyTime now) const {
  return now < m_outdated_until &&
         std::find(m_gone.begin(), m_gone.end(), ProcessOf(record)) != m_gone.end();
}

void EndpointRegistry::RemoveExpired(SteadyTime now) {
  if (now >= m_outdated_until) {
    for (const EndpointRecord& record : std::exchange(m_outdated, {})) {
      Put(record);
    }
  }
  if (m_service_lost || !m_has_missing) {
    return;
  }
  m_has_missing = false;
  bool changed = false;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const auto current = entry++;
    if (current->second.grace_until && now >= *current->second.grace_until) {
      Remove(current);
      changed = true;
    } else if (current->second.grace_until) {
      m_has_missing = true;
    }
  }
  if (changed) {
    m_lists_outdated = true;
  }
}

void EndpointRegistry::OnAddressReused(Endpoint& endpoint) {
  endpoint.usable = false;
  m_lists_outdated = true;
}

bool EndpointRegistry::OnLeaving(Endpoint& endpoint) {
  if (HasAnnouncedLeaving(endpoint.record)) {
    return false;
  }
  Remember(m_leaving, endpoint.record);
  endpoint.record.draining = true;
  endpoint.usable = false;
  m_lists_outdated = true;
  return true;
}

bool EndpointRegistry::HasAnnouncedLeaving(const EndpointRecord& record) const {
  const Process process = ProcessOf(record);
  return std::any_of(m_leaving.begin(), m_leaving.end(), [&process](const Process& leaving) {
    return leaving == process || (leaving.name.value() == process.name.value() &&
                                  IsMutantEnabled("forwarder_keeps_leaving_for_the_next_process"));
  });
}

void EndpointRegistry::SetEvacuatedZones(std::vector<AvailabilityZoneName> zones) {
  m_evacuated_zones = std::move(zones);
  for (auto& [name, entry] : m_entries) {
    entry.endpoint->evacuated = Contains(m_evacuated_zones, entry.endpoint->record.zone);
  }
  m_lists_outdated = true;
}

const std::vector<EndpointPtr>& EndpointRegistry::Usable(std::string_view service) const {
  RefreshLists();
  return EndpointsOf(m_usable, service);
}

const std::vector<EndpointPtr>& EndpointRegistry::Draining(std::string_view service) const {
  RefreshLists();
  return EndpointsOf(m_draining, service);
}

EndpointPtr EndpointRegistry::Find(std::string_view name) const {
  const auto found = m_entries.find(name);
  return found == m_entries.end() ? nullptr : found->second.endpoint;
}

void EndpointRegistry::ForEach(const std::function<void(Endpoint&)>& function) const {
  for (const auto& [name, entry] : m_entries) {
    function(*entry.endpoint);
  }
}

void EndpointRegistry::Remove(std::map<std::string, Entry, std::less<>>::iterator entry) {
  const EndpointPtr endpoint = std::move(entry->second.endpoint);
  m_entries.erase(entry);
  Remember(m_gone, endpoint->record);
  endpoint->usable = false;
  if (m_on_removed) {
    m_on_removed(endpoint);
  }
}

// The lists are rebuilt when they are next read. A starting router receives thousands of entries at
// once, and one rebuild for each of them would delay its first requests by seconds.
void EndpointRegistry::RefreshLists() const {
  if (!std::exchange(m_lists_outdated, false)) {
    return;
  }
  m_usable.clear();
  m_draining.clear();
  for (const auto& [name, entry] : m_entries) {
    if (entry.endpoint->usable && !entry.endpoint->evacuated) {
      m_usable[entry.endpoint->record.service.value()].push_back(entry.endpoint);
    } else if (entry.endpoint->usable || entry.endpoint->record.draining) {
      m_draining[entry.endpoint->record.service.value()].push_back(entry.endpoint);
    }
  }
}

}  // namespace wagtailwind::balancing
