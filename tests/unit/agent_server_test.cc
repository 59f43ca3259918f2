#include "agent/agent_server.h"

#include <capnp/ez-rpc.h>
#include <criterion/criterion.h>

#include <string>
#include <thread>

#include "support/fake_agent.h"

namespace {

using wagtailwind::agent::AgentServer;
using wagtailwind::agent::StoredAnswer;
using wagtailwind::endpoint::TransferEnd;
using wagtailwind::requests::FailureReason;
using wagtailwind::rpc::EventLoopThread;
using wagtailwind::testing::FakeAgent;
using wagtailwind::testing::kAgentIncarnation;
namespace schema = wagtailwind::rpc::schema;

constexpr std::string_view kAnswer = "data: {}\n\ndata: [DONE]\n\n";

/// Data that a sink has received.
struct Received {
  std::string bytes;
  std::uint64_t first_offset = 0;
  bool in_order = true;
  bool complete = false;
  std::uint8_t reason = 0;
  std::uint64_t total_bytes = 0;
  kj::PromiseFulfillerPair<void> ended = kj::newPromiseAndFulfiller<void>();
};

class Sink final : public schema::AnswerSink::Server {
 public:
  explicit Sink(Received& received) : m_received(received) {}
  virtual ~Sink() = default;

 protected:
  kj::Promise<void> head(HeadContext /*context*/) override { return kj::READY_NOW; }

  kj::Promise<void> chunk(ChunkContext context) override {
    const auto parameters = context.getParams();
    if (m_received.bytes.empty()) {
      m_received.first_offset = parameters.getOffset();
    }
    m_received.in_order =
        m_received.in_order &&
        parameters.getOffset() == m_received.first_offset + m_received.bytes.size();
    m_received.bytes.append(parameters.getData().asChars().begin(), parameters.getData().size());
    return kj::READY_NOW;
  }

  kj::Promise<void> end(EndContext context) override {
    const auto end = context.getParams().getEnd();
    m_received.complete = end.getComplete();
    m_received.reason = end.getReason();
    m_received.total_bytes = end.getTotalBytes();
    m_received.ended.fulfiller->fulfill();
    return kj::READY_NOW;
  }

 private:
  Received& m_received;
};

/// An agent server and an RPC client on the test's thread.
struct Fixture {
  Fixture()
      : server(loop, *agent.flow, "127.0.0.1:0"),
        client(server.Address()),
        bootstrap(client.getMain<schema::Bootstrap>()),
        service(bootstrap.agentRequest().send().getAgent()) {}

  auto ExecuteRequest(Received& received, bool is_pickup = false) {
    auto request = service.executeRequest();
    auto call = request.initCall();
    const wagtailwind::RequestId id = agent.random.NewRequestId();
    call.setRequestId(capnp::Data::Reader(id.data(), id.size()));
    call.setAttempt(1);
    call.setAgentIncarnation(kAgentIncarnation);
    call.setOrganisation("kandy");
    call.setDeadlineMs(60'000);
    if (is_pickup) {
      call.setRequestKey(agent.NewKey());
      auto plain = call.initService();
      plain.setService("returns-api");
      plain.setMethod("POST");
      plain.setPath("/pickups");
    } else {
      auto chat = call.initChat();
      chat.setModel("m");
      chat.setStream(true);
    }
    request.setSink(kj::heap<Sink>(received));
    return request;
  }

  auto Resume(Received& received, const std::string& id, const std::string& organisation,
              std::uint64_t offset) {
    auto request = service.resumeRequest();
    request.setAnswerId(id);
    request.setOrganisation(organisation);
    request.setOffset(offset);
    request.setSink(kj::heap<Sink>(received));
    return request.send().wait(client.getWaitScope());
  }

  EventLoopThread loop;
  FakeAgent agent;
  AgentServer server;
  capnp::EzRpcClient client;
  schema::Bootstrap::Client bootstrap;
  schema::AgentService::Client service;
};

}  // namespace

// Guards against bytes that are lost between agent and router, and against a resume that starts at
// a wrong offset or is allowed to another organisation.
Test(agent_server, delivers_and_resumes_an_answer) {
  Fixture fixture;
  Received received;
  auto admitted = fixture.ExecuteRequest(received).send().wait(fixture.client.getWaitScope());
  cr_assert(admitted.getAdmission().isAdmitted());
  const std::string id = admitted.getAdmission().getAdmitted().cStr();
  const auto engine = fixture.agent.engine.sinks.back();
  engine->OnAccepted(200, "e1.1", 0);
  // Exceeds one RPC window.
  std::string expected;
  for (int i = 0; i < 50; ++i) {
    const std::string event = "data: " + std::string(10'000, static_cast<char>('a' + i % 26));
    engine->OnData(event);
    expected += event;
  }
  engine->OnData(kAnswer);
  expected += kAnswer;
  engine->OnEnd(TransferEnd::kComplete);
  received.ended.promise.wait(fixture.client.getWaitScope());
  cr_assert(received.complete);
  cr_assert(received.in_order);
  cr_assert_eq(received.total_bytes, expected.size());
  cr_assert(received.bytes == expected);

  Received resumed;
  cr_assert(fixture.Resume(resumed, id, "kandy", 100).getFound());
  resumed.ended.promise.wait(fixture.client.getWaitScope());
  cr_assert_eq(resumed.first_offset, 100);
  cr_assert(resumed.bytes == expected.substr(100));
  Received none;
  cr_assert_not(fixture.Resume(none, id, "clearview", 0).getFound());
  cr_assert_not(fixture.Resume(none, "unknown", "kandy", 0).getFound());
  cr_assert_not(fixture.Resume(none, id, "kandy", expected.size() + 1).getFound());
  cr_assert(fixture.server.Drain(std::chrono::seconds(60)));
}

// Guards against a call that is sent although its router dropped it before the decision.
Test(agent_server, a_call_dropped_before_its_claim_is_not_sent) {
  Fixture fixture;
  Received received;
  fixture.agent.claims.hold = true;
  {
    auto pending = fixture.ExecuteRequest(received, true).send();
    // The answer to a later call shows that the first call has arrived.
    (void)fixture.Resume(received, "unknown", "kandy", 0);
  }
  (void)fixture.Resume(received, "unknown", "kandy", 0);
  fixture.agent.claims.Answer();
  cr_assert_eq(fixture.agent.claims.abandoned, 1);
  cr_assert(fixture.agent.service.calls.empty());
}

// Guards against a stop that never ends, or that ends a stream without a failure reason.
Test(agent_server, a_stop_past_its_bound_ends_streams_with_a_reason) {
  Fixture fixture;
  Received received;
  auto admitted = fixture.ExecuteRequest(received).send().wait(fixture.client.getWaitScope());
  fixture.agent.engine.sinks.back()->OnAccepted(200, "e1.1", 0);
  bool clean = true;
  std::thread stop([&] { clean = fixture.server.Drain(std::chrono::milliseconds(0)); });
  received.ended.promise.wait(fixture.client.getWaitScope());
  stop.join();
  cr_assert_not(clean);
  cr_assert_eq(received.reason, static_cast<std::uint8_t>(FailureReason::kShutdownTimeout));
  Received refused;
  auto second = fixture.ExecuteRequest(refused).send().wait(fixture.client.getWaitScope());
  cr_assert(second.getAdmission().isRefused());
  cr_assert(second.getAdmission().getRefused().getOutcome() == schema::Outcome::NOT_RUN);
}

// Guards against a cancellation that does not reach the engine, and against running a malformed
// call.
Test(agent_server, cancel_ends_the_engines_stream) {
  Fixture fixture;
  Received received;
  auto admitted = fixture.ExecuteRequest(received).send().wait(fixture.client.getWaitScope());
  fixture.agent.engine.sinks.back()->OnAccepted(200, "e1.1", 0);
  admitted.getHandle().cancelRequest().send().wait(fixture.client.getWaitScope());
  cr_assert_eq(fixture.agent.engine.cancelled.size(), 1);
  cr_assert_eq(fixture.agent.flow->Running(), 0);
  auto malformed = fixture.ExecuteRequest(received);
  malformed.getCall().setRequestId(capnp::Data::Reader(nullptr, 0));
  cr_assert(malformed.send().wait(fixture.client.getWaitScope()).getAdmission().isRefused());
  cr_assert_eq(fixture.agent.engine.generated.size(), 1);
}
