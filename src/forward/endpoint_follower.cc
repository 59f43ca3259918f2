#include "forward/endpoint_follower.h"

#include <utility>

#include "forward/log_events.h"

namespace wagtailwind::forward {

EndpointFollower::EndpointFollower(ForwardContext& context, const DeploymentAdapter& adapter)
    : m_context(context), m_adapter(adapter) {}

std::string_view EndpointFollower::NameOf(const platform::KeyValueItem& item) const noexcept {
  return std::string_view(item.key).substr(m_adapter.EndpointPrefix().size());
}

std::optional<balancing::EndpointRecord> EndpointFollower::Decode(
    const platform::KeyValueItem& item) const {
  try {
    return m_adapter.DecodeEndpoint(NameOf(item), item.value);
  } catch (const MalformedEndpointEntry& error) {
    Log(kEndpointEntryIgnored,
        {{"key", item.key}, {"revision", item.revision}, {"error", error.what()}});
    return std::nullopt;
  }
}

void EndpointFollower::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                  BootTime /*valid_as_of*/) {
  std::vector<balancing::EndpointRecord> records;
  records.reserve(items.size());
  for (const platform::KeyValueItem& item : items) {
    if (auto record = Decode(item)) {
      records.push_back(*std::move(record));
    }
  }
  m_context.endpoints.Replace(records, m_context.clock.Now());
  for (const balancing::EndpointRecord& record : records) {
    NoteColdTime(record);
  }
  m_context.endpoints_known = true;
  Log(kEndpointListed, {{"entries", items.size()}, {"endpoints", m_context.endpoints.Size()}});
}

void EndpointFollower::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                 BootTime /*valid_as_of*/) {
  for (const platform::KeyValueItem& change : changes) {
    const std::string_view name = NameOf(change);
    const std::optional<balancing::EndpointRecord> record =
        change.deleted ? std::nullopt : Decode(change);
    if (record) {
      m_context.endpoints.Put(*record);
      NoteColdTime(*record);
    } else {
      m_context.endpoints.Delete(name, m_context.clock.Now());
    }
  }
}

void EndpointFollower::NoteColdTime(const balancing::EndpointRecord& record) {
  const balancing::EndpointPtr endpoint = m_context.endpoints.Find(record.name.value());
  if (endpoint && record.cold_time > std::chrono::milliseconds(0)) {
    m_context.SetCold(*endpoint, record.cold_time);
  }
}

void EndpointFollower::OnFeedLost() { m_context.endpoints.OnServiceLost(); }

void EndpointFollower::OnFeedRegained(SteadyTime last_failed) {
  m_context.endpoints.OnServiceRegained(last_failed);
}

void EndpointFollower::OnServiceRestored() {
  m_context.endpoints.OnServiceRestored(m_context.clock.Now());
}

}  // namespace wagtailwind::forward
