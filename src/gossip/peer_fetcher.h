#ifndef WAGTAILWIND_GOSSIP_PEER_FETCHER_H_
#define WAGTAILWIND_GOSSIP_PEER_FETCHER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gossip/member.h"
#include "records/configuration_replica.h"

namespace wagtailwind::gossip {

/// \brief A peer's answer to a pull of the configuration; an empty document if it has no newer one.
struct FetchedConfiguration {
  records::ReplicaDigest digest;
  std::string document;
};

/// \brief Fetches snapshots from peers. Calls return at once; each result is handed over exactly
/// once, on any thread, and is empty if the peer did not answer within the bounds.
class PeerFetcher {
 public:
  using MembersDone = std::function<void(std::optional<std::vector<Member>>)>;
  using ConfigurationDone = std::function<void(std::optional<FetchedConfiguration>)>;

  virtual ~PeerFetcher() = default;

  virtual void FetchMembers(const std::string& rpc_address, MembersDone done) = 0;
  virtual void FetchConfiguration(const std::string& rpc_address,
                                  records::ConfigurationVersion after, ConfigurationDone done) = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_PEER_FETCHER_H_
