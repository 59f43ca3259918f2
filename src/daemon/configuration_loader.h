#ifndef WAGTAILWIND_DAEMON_CONFIGURATION_LOADER_H_
#define WAGTAILWIND_DAEMON_CONFIGURATION_LOADER_H_

#include <atomic>
#include <functional>
#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/periodic_thread.h"
#include "gossip/member_view.h"
#include "gossip/peer_fetcher.h"
#include "platform/key_value_service.h"
#include "records/configuration_replica.h"
#include "records/initial_load.h"

namespace wagtailwind::daemon {

/// \brief Loads the first configuration of a starting process. Queries the platform and the peers
/// once a second until records::InitialLoad decides which version is recent enough to serve with.
class ConfigurationLoader {
 public:
  /// \brief Dependencies of the loader; all must outlive it.
  struct Dependencies {
    platform::KeyValueService& key_values;
    records::ConfigurationReplica& replica;
    const gossip::MemberView& members;
    const InstanceName& self;
    gossip::PeerFetcher& fetcher;
    const Clock& clock;
  };

  /// \brief Starts the thread, which calls `on_ready` once.
  ConfigurationLoader(const Dependencies& dependencies, std::function<void()> on_ready);
  ~ConfigurationLoader();
  ConfigurationLoader(const ConfigurationLoader&) = delete;
  ConfigurationLoader& operator=(const ConfigurationLoader&) = delete;

  /// \brief Returns whether a configuration is loaded, so that the process may serve.
  [[nodiscard]] bool IsReady() const noexcept { return m_ready; }

 private:
  struct PeerResponses;

  void Poll();
  void QueryPlatform();
  void QueryPeers();
  void ProcessPeerResponses();

  const Dependencies m_dependencies;
  const std::function<void()> m_on_ready;
  records::InitialLoad m_initial_load;
  std::shared_ptr<PeerResponses> m_peer_responses;
  std::atomic<bool> m_ready{false};
  std::unique_ptr<PeriodicThread> m_thread;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_CONFIGURATION_LOADER_H_
