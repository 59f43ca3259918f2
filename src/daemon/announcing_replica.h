#ifndef WAGTAILWIND_DAEMON_ANNOUNCING_REPLICA_H_
#define WAGTAILWIND_DAEMON_ANNOUNCING_REPLICA_H_

#include <optional>
#include <string>
#include <string_view>

#include "gossip/gossip_node.h"
#include "records/configuration_replica.h"

namespace wagtailwind::daemon {

/// \brief Passes what the platform returned on to the replica, and tells the gossip node at once
/// when that was a new version.
class AnnouncingReplica final : public records::ConfigurationReplica {
 public:
  AnnouncingReplica(records::ConfigurationReplica& replica, gossip::GossipNode& node) noexcept
      : m_replica(replica), m_node(node) {}

  [[nodiscard]] records::ReplicaDigest Digest() const override { return m_replica.Digest(); }

  [[nodiscard]] std::optional<std::string> ChangeAfter(records::ConfigurationVersion version,
                                                       std::size_t max_bytes) const override {
    return m_replica.ChangeAfter(version, max_bytes);
  }

  [[nodiscard]] std::string Document() const override { return m_replica.Document(); }

  bool TryApplyChange(std::string_view change) override {
    return Announce(m_replica.TryApplyChange(change));
  }

  bool TryApplyDocument(std::string_view document) override {
    return Announce(m_replica.TryApplyDocument(document));
  }

  void Confirm(records::ConfigurationVersion version, std::chrono::milliseconds age) override {
    m_replica.Confirm(version, age);
  }

 private:
  bool Announce(bool taken) {
    if (taken) {
      m_node.NotifyConfigurationChanged();
    }
    return taken;
  }

  records::ConfigurationReplica& m_replica;
  gossip::GossipNode& m_node;
};

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_ANNOUNCING_REPLICA_H_
