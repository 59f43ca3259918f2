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

/// \brief What a process tells its peers of its configuration.
struct ReplicaDigest {
  ConfigurationVersion version = 0;
  /// Time since the platform is known to have confirmed this version; empty: never.
  std::optional<std::chrono::milliseconds> confirmation_age;
};

/// \brief The copy of the configuration that a process exchanges with its peers. Only a higher
/// version is ever taken. Safe to use from several threads.
class ConfigurationReplica {
 public:
  virtual ~ConfigurationReplica() = default;

  [[nodiscard]] virtual ReplicaDigest Digest() const = 0;

  /// \brief The change that leads from `version` to the next one, in an opaque form; empty if not
  /// known any more or larger than `max_bytes`.
  [[nodiscard]] virtual std::optional<std::string> ChangeAfter(ConfigurationVersion version,
                                                               std::size_t max_bytes) const = 0;

  /// \brief The whole document; empty before the first one is known.
  [[nodiscard]] virtual std::string Document() const = 0;

  /// \brief Takes a change from a peer if it leads to exactly the next version; false if not taken.
  virtual bool TryApplyChange(std::string_view change) = 0;

  /// \brief Takes a whole document if it is newer; false if older, equal or malformed.
  virtual bool TryApplyDocument(std::string_view document) = 0;

  /// \brief Notes that a peer, or the platform itself, knew `version` to be the newest `age` ago.
  /// Ignored unless it is this process's version.
  virtual void Confirm(ConfigurationVersion version, std::chrono::milliseconds age) = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_REPLICA_H_
