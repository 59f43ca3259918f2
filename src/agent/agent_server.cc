#include "agent/agent_server.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "agent/agent_service.h"
#include "agent/delivery_table.h"
#include "agent/log_events.h"
#include "http/server.h"
#include "http/socket_address.h"

namespace wagtailwind::agent {

namespace {

constexpr std::chrono::milliseconds kLastDelivery{2'000};

class BootstrapService final : public rpc::schema::Bootstrap::Server {
 public:
  BootstrapService(rpc::schema::AgentService::Client agent, AgentServer::PeerFactory peer)
      : m_agent(kj::mv(agent)), m_peer(std::move(peer)) {}
  virtual ~BootstrapService() = default;

 protected:
  kj::Promise<void> agent(AgentContext context) override {
    context.getResults().setAgent(m_agent);
    return kj::READY_NOW;
  }

  kj::Promise<void> peer(PeerContext context) override {
    if (!m_peer) {
      return KJ_EXCEPTION(UNIMPLEMENTED, "this process has no peer service");
    }
    context.getResults().setPeer(m_peer());
    return kj::READY_NOW;
  }

 private:
  rpc::schema::AgentService::Client m_agent;
  AgentServer::PeerFactory m_peer;
};

}  // namespace

/// Objects on the event loop.
struct AgentServer::State {
  State(rpc::EventLoopThread& event_loop, ExecutionFlow& execution_flow)
      : loop(event_loop),
        flow(execution_flow),
        deliveries(std::make_shared<DeliveryTable>(event_loop)) {}

  void Listen(const std::string& address, PeerFactory peer) {
    const http::SocketAddress socket_address = http::ParseSocketAddress(address);
    receiver =
        loop.Io().getNetwork().getSockaddr(socket_address.Get(), socket_address.Size())->listen();
    port = receiver->getPort();
    server = kj::heap<capnp::TwoPartyServer>(kj::heap<BootstrapService>(
        kj::heap<AgentService>(loop, flow, deliveries), std::move(peer)));
    listening = server->listen(*receiver).eagerlyEvaluate([](const kj::Exception& /*error*/) {});
    ticking = Tick().eagerlyEvaluate([](const kj::Exception& /*error*/) {});
  }

  kj::Promise<void> Tick() {
    return loop.Timer().afterDelay(1 * kj::SECONDS).then([this] {
      flow.Tick();
      return Tick();
    });
  }

  void Close() {
    ticking = nullptr;
    listening = nullptr;
    deliveries->StopAll();
    server = nullptr;
    receiver = nullptr;
  }

  rpc::EventLoopThread& loop;
  ExecutionFlow& flow;
  std::shared_ptr<DeliveryTable> deliveries;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> listening = nullptr;
  kj::Promise<void> ticking = nullptr;
  unsigned int port = 0;
};

AgentServer::AgentServer(rpc::EventLoopThread& loop, ExecutionFlow& flow,
                         std::string_view listen_address, PeerFactory peer)
    : m_loop(loop), m_flow(flow), m_state(std::make_shared<State>(loop, flow)) {
  const std::string address(listen_address);
  const std::string host = http::ParseSocketAddress(address).HostText();
  std::optional<std::string> failure;
  m_loop.Run([&] {
    KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] { m_state->Listen(address, peer); })) {
      failure = error->getDescription().cStr();
    }
  });
  if (failure) {
    m_loop.Run([this] { m_state->Close(); });
    throw http::ListenFailed("can't listen on " + address + ": " + *failure);
  }
  m_address = host + ":" + std::to_string(m_state->port);
  Log(kAgentListening, {{"address", m_address}});
}

AgentServer::~AgentServer() {
  m_loop.Run([this] { m_state->Close(); });
}

bool AgentServer::Drain(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  m_flow.BeginStop();
  const bool idle = m_flow.WaitIdle(timeout);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (idle && m_state->deliveries->WaitEmpty(std::max(left, std::chrono::milliseconds(0)))) {
    return true;
  }
  Log(kStopBoundPassed,
      {{"running", m_flow.Running()}, {"deliveries", m_state->deliveries->Count()}});
  m_flow.AbortAll(requests::FailureReason::kShutdownTimeout);
  (void)m_state->deliveries->WaitEmpty(kLastDelivery);
  return false;
}

std::string AgentServer::DumpState() const {
  nlohmann::json state = nlohmann::json::parse(m_flow.DumpState());
  state["rpc"] = m_address;
  state["deliveries"] = m_state->deliveries->Count();
  return state.dump();
}

}  // namespace wagtailwind::agent
