#ifndef WAGTAILWIND_RECORDS_INITIAL_LOAD_H_
#define WAGTAILWIND_RECORDS_INITIAL_LOAD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "records/configuration_view.h"

namespace wagtailwind::records {

/// \brief Selects the source of a starting process's configuration: the platform if it responds and
/// no peer has a higher version, otherwise the peer with the highest version.
class InitialLoad {
 public:
  enum class Source : std::uint8_t { kNone, kPlatform, kPeer };

  /// \brief The selected source and the version that it has.
  struct Decision {
    Source source = Source::kNone;
    ConfigurationVersion version = 0;
    /// Set for kPeer only.
    InstanceName peer;
  };

  /// \brief Time for which peers are queried before the highest version among them counts as the
  /// newest.
  static constexpr std::chrono::seconds kPeerQueryPeriod{7};
  /// \brief Number of peers that must have responded; all reachable ones if there are fewer.
  static constexpr std::size_t kMinPeers = 3;
  /// \brief Time for which a document from the platform, which may be stale, is held back until the
  /// peers have responded.
  static constexpr std::chrono::seconds kPlatformHoldPeriod{3};

  explicit InitialLoad(SteadyTime started) noexcept : m_started(started) {}

  /// \brief Records that the platform returned a document of this version; 0: it has none yet.
  void PlatformAnswered(ConfigurationVersion version) noexcept;

  /// \brief Records a peer's version; 0: it has no configuration.
  void PeerAnswered(const InstanceName& peer, ConfigurationVersion version);

  /// \brief Sets the number of peers that are currently reachable.
  void SetReachablePeers(std::size_t count) noexcept { m_reachable_peers = count; }

  /// \brief Returns the decision at this time; kNone: keep querying.
  [[nodiscard]] Decision Decide(SteadyTime now) const;

 private:
  [[nodiscard]] Decision PeerWithHighestVersion() const;

  SteadyTime m_started;
  std::optional<ConfigurationVersion> m_platform_version;
  std::map<std::string, ConfigurationVersion> m_peers;
  std::size_t m_reachable_peers = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_INITIAL_LOAD_H_
