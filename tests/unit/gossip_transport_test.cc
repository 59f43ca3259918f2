#include <capnp/rpc-twoparty.h>

#include <future>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "gossip/peer_service_server.h"
#include "gossip/rpc_peer_fetcher.h"
#include "gossip/udp_transport.h"
#include "support/gossip_cluster.h"

// Included last, because Criterion's macro Test conflicts with a name in Abseil's headers.
#include <criterion/criterion.h>

namespace {

using wagtailwind::gossip::FetchedConfiguration;
using wagtailwind::gossip::Member;
using wagtailwind::gossip::RpcPeerFetcher;
using wagtailwind::gossip::UdpTransport;
using wagtailwind::testing::GossipCluster;

// Records the sizes of the received datagrams and the source of the last one.
class Recorder final : public wagtailwind::gossip::DatagramHandler {
 public:
  void Tick(wagtailwind::SteadyTime /*now*/) override {
    const absl::MutexLock lock(&m_mutex);
    ++m_ticks;
  }
  void Receive(std::span<const std::byte> bytes, std::string_view source,
               wagtailwind::SteadyTime /*now*/) override {
    const absl::MutexLock lock(&m_mutex);
    m_sizes.push_back(bytes.size());
    m_source = std::string(source);
  }
  void WaitFor(std::size_t datagrams) {
    const absl::MutexLock lock(&m_mutex);
    const auto done = [this, datagrams] { return m_sizes.size() >= datagrams && m_ticks > 0; };
    m_mutex.Await(absl::Condition(&done));
  }
  std::vector<std::size_t> m_sizes;
  std::string m_source;

 private:
  absl::Mutex m_mutex;
  int m_ticks = 0;
};

// kj interfaces have no virtual destructor; kj::Own destroys the object as its concrete type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

class BootstrapServer final : public wagtailwind::rpc::schema::Bootstrap::Server {
 public:
  explicit BootstrapServer(GossipCluster& cluster) : m_cluster(cluster) {}
  virtual ~BootstrapServer() = default;
  BootstrapServer(const BootstrapServer&) = delete;
  BootstrapServer& operator=(const BootstrapServer&) = delete;

 protected:
  kj::Promise<void> peer(PeerContext context) override {
    context.getResults().setPeer(
        kj::heap<wagtailwind::gossip::PeerServiceServer>(m_cluster.Table(0), m_cluster.Replica(0)));
    return kj::READY_NOW;
  }

 private:
  GossipCluster& m_cluster;
};

#pragma GCC diagnostic pop

// Serves the first node's snapshots on a free port until it is destroyed.
struct ServedPeer {
  ServedPeer(wagtailwind::rpc::EventLoopThread& event_loop, GossipCluster& cluster)
      : loop(event_loop) {
    loop.Run([this, &cluster] {
      server = kj::heap<capnp::TwoPartyServer>(kj::heap<BootstrapServer>(cluster));
      auto address = loop.Io().getNetwork().parseAddress("127.0.0.1:0");
      listening = address
                      .then([this](kj::Own<kj::NetworkAddress> parsed) {
                        receiver = parsed->listen();
                        port.set_value(receiver->getPort());
                        return server->listen(*receiver);
                      })
                      .eagerlyEvaluate(nullptr);
    });
    rpc_address = "127.0.0.1:" + std::to_string(port.get_future().get());
  }
  ~ServedPeer() {
    loop.Run([this] {
      listening = kj::READY_NOW;
      server = nullptr;
      receiver = nullptr;
    });
  }
  ServedPeer(const ServedPeer&) = delete;
  ServedPeer& operator=(const ServedPeer&) = delete;

  wagtailwind::rpc::EventLoopThread& loop;
  std::promise<unsigned> port;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> listening = kj::READY_NOW;
  std::string rpc_address;
};

}  // namespace

// Guards against datagrams that are truncated to the allowed size instead of being recognised as
// too long, and against a handler that is not ticked.
Test(gossip_transport, datagrams_travel_between_two_sockets) {
  const wagtailwind::SystemClock clock;
  Recorder recorder;
  UdpTransport receiver("127.0.0.1:0");
  UdpTransport sender("127.0.0.1:0");
  receiver.Start(recorder, clock);
  const std::string text(1400, 'a');
  const std::string long_text(5000, 'b');
  sender.Send(receiver.LocalAddress(), std::as_bytes(std::span(text)));
  sender.Send(receiver.LocalAddress(), std::as_bytes(std::span(long_text)));
  sender.Send("not an address", std::as_bytes(std::span(text)));
  recorder.WaitFor(2);
  receiver.Stop();
  cr_assert_eq(recorder.m_sizes[0], 1400);
  cr_assert_eq(recorder.m_sizes[1], 1401);
  cr_assert_eq(recorder.m_source, sender.LocalAddress());
}

// Guards against snapshots that lack members or documents, and against a fetch from a peer that no
// longer listens whose callback is never called.
Test(gossip_transport, snapshots_are_fetched_and_a_missing_peer_gives_an_empty_result) {
  GossipCluster cluster({.nodes = 50, .zones = 2});
  cluster.Replica(0).Publish(6, 300);
  wagtailwind::rpc::EventLoopThread loop;
  std::string stopped_address;
  {
    const ServedPeer served(loop, cluster);
    stopped_address = served.rpc_address;
    RpcPeerFetcher fetcher(loop);
    std::promise<std::optional<std::vector<Member>>> members;
    fetcher.FetchMembers(served.rpc_address, [&](auto result) { members.set_value(result); });
    cr_assert_eq(members.get_future().get()->size(), 50);
    for (const std::uint64_t after : {5U, 6U}) {
      std::promise<std::optional<FetchedConfiguration>> configuration;
      fetcher.FetchConfiguration(served.rpc_address, after,
                                 [&](auto result) { configuration.set_value(result); });
      const auto fetched = configuration.get_future().get();
      cr_assert_eq(fetched->digest.version, 6);
      cr_assert_eq(fetched->document, after == 5 ? "6:" : "");
    }
  }
  RpcPeerFetcher fetcher(loop);
  std::promise<std::optional<std::vector<Member>>> members;
  fetcher.FetchMembers(stopped_address, [&](auto result) { members.set_value(result); });
  cr_assert_not(members.get_future().get().has_value());
}
