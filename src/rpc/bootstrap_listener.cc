#include "rpc/bootstrap_listener.h"

#include <capnp/rpc-twoparty.h>

#include <optional>
#include <utility>

#include "http/server.h"
#include "http/socket_address.h"

namespace wagtailwind::rpc {

namespace {

class BootstrapServer final : public schema::Bootstrap::Server {
 public:
  explicit BootstrapServer(BootstrapServices services) : m_services(std::move(services)) {}
  virtual ~BootstrapServer() = default;

 protected:
  kj::Promise<void> agent(AgentContext context) override {
    if (!m_services.agent) {
      return KJ_EXCEPTION(UNIMPLEMENTED, "this process is not an agent");
    }
    context.getResults().setAgent(m_services.agent());
    return kj::READY_NOW;
  }

  kj::Promise<void> peer(PeerContext context) override {
    if (!m_services.peer) {
      return KJ_EXCEPTION(UNIMPLEMENTED, "this process has no peer service");
    }
    context.getResults().setPeer(m_services.peer());
    return kj::READY_NOW;
  }

 private:
  const BootstrapServices m_services;
};

}  // namespace

/// Objects that are used on the event loop only.
struct BootstrapListener::State {
  void Listen(EventLoopThread& loop, const http::SocketAddress& address,
              BootstrapServices services) {
    receiver = loop.Io().getNetwork().getSockaddr(address.Get(), address.Size())->listen();
    port = receiver->getPort();
    server = kj::heap<capnp::TwoPartyServer>(kj::heap<BootstrapServer>(std::move(services)));
    listening = server->listen(*receiver).eagerlyEvaluate([](const kj::Exception& /*error*/) {});
  }

  void Close() {
    listening = nullptr;
    server = nullptr;
    receiver = nullptr;
  }

  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> listening = nullptr;
  unsigned int port = 0;
};

BootstrapListener::BootstrapListener(EventLoopThread& loop, std::string_view address,
                                     BootstrapServices services)
    : m_loop(loop), m_state(std::make_shared<State>()) {
  const http::SocketAddress socket_address = http::ParseSocketAddress(address);
  std::optional<std::string> failure;
  m_loop.Run([&] {
    KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] {
                   m_state->Listen(m_loop, socket_address, std::move(services));
                 })) {
      failure = error->getDescription().cStr();
      m_state->Close();
    }
  });
  if (failure) {
    throw http::ListenFailed("can't listen on " + std::string(address) + ": " + *failure);
  }
  m_address = socket_address.HostText() + ":" + std::to_string(m_state->port);
}

BootstrapListener::~BootstrapListener() {
  m_loop.Run([this] { m_state->Close(); });
}

}  // namespace wagtailwind::rpc
