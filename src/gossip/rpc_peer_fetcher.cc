#include "gossip/rpc_peer_fetcher.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <cstddef>
#include <utility>

#include "gossip/member_codec.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::gossip {

namespace {

namespace schema = rpc::schema;

constexpr auto kTimeout = 3 * kj::SECONDS;
constexpr std::size_t kMaxFetches = 4;
// 4 MiB in words. A document may have 1 MB; a table of 1,840 members has less.
constexpr std::uint64_t kMaxMessageWords = (4U << 20U) / sizeof(capnp::word);
// A table with more records is rejected.
constexpr unsigned kMaxMembers = 20'000;
constexpr std::uint32_t kNeverConfirmed = 0xffffffffU;

// Calls `done` exactly once: with the result, or with an empty one if the fetch ends without it.
template <typename Result>
class Completion {
 public:
  explicit Completion(std::function<void(std::optional<Result>)> done) : m_done(std::move(done)) {}
  Completion(const Completion&) = delete;
  Completion& operator=(const Completion&) = delete;
  ~Completion() { Finish(std::nullopt); }

  void Finish(std::optional<Result> result) {
    if (m_done) {
      std::exchange(m_done, nullptr)(std::move(result));
    }
  }

 private:
  std::function<void(std::optional<Result>)> m_done;
};

struct Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> opened)
      : stream(kj::mv(opened)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT,
                {.traversalLimitInWords = kMaxMessageWords, .nestingLimit = 16}),
        system(capnp::makeRpcClient(network)) {}

  schema::PeerService::Client Peer() {
    capnp::MallocMessageBuilder message(4);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(vat).castAs<schema::Bootstrap>().peerRequest().send().getPeer();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

std::optional<std::vector<Member>> DecodeMembers(
    capnp::List<schema::MemberRecord>::Reader records) {
  if (records.size() > kMaxMembers) {
    return std::nullopt;
  }
  std::vector<Member> members;
  members.reserve(records.size());
  for (const schema::MemberRecord::Reader record : records) {
    std::optional<Member> member = DecodeMember(record);
    if (member.has_value()) {
      members.push_back(std::move(*member));
    }
  }
  return members;
}

FetchedConfiguration DecodeConfiguration(
    const schema::PeerService::ConfigurationResults::Reader& results) {
  FetchedConfiguration fetched;
  fetched.digest.version = results.getVersion();
  if (results.getConfirmationAgeMs() != kNeverConfirmed) {
    fetched.digest.confirmation_age = std::chrono::milliseconds(results.getConfirmationAgeMs());
  }
  const capnp::Data::Reader document = results.getDocument();
  fetched.document.assign(document.asChars().begin(), document.size());
  return fetched;
}

}  // namespace

// kj interfaces have no virtual destructor; State is destroyed as its concrete type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

struct RpcPeerFetcher::State final : kj::TaskSet::ErrorHandler {
  explicit State(rpc::EventLoopThread& event_loop) : loop(event_loop) {}
  virtual ~State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  // The completion of a failed fetch has already reported the empty result.
  void taskFailed(kj::Exception&& /*exception*/) override {}

  // Connects and calls `use` with the peer's service; the promise that `use` returns ends the
  // fetch.
  template <typename Result, typename Use>
  void Start(const std::string& address, std::shared_ptr<Completion<Result>> completion, Use use) {
    if (!tasks || running >= kMaxFetches) {
      completion->Finish(std::nullopt);
      return;
    }
    ++running;
    kj::Promise<void> fetch =
        loop.Io()
            .getNetwork()
            .parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> parsed) {
              kj::Promise<kj::Own<kj::AsyncIoStream>> connected = parsed->connect();
              return connected.attach(kj::mv(parsed));
            })
            .then([use = std::move(use)](kj::Own<kj::AsyncIoStream> stream) mutable {
              auto connection = kj::heap<Connection>(kj::mv(stream));
              kj::Promise<void> used = use(connection->Peer());
              return used.attach(kj::mv(connection));
            });
    tasks->add(loop.Timer()
                   .timeoutAfter(kTimeout, kj::mv(fetch))
                   .attach(kj::defer([this, completion = std::move(completion)] {
                     --running;
                     completion->Finish(std::nullopt);
                   })));
  }

  rpc::EventLoopThread& loop;
  std::unique_ptr<kj::TaskSet> tasks;
  std::size_t running = 0;
};

#pragma GCC diagnostic pop

RpcPeerFetcher::RpcPeerFetcher(rpc::EventLoopThread& loop)
    : m_loop(loop), m_state(std::make_shared<State>(loop)) {
  m_loop.Run([this] { m_state->tasks = std::make_unique<kj::TaskSet>(*m_state); });
}

RpcPeerFetcher::~RpcPeerFetcher() {
  m_loop.Run([this] { m_state->tasks.reset(); });
}

void RpcPeerFetcher::FetchMembers(const std::string& rpc_address, MembersDone done) {
  m_loop.Post([state = m_state, rpc_address, done = std::move(done)] {
    auto completion = std::make_shared<Completion<std::vector<Member>>>(done);
    state->Start(rpc_address, completion, [completion](schema::PeerService::Client peer) {
      return peer.membersRequest().send().then([completion](auto&& response) {
        completion->Finish(DecodeMembers(response.getMembers()));
      });
    });
  });
}

void RpcPeerFetcher::FetchConfiguration(const std::string& rpc_address,
                                        records::ConfigurationVersion after,
                                        ConfigurationDone done) {
  m_loop.Post([state = m_state, rpc_address, after, done = std::move(done)] {
    auto completion = std::make_shared<Completion<FetchedConfiguration>>(done);
    state->Start(rpc_address, completion, [completion, after](schema::PeerService::Client peer) {
      auto request = peer.configurationRequest();
      request.setAfterVersion(after);
      return request.send().then([completion](auto&& response) {
        const schema::PeerService::ConfigurationResults::Reader& results = response;
        completion->Finish(DecodeConfiguration(results));
      });
    });
  });
}

}  // namespace wagtailwind::gossip
