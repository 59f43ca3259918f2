#include "forward/router_directory.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// A record is written again well before it expires. A router that is gone for good takes its shares
// with it until then, which leaves endpoints with fewer requests than they could take.
constexpr std::chrono::minutes kWriteInterval = kRecordLifetime / 2;

// Routers that start together write their records within this time, so that the service gets few
// writes a second and each of the watches returns several records.
constexpr std::chrono::milliseconds kWriteSpread = 4'000ms;

// Routers whose records expired while the service was away write them again. Until then, they
// still count.
constexpr std::chrono::seconds kMissingTime{30};

constexpr std::string_view kFolder = "routers/";

}  // namespace

std::string RouterDirectory::Prefix(const DeploymentAdapter& adapter) {
  return std::string(adapter.RouterPrefix()) + std::string(kFolder);
}

RouterDirectory::RouterDirectory(ForwardContext& context, const DeploymentAdapter& adapter,
                                 RecordWriter& writer)
    : m_context(context), m_prefix(Prefix(adapter)), m_writer(writer) {
  m_routers[m_context.self.value()].zone = m_context.zone;
  ScheduleWrite(kWriteSpread);
}

RouterDirectory::~RouterDirectory() = default;

void RouterDirectory::ScheduleWrite(std::chrono::milliseconds latest) {
  const auto spread = static_cast<std::uint64_t>(kWriteSpread.count());
  m_write_at = m_context.clock.Now() + latest - kWriteSpread +
               std::chrono::milliseconds(m_context.random.NextBelow(spread));
}

void RouterDirectory::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                 BootTime /*valid_as_of*/) {
  if (!m_context.routers_read_at) {
    m_context.routers_read_at = m_context.clock.Now();
  }
  std::set<std::string> present;
  for (const platform::KeyValueItem& item : items) {
    if (item.key.starts_with(m_prefix)) {
      present.insert(item.key.substr(m_prefix.size()));
      OnRecord(item);
    }
  }
  std::vector<std::string> absent;
  for (const auto& [name, router] : m_routers) {
    if (!present.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const std::string& name : absent) {
    Remove(name);
  }
  Update();
}

void RouterDirectory::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                BootTime /*valid_as_of*/) {
  bool changed = false;
  for (const platform::KeyValueItem& change : changes) {
    if (change.key.starts_with(m_prefix)) {
      change.deleted ? Remove(change.key.substr(m_prefix.size())) : OnRecord(change);
      changed = true;
    }
  }
  if (changed) {
    Update();
  }
}

void RouterDirectory::OnRecord(const platform::KeyValueItem& item) {
  m_routers[item.key.substr(m_prefix.size())] = {.zone = AvailabilityZoneName(item.value)};
}

void RouterDirectory::Remove(const std::string& name) {
  const SteadyTime now = m_context.clock.Now();
  if (name == m_context.self.value()) {
    if (m_write_at > now + kWriteSpread) {
      ScheduleWrite(kWriteSpread);
    }
    return;
  }
  const auto found = m_routers.find(name);
  if (found != m_routers.end() && !found->second.missing_since) {
    found->second.missing_since = now;
  }
}

void RouterDirectory::Update() {
  std::vector<balancing::RouterInfo> routers;
  routers.reserve(m_routers.size());
  for (const auto& [name, router] : m_routers) {
    routers.push_back({.name = InstanceName(name), .zone = router.zone});
  }
  if (routers != m_context.routers) {
    m_context.SetRouters(std::move(routers));
    Log(kRoutersChanged, {{"routers", m_context.routers.size()}});
  }
}

void RouterDirectory::Tick() {
  const SteadyTime now = m_context.clock.Now();
  if (now >= m_write_at) {
    m_writer.Put(m_prefix + m_context.self.value(), m_context.zone.value());
    ScheduleWrite(kWriteInterval);
  }
  const std::size_t removed = std::erase_if(m_routers, [now](const auto& entry) {
    const auto& missing_since = entry.second.missing_since;
    return missing_since && now - *missing_since > kMissingTime;
  });
  if (removed > 0) {
    Update();
  }
}

}  // namespace wagtailwind::forward
