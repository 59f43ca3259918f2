#ifndef WAGTAILWIND_BALANCING_ENDPOINT_REGISTRY_H_
#define WAGTAILWIND_BALANCING_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancing/endpoint.h"
#include "core/clock.h"

namespace wagtailwind::balancing {

/// \brief The endpoints that are listed in the key-value service. An endpoint whose entry is
/// deleted is no longer used, except around an outage of the service: live endpoints write entries
/// that expired during the outage again soon after it, so such endpoints stay usable for a grace
/// time.
class EndpointRegistry {
 public:
  /// \brief Calls `on_removed` for each endpoint that is removed permanently.
  explicit EndpointRegistry(std::function<void(const EndpointPtr&)> on_removed = {});

  /// \brief Adds or updates the endpoint of an entry that was written.
  void Put(const EndpointRecord& record);

  /// \brief Handles an entry that was deleted or can no longer be decoded.
  void Delete(std::string_view name, SteadyTime now);

  /// \brief Replaces the whole list: endpoints that are missing in `records` are deleted.
  void Replace(const std::vector<EndpointRecord>& records, SteadyTime now);

  /// \brief Called when the key-value service does not answer this router.
  void OnServiceLost() noexcept;

  /// \brief Called when the key-value service answers again; it was last known to be down at
  /// `last_lost`.
  void OnServiceRegained(SteadyTime last_lost) noexcept;

  /// \brief Called when the key-value service has come back from an older copy. Until the endpoints
  /// have written their entries again, missing ones stay in use, and entries of processes that are
  /// known to be gone are left out.
  void OnServiceRestored(SteadyTime now) noexcept;

  /// \brief Removes endpoints whose entries were not written again within the grace time after an
  /// outage, and adds those whose entries have outlasted the time of an outdated one.
  void RemoveExpired(SteadyTime now);

  /// \brief Stops using an endpoint because another process answers at its address. A process that
  /// has since replaced it under its name stays in use.
  void OnAddressReused(Endpoint& endpoint);

  /// \brief Stops using an endpoint because it has announced that it leaves. This holds for the
  /// process that announced it, whatever its entry says, also if the entry is deleted and written
  /// again. Returns false if the announcement is known.
  bool OnLeaving(Endpoint& endpoint);

  /// \brief Sets the availability zones whose endpoints get no requests.
  void SetEvacuatedZones(std::vector<AvailabilityZoneName> zones);

  [[nodiscard]] const std::vector<AvailabilityZoneName>& EvacuatedZones() const noexcept {
    return m_evacuated_zones;
  }

  /// \brief Returns the usable endpoints of a service that are not evacuated.
  [[nodiscard]] const std::vector<EndpointPtr>& Usable(std::string_view service) const;

  /// \brief Returns the draining and the evacuated endpoints of a service: they get no requests,
  /// but still answer.
  [[nodiscard]] const std::vector<EndpointPtr>& Draining(std::string_view service) const;

  /// \brief Returns the endpoint of this name; null if there is none.
  [[nodiscard]] EndpointPtr Find(std::string_view name) const;

  /// \brief Calls a function with each endpoint.
  void ForEach(const std::function<void(Endpoint&)>& function) const;

  [[nodiscard]] std::size_t Size() const noexcept { return m_entries.size(); }

 private:
  struct Entry {
    EndpointPtr endpoint;
    /// Set if the entry has been missing since an outage; the endpoint stays usable until this
    /// time.
    std::optional<SteadyTime> grace_until{};
  };

  /// A process of an endpoint.
  struct Process {
    EndpointName name;
    Incarnation incarnation = 0;
    std::string address;

    friend bool operator==(const Process&, const Process&) = default;
  };

  [[nodiscard]] static Process ProcessOf(const EndpointRecord& record);
  /// Adds a process to a list of the newest ones.
  static void Remember(std::deque<Process>& processes, const EndpointRecord& record);
  /// Whether an entry of a restored service is outdated: its process was seen to be gone.
  [[nodiscard]] bool IsOutdated(const EndpointRecord& record, SteadyTime now) const;
  [[nodiscard]] bool HasAnnouncedLeaving(const EndpointRecord& record) const;
  void Remove(std::map<std::string, Entry, std::less<>>::iterator entry);
  void RefreshLists() const;

  std::function<void(const EndpointPtr&)> m_on_removed;
  std::map<std::string, Entry, std::less<>> m_entries;
  std::vector<AvailabilityZoneName> m_evacuated_zones;
  /// The newest announcements, the oldest first.
  std::deque<Process> m_leaving;
  /// The processes that were removed last, the oldest first.
  std::deque<Process> m_gone;
  /// Entries that are left out as outdated until m_outdated_until.
  std::vector<EndpointRecord> m_outdated;
  SteadyTime m_outdated_until{};
  /// By service.
  std::map<std::string, std::shared_ptr<LoadReportAverage>, std::less<>> m_load_averages;
  /// Derived from the entries; m_lists_outdated tells whether they must be rebuilt.
  mutable std::map<std::string, std::vector<EndpointPtr>, std::less<>> m_usable;
  mutable std::map<std::string, std::vector<EndpointPtr>, std::less<>> m_draining;
  mutable bool m_lists_outdated = false;
  bool m_service_lost = false;
  /// Time at which the service was last known to be down.
  SteadyTime m_last_lost{};
  /// Whether some entries have a grace time that RemoveExpired() has to check.
  bool m_has_missing = false;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_ENDPOINT_REGISTRY_H_
