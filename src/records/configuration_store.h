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

/// \brief The configuration of this process: takes documents and changes from the platform and from
/// peers, and only ever moves to a higher version.
class ConfigurationStore final : public ConfigurationView, public ConfigurationReplica {
 public:
  /// \brief The parameters outlive this object.
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
  /// \brief One version in all its forms. Immutable.
  struct Snapshot {
    records::Document document;
    std::string text;
    std::shared_ptr<const Configuration> configuration;
  };

  [[nodiscard]] std::shared_ptr<const Snapshot> TakeSnapshot() const;
  [[nodiscard]] std::optional<std::chrono::milliseconds> AgeLocked() const
      ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void Install(records::Document next, const std::optional<Delta>& delta)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_update_mutex);
  void Refuse(std::string_view error);

  const Clock& m_clock;
  Gauge& m_version_metric;
  Counter& m_taken;
  Counter& m_refused;
  /// Held while a new version is parsed, so that readers wait only for the exchange of pointers.
  absl::Mutex m_update_mutex ABSL_ACQUIRED_BEFORE(m_mutex);
  mutable absl::Mutex m_mutex;
  std::shared_ptr<const Snapshot> m_snapshot ABSL_GUARDED_BY(m_mutex);
  /// Deltas by the version that they start from.
  std::map<ConfigurationVersion, std::string> m_deltas ABSL_GUARDED_BY(m_mutex);
  std::optional<SteadyTime> m_confirmed_at ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_STORE_H_
