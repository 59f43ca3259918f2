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

/// \brief Decides where a process that has just started takes its configuration from: the platform
/// if it answers and no peer knows a higher version, otherwise the peer with the highest version.
class InitialLoad {
 public:
  enum class Source : std::uint8_t { kNone, kPlatform, kPeer };

  /// \brief What to take.
  struct Decision {
    Source source = Source::kNone;
    ConfigurationVersion version = 0;
    /// For kPeer.
    InstanceName peer;
  };

  /// \brief Peers are asked for this long before one of them is trusted to have the newest version.
  static constexpr std::chrono::seconds kPeerPeriod{7};
  /// \brief So many peers must have answered, or all that can be reached.
  static constexpr std::size_t kMinPeers = 3;
  /// \brief An answer of the platform waits for so long for the peers, since it may be stale.
  static constexpr std::chrono::seconds kPlatformPeriod{3};

  explicit InitialLoad(SteadyTime started) noexcept : m_started(started) {}

  /// \brief The platform returned a document of this version; 0: there is none yet.
  void PlatformAnswered(ConfigurationVersion version) noexcept;

  /// \brief A peer has told its version; 0: it has no configuration.
  void PeerAnswered(const InstanceName& peer, ConfigurationVersion version);

  /// \brief Number of peers that can be reached at present.
  void SetReachablePeers(std::size_t count) noexcept { m_reachable_peers = count; }

  /// \brief The decision at this time; kNone: go on asking.
  [[nodiscard]] Decision Decide(SteadyTime now) const;

 private:
  [[nodiscard]] Decision BestPeer() const;

  SteadyTime m_started;
  std::optional<ConfigurationVersion> m_platform_version;
  std::map<std::string, ConfigurationVersion> m_peers;
  std::size_t m_reachable_peers = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_INITIAL_LOAD_H_
