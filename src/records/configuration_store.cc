#include "records/configuration_store.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "records/log_events.h"
#include "records/record_kinds.h"

namespace wagtailwind::records {

namespace {

constexpr std::size_t kMaxStoredDeltas = 256;

}  // namespace

ConfigurationStore::ConfigurationStore(const Clock& clock, MetricsRegistry& metrics)
    : m_clock(clock),
      m_version_metric(metrics.GetGauge("configuration_version")),
      m_versions_installed(metrics.GetCounter("configuration_versions_taken_total")),
      m_malformed_updates(metrics.GetCounter("configuration_offers_malformed_total")),
      m_snapshot(
          std::make_shared<Snapshot>(Snapshot{{}, {}, std::make_shared<const Configuration>()})) {}

std::shared_ptr<const ConfigurationStore::Snapshot> ConfigurationStore::CurrentSnapshot() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return m_snapshot;
}

std::shared_ptr<const Configuration> ConfigurationStore::Current() const {
  return CurrentSnapshot()->configuration;
}

std::optional<std::chrono::milliseconds> ConfigurationStore::ConfirmationAge() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return ConfirmationAgeLocked();
}

std::optional<std::chrono::milliseconds> ConfigurationStore::ConfirmationAgeLocked() const {
  if (!m_confirmed_at) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(m_clock.Now() - *m_confirmed_at);
}

ReplicaDigest ConfigurationStore::Digest() const {
  const absl::ReaderMutexLock lock(&m_mutex);
  return {m_snapshot->document.version, ConfirmationAgeLocked()};
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

std::string ConfigurationStore::Document() const { return CurrentSnapshot()->text; }

bool ConfigurationStore::TryApplyChange(std::string_view change) {
  try {
    const Delta delta = ParseDelta(change);
    const absl::MutexLock lock(&m_update_mutex);
    const auto current = CurrentSnapshot();
    if (delta.version != current->document.version + 1) {
      return false;
    }
    Install(ApplyDelta(current->document, delta), delta);
    return true;
  } catch (const MalformedDocument& error) {
    RejectMalformed(error.what());
    return false;
  }
}

bool ConfigurationStore::TryApplyDocument(std::string_view document) {
  try {
    records::Document next = ParseDocument(document);
    const absl::MutexLock lock(&m_update_mutex);
    const auto current = CurrentSnapshot();
    if (next.version <= current->document.version &&
        !IsMutantEnabled("store_takes_lower_version")) {
      return false;
    }
    std::optional<Delta> delta;
    if (next.version == current->document.version + 1) {
      delta = ComputeDelta(current->document, next);
    }
    Install(std::move(next), delta);
    return true;
  } catch (const MalformedDocument& error) {
    RejectMalformed(error.what());
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
  // The confirmation applied to the previous version.
  m_confirmed_at.reset();
  if (delta) {
    m_deltas[version - 1] = ToText(*delta);
  }
  while (m_deltas.size() > kMaxStoredDeltas) {
    m_deltas.erase(m_deltas.begin());
  }
  m_version_metric.Set(static_cast<double>(version));
  m_versions_installed.Add();
}

void ConfigurationStore::RejectMalformed(std::string_view error) {
  m_malformed_updates.Add();
  Log(kConfigurationRefused, {{"error", error}});
}

}  // namespace wagtailwind::records
