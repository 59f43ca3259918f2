#ifndef WAGTAILWIND_FORWARD_ENDPOINT_REGISTRY_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "forward/endpoint.h"

namespace wagtailwind::forward {

/// \brief The endpoints that the key-value service lists. An entry that vanishes takes its endpoint
/// out of use at once, except around an outage of the service: entries that lapsed meanwhile are
/// written again soon after its return, so their endpoints stay in use until then.
class EndpointRegistry {
 public:
  /// \brief Calls `on_removed` for each endpoint that goes out of use for good.
  explicit EndpointRegistry(std::function<void(const EndpointPtr&)> on_removed = {});

  /// \brief An entry was written.
  void Put(const EndpointRecord& record);

  /// \brief An entry was deleted, or can't be read as an endpoint any more.
  void Delete(std::string_view name, SteadyTime now);

  /// \brief The whole list was read: entries that it lacks are deleted.
  void Replace(const std::vector<EndpointRecord>& records, SteadyTime now);

  /// \brief The key-value service does not answer this router.
  void OnServiceLost() noexcept;

  /// \brief It answers again; it was still away at `last_lost`.
  void OnServiceRegained(SteadyTime last_lost) noexcept;

  /// \brief Removes endpoints whose entries were not written again in time after an outage.
  void Sweep(SteadyTime now);

  /// \brief Another process answers at the endpoint's address.
  void OnOtherProcess(const EndpointName& name);

  /// \brief Usable endpoints of a service.
  [[nodiscard]] const std::vector<EndpointPtr>& Usable(std::string_view service) const;

  /// \brief Endpoints of a service that drain: no requests go there, but they still answer.
  [[nodiscard]] const std::vector<EndpointPtr>& Draining(std::string_view service) const;

  [[nodiscard]] std::size_t Size() const noexcept { return m_entries.size(); }

 private:
  struct Entry {
    EndpointPtr endpoint;
    /// The entry is missing since an outage; the endpoint is in use until this time.
    std::optional<SteadyTime> lapsed_until{};
  };

  void Remove(std::map<std::string, Entry, std::less<>>::iterator entry);
  void RefreshLists() const;

  std::function<void(const EndpointPtr&)> m_on_removed;
  std::map<std::string, Entry, std::less<>> m_entries;
  /// Made from the entries; the flag tells that they no longer match.
  mutable std::map<std::string, std::vector<EndpointPtr>, std::less<>> m_usable;
  mutable std::map<std::string, std::vector<EndpointPtr>, std::less<>> m_draining;
  mutable bool m_lists_outdated = false;
  bool m_service_lost = false;
  /// When the service was last known to be away.
  SteadyTime m_last_lost{};
  /// Whether entries may wait for Sweep().
  bool m_has_lapsed = false;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_REGISTRY_H_
