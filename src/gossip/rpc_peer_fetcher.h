#ifndef WAGTAILWIND_GOSSIP_RPC_PEER_FETCHER_H_
#define WAGTAILWIND_GOSSIP_RPC_PEER_FETCHER_H_

#include <memory>
#include <string>

#include "gossip/peer_fetcher.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::gossip {

/// \brief Fetches snapshots over Cap'n Proto RPC, from the PeerService that a process's Bootstrap
/// provides.
class RpcPeerFetcher final : public PeerFetcher {
 public:
  explicit RpcPeerFetcher(rpc::EventLoopThread& loop);

  /// \brief Cancels all fetches; their callbacks receive empty results. Must not be called on the
  /// event loop.
  ~RpcPeerFetcher() override;

  RpcPeerFetcher(const RpcPeerFetcher&) = delete;
  RpcPeerFetcher& operator=(const RpcPeerFetcher&) = delete;

  void FetchMembers(const std::string& rpc_address, MembersDone done) override;
  void FetchConfiguration(const std::string& rpc_address, records::ConfigurationVersion after,
                          ConfigurationDone done) override;

 private:
  struct State;
  rpc::EventLoopThread& m_loop;
  const std::shared_ptr<State> m_state;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_RPC_PEER_FETCHER_H_
