#ifndef WAGTAILWIND_RECORDS_CONFIGURATION_REPLICA_H_
#define WAGTAILWIND_RECORDS_CONFIGURATION_REPLICA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "records/configuration_view.h"

namespace wagtailwind::records {

/// \brief Summary of a process's configuration that it sends to its peers.
struct ReplicaDigest {
  ConfigurationVersion version = 0;
  /// Time since the platform was last known to hold this version as the newest; empty: never.
  std::optional<std::chrono::milliseconds> confirmation_age;
};

/// \brief A process's copy of the configuration, which it exchanges with its peers. Its version
/// never decreases. Thread-safe.
class ConfigurationReplica {
 public:
  virtual ~ConfigurationReplica() = default;

  [[nodiscard]] virtual ReplicaDigest Digest() const = 0;

  /// \brief Returns the serialized delta from `version` to the next version; empty if it is not
  /// stored (any more) or larger than `max_bytes`.
  [[nodiscard]] virtual std::optional<std::string> ChangeAfter(ConfigurationVersion version,
                                                               std::size_t max_bytes) const = 0;

  /// \brief Returns the serialized document; empty before the first one is known.
  [[nodiscard]] virtual std::string Document() const = 0;

  /// \brief Applies a delta from a peer if it produces exactly the next version. Returns whether it
  /// was applied.
  virtual bool TryApplyChange(std::string_view change) = 0;

  /// \brief Replaces the document by a newer one. Returns false if the given one is older, equal or
  /// malformed.
  virtual bool TryApplyDocument(std::string_view document) = 0;

  /// \brief Records that the platform, or a peer, knew `version` to be the newest `age` ago.
  /// Ignored unless `version` is the version of this copy.
  virtual void Confirm(ConfigurationVersion version, std::chrono::milliseconds age) = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_REPLICA_H_
