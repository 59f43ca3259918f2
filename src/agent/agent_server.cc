#include "agent/agent_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/agent_service.h"
#include "agent/delivery_table.h"
#include "agent/log_events.h"
#include "core/mutant.h"

namespace wagtailwind::agent {

namespace {

constexpr std::chrono::milliseconds kAbortDeliveryTimeout{2'000};

}  // namespace

/// State that lives on the event loop.
struct AgentServer::State {
  State(rpc::EventLoopThread& event_loop, ExecutionFlow& execution_flow)
      : loop(event_loop),
        flow(execution_flow),
        deliveries(std::make_shared<DeliveryTable>(event_loop)) {}

  kj::Promise<void> Tick() {
    return loop.Timer().afterDelay(1 * kj::SECONDS).then([this] {
      flow.Tick();
      return Tick();
    });
  }

  void StartTicking() {
    ticking = Tick().eagerlyEvaluate([](const kj::Exception& /*error*/) {});
  }

  void Close() {
    ticking = nullptr;
    deliveries->StopAll();
  }

  rpc::EventLoopThread& loop;
  ExecutionFlow& flow;
  std::shared_ptr<DeliveryTable> deliveries;
  kj::Promise<void> ticking = nullptr;
};

AgentServer::AgentServer(rpc::EventLoopThread& loop, ExecutionFlow& flow,
                         std::string_view listen_address, PeerFactory peer)
    : m_loop(loop), m_flow(flow), m_state(std::make_shared<State>(loop, flow)) {
  rpc::BootstrapServices services;
  services.agent = [&loop, &flow, deliveries = m_state->deliveries] {
    return rpc::schema::AgentService::Client(kj::heap<AgentService>(loop, flow, deliveries));
  };
  services.peer = std::move(peer);
  m_listener = std::make_unique<rpc::BootstrapListener>(loop, listen_address, std::move(services));
  m_loop.Run([this] { m_state->StartTicking(); });
  Log(kAgentListening, {{"address", Address()}});
}

AgentServer::~AgentServer() {
  m_loop.Run([this] { m_state->Close(); });
}

bool AgentServer::Drain(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  m_flow.BeginStop();
  if (IsMutantEnabled("stop_does_not_wait")) {
    return true;
  }
  const bool idle = m_flow.WaitIdle(timeout);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (idle && m_state->deliveries->WaitEmpty(std::max(left, std::chrono::milliseconds(0)))) {
    return true;
  }
  Log(kStopTimedOut, {{"running", m_flow.Running()}, {"deliveries", m_state->deliveries->Count()}});
  m_flow.AbortAll(requests::FailureReason::kShutdownTimeout);
  (void)m_state->deliveries->WaitEmpty(kAbortDeliveryTimeout);
  return false;
}

std::string AgentServer::DumpState() const {
  nlohmann::json state = nlohmann::json::parse(m_flow.DumpState());
  state["rpc"] = Address();
  state["deliveries"] = m_state->deliveries->Count();
  return state.dump();
}

}  // namespace wagtailwind::agent
