#ifndef WAGTAILWIND_DAEMON_ANNOUNCING_REPLICA_H_
#define WAGTAILWIND_DAEMON_ANNOUNCING_REPLICA_H_

#include <optional>
#include <string>
#include <string_view>

#include "gossip/gossip_node.h"
#include "records/configuration_replica.h"

namespace wagtailwind::daemon {

/// \brief Forwards configurations that the platform returned to the replica, and notifies the
/// gossip node immediately when the replica takes a new version.
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
    return NotifyIfTaken(m_replica.TryApplyChange(change));
  }

  bool TryApplyDocument(std::string_view document) override {
    return NotifyIfTaken(m_replica.TryApplyDocument(document));
  }

  void Confirm(records::ConfigurationVersion version, std::chrono::milliseconds age) override {
    m_replica.Confirm(version, age);
  }

 private:
  bool NotifyIfTaken(bool taken) {
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
