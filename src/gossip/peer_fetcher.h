#ifndef WAGTAILWIND_GOSSIP_PEER_FETCHER_H_
#define WAGTAILWIND_GOSSIP_PEER_FETCHER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gossip/member.h"
#include "records/configuration_replica.h"

namespace wagtailwind::gossip {

/// \brief A peer's answer to a configuration pull. The document is empty if the peer has no newer
/// version.
struct FetchedConfiguration {
  records::ReplicaDigest digest;
  std::string document;
};

/// \brief Fetches snapshots from peers. The calls do not block. Each callback is called exactly
/// once, on any thread; the result is empty if the fetch failed or timed out.
class PeerFetcher {
 public:
  using MembersDone = std::function<void(std::optional<std::vector<Member>>)>;
  using ConfigurationDone = std::function<void(std::optional<FetchedConfiguration>)>;

  virtual ~PeerFetcher() = default;

  virtual void FetchMembers(const std::string& rpc_address, MembersDone done) = 0;
  /// \brief Fetches the configuration document if the peer's version is higher than `after`.
  virtual void FetchConfiguration(const std::string& rpc_address,
                                  records::ConfigurationVersion after, ConfigurationDone done) = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_PEER_FETCHER_H_
