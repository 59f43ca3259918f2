#ifndef WAGTAILWIND_RECORDS_CONFIGURATION_STORE_H_
#define WAGTAILWIND_RECORDS_CONFIGURATION_STORE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "records/configuration_replica.h"
#include "records/configuration_view.h"
#include "records/document.h"

namespace wagtailwind::records {

/// \brief Holds the configuration of this process. Accepts documents and deltas from the platform
/// and from peers if they have a higher version.
class ConfigurationStore final : public ConfigurationView, public ConfigurationReplica {
 public:
  /// \brief The parameters must outlive this object.
  ConfigurationStore(const Clock& clock, MetricsRegistry& metrics);

  [[nodiscard]] std::shared_ptr<const Configuration> Current() const override;
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge() const override;

  [[nodiscard]] ReplicaDigest Digest() const override;
  [[nodiscard]] std::optional<std::string> ChangeAfter(ConfigurationVersion version,
                                                       std::size_t max_bytes) const override;
  [[nodiscard]] std::string Document() const override;
  bool TryApplyChange(std::string_view change) override;
  bool TryApplyDocument(std::string_view document) override;
  void Confirm(ConfigurationVersion version, std::chrono::milliseconds age) override;

 private:
  /// \brief One version as a document, as its serialized text and as a parsed configuration.
  /// Immutable.
  struct Snapshot {
    records::Document document;
    std::string text;
    std::shared_ptr<const Configuration> configuration;
  };

  [[nodiscard]] std::shared_ptr<const Snapshot> CurrentSnapshot() const;
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAgeLocked() const
      ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  /// Replaces the current version. `delta` is stored for peers if it is known.
  void Install(records::Document next, const std::optional<Delta>& delta)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_update_mutex);
  /// Counts and logs a malformed document or delta.
  void RejectMalformed(std::string_view error);

  const Clock& m_clock;
  Gauge& m_version_metric;
  Counter& m_versions_installed;
  Counter& m_malformed_updates;
  /// Serializes updates. Held while a new version is parsed; `m_mutex` is held only for the
  /// exchange of the snapshot, so that readers don't wait for the parser.
  absl::Mutex m_update_mutex ABSL_ACQUIRED_BEFORE(m_mutex);
  mutable absl::Mutex m_mutex;
  std::shared_ptr<const Snapshot> m_snapshot ABSL_GUARDED_BY(m_mutex);
  /// Serialized deltas by the version that they apply to.
  std::map<ConfigurationVersion, std::string> m_deltas ABSL_GUARDED_BY(m_mutex);
  std::optional<SteadyTime> m_confirmed_at ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_STORE_H_
