#ifndef WAGTAILWIND_GOSSIP_PEER_SERVICE_SERVER_H_
#define WAGTAILWIND_GOSSIP_PEER_SERVICE_SERVER_H_

#include "gossip/member_table.h"
#include "records/configuration_replica.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::gossip {

// kj interfaces have no virtual destructor; kj::Own destroys the object as its concrete type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// \brief Serves snapshots of the member table and of the configuration. Used on the event loop;
/// create it with `kj::heap<PeerServiceServer>(members, configuration)`.
class PeerServiceServer final : public rpc::schema::PeerService::Server {
 public:
  PeerServiceServer(const MemberTable& members, const records::ConfigurationReplica& configuration)
      : m_members(members), m_configuration(configuration) {}
  virtual ~PeerServiceServer() = default;
  PeerServiceServer(const PeerServiceServer&) = delete;
  PeerServiceServer& operator=(const PeerServiceServer&) = delete;

 protected:
  kj::Promise<void> members(MembersContext context) override;
  kj::Promise<void> configuration(ConfigurationContext context) override;

 private:
  const MemberTable& m_members;
  const records::ConfigurationReplica& m_configuration;
};

#pragma GCC diagnostic pop

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_PEER_SERVICE_SERVER_H_
