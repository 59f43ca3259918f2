#include "records/configuration_store.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "records/log_events.h"
#include "records/record_kinds.h"

namespace wagtailwind::records {

namespace {

constexpr std::size_t kMaxDeltas = 256;

}  // namespace

ConfigurationStore::ConfigurationStore(const Clock& clock, MetricsRegistry& metrics)
    : m_clock(clock),
      m_version_metric(metrics.GetGauge("configuration_version")),
      m_taken(metrics.GetCounter("configuration_versions_taken_total")),
      m_refused(metrics.GetCounter("configuration_offers_malformed_total")),
      m_snapshot(
          std::make_shared<Snapshot>(Snapshot{{}, {}, std::make_shared<const Configuration>()})) {}

std::shared_ptr<const ConfigurationStore::Snapshot> ConfigurationStore::TakeSnapshot() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return m_snapshot;
}

std::shared_ptr<const Configuration> ConfigurationStore::Current() const {
  return TakeSnapshot()->configuration;
}

std::optional<std::chrono::milliseconds> ConfigurationStore::ConfirmationAge() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return AgeLocked();
}

std::optional<std::chrono::milliseconds> ConfigurationStore::AgeLocked() const {
  if (!m_confirmed_at) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(m_clock.Now() - *m_confirmed_at);
}

ReplicaDigest ConfigurationStore::Digest() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return {m_snapshot->document.version, AgeLocked()};
}

std::optional<std::string> ConfigurationStore::ChangeAfter(ConfigurationVersion version,
                                                           std::size_t max_bytes) const {
  const absl::ReaderMutexLock lock(&m_mutex);
  const auto found = m_deltas.find(version);
  if (found == m_deltas.end() || found->second.size() > max_bytes) {
    return std::nullopt;
  }
  return found->second;
}

std::string ConfigurationStore::Document() const { return TakeSnapshot()->text; }

bool ConfigurationStore::TryApplyChange(std::string_view change) {
  try {
    const Delta delta = ParseDelta(change);
    const absl::MutexLock lock(&m_update_mutex);
    const auto present = TakeSnapshot();
    if (delta.version != present->document.version + 1) {
      return false;
    }
    Install(Apply(present->document, delta), delta);
    return true;
  } catch (const MalformedDocument& error) {
    Refuse(error.what());
    return false;
  }
}

bool ConfigurationStore::TryApplyDocument(std::string_view document) {
  try {
    records::Document next = ParseDocument(document);
    const absl::MutexLock lock(&m_update_mutex);
    const auto present = TakeSnapshot();
    if (next.version <= present->document.version &&
        !IsMutantEnabled("store_takes_lower_version")) {
      return false;
    }
    std::optional<Delta> delta;
    if (next.version == present->document.version + 1) {
      delta = Difference(present->document, next);
    }
    Install(std::move(next), delta);
    return true;
  } catch (const MalformedDocument& error) {
    Refuse(error.what());
    return false;
  }
}

void ConfigurationStore::Confirm(ConfigurationVersion version, std::chrono::milliseconds age) {
  const absl::MutexLock lock(&m_mutex);
  if (version == 0 || version != m_snapshot->document.version || age.count() < 0) {
    return;
  }
  const SteadyTime confirmed_at = m_clock.Now() - age;
  m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, confirmed_at) : confirmed_at;
}

void ConfigurationStore::Install(records::Document next, const std::optional<Delta>& delta) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->text = ToText(next);
  snapshot->configuration = ParseConfiguration(next);
  snapshot->document = std::move(next);
  const ConfigurationVersion version = snapshot->document.version;
  Log(kConfigurationInForce,
      {{"version", version}, {"records", snapshot->document.records.size()}});
  const absl::MutexLock lock(&m_mutex);
  m_snapshot = std::move(snapshot);
  // The confirmation was of the version before.
  m_confirmed_at.reset();
  if (delta) {
    m_deltas[version - 1] = ToText(*delta);
  }
  while (m_deltas.size() > kMaxDeltas) {
    m_deltas.erase(m_deltas.begin());
  }
  m_version_metric.Set(static_cast<double>(version));
  m_taken.Add();
}

void ConfigurationStore::Refuse(std::string_view error) {
  m_refused.Add();
  Log(kConfigurationRefused, {{"error", error}});
}

}  // namespace wagtailwind::records
