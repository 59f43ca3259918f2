#ifndef WAGTAILWIND_GOSSIP_INSTANCE_LIST_POLLER_H_
#define WAGTAILWIND_GOSSIP_INSTANCE_LIST_POLLER_H_

#include <chrono>
#include <optional>
#include <thread>

#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/notification.h"
#include "core/random_source.h"
#include "gossip/gossip_node.h"
#include "platform/instance_list.h"

namespace wagtailwind::gossip {

/// \brief Reads the platform's instance list on a separate thread and passes it to the node. Reads
/// once at the start and then every 1 s to 60 s; the period grows with the length of the list.
class InstanceListPoller {
 public:
  InstanceListPoller(platform::InstanceList& list, GossipNode& node, RandomSource& random);

  /// \brief Blocks until a read in progress ends.
  ~InstanceListPoller();

  InstanceListPoller(const InstanceListPoller&) = delete;
  InstanceListPoller& operator=(const InstanceListPoller&) = delete;

 private:
  void Loop();
  void ReadOnce();
  [[nodiscard]] std::chrono::milliseconds NextDelay();

  platform::InstanceList& m_list;
  GossipNode& m_node;
  RandomSource& m_random;
  /// Time between reads; empty until the first list is read.
  std::optional<std::chrono::milliseconds> m_period;
  /// Instances that the last list showed as leaving.
  absl::flat_hash_set<InstanceName> m_leaving;
  absl::Notification m_stop;
  std::thread m_thread;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_INSTANCE_LIST_POLLER_H_
