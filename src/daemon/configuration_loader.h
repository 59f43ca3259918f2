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

/// \brief Brings a process that has just started to a configuration that it may serve with: asks
/// the platform and the peers once a second until records::InitialLoad decides.
class ConfigurationLoader {
 public:
  /// \brief What the loader works with; all of it outlives the loader.
  struct Parts {
    platform::KeyValueService& key_values;
    records::ConfigurationReplica& replica;
    const gossip::MemberView& members;
    const InstanceName& self;
    gossip::PeerFetcher& fetcher;
    const Clock& clock;
  };

  /// \brief Starts the thread. `on_ready` is called once, from it.
  ConfigurationLoader(const Parts& parts, std::function<void()> on_ready);
  ~ConfigurationLoader();
  ConfigurationLoader(const ConfigurationLoader&) = delete;
  ConfigurationLoader& operator=(const ConfigurationLoader&) = delete;

  /// \brief Whether the process may serve.
  [[nodiscard]] bool IsReady() const noexcept { return m_ready; }

 private:
  struct PeerAnswers;

  void Step();
  void AskPlatform();
  void AskPeers();
  void TakePeerAnswers();

  const Parts m_parts;
  const std::function<void()> m_on_ready;
  records::InitialLoad m_decision;
  std::shared_ptr<PeerAnswers> m_answers;
  std::atomic<bool> m_ready{false};
  std::unique_ptr<PeriodicThread> m_thread;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_CONFIGURATION_LOADER_H_
