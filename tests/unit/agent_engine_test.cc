#include <criterion/criterion.h>

#include <csignal>
#include <memory>
#include <string>

#include "agent/endpoint_health.h"
#include "agent/endpoint_orders.h"
#include "endpoint/http_model_engine.h"
#include "support/fake_agent.h"
#include "support/fake_key_value_service.h"
#include "support/stand_in_process.h"

namespace {

using wagtailwind::ModelName;
using wagtailwind::agent::AgentCall;
using wagtailwind::agent::StoredAnswer;
using wagtailwind::endpoint::HttpModelEngine;
using wagtailwind::endpoint::TransferLoop;
using wagtailwind::requests::FailureReason;
using wagtailwind::testing::FakeAgent;
using wagtailwind::testing::FakeKeyValueService;
using wagtailwind::testing::StandInProcess;

/// Waits until an answer has ended or, without `until_end`, until it has bytes.
void AwaitAnswer(StoredAnswer& answer, bool until_end) {
  absl::Mutex mutex;
  std::uint64_t changes = 0;
  const std::uint64_t reader = answer.AddReader([&] {
    const absl::MutexLock lock(&mutex);
    ++changes;
  });
  std::uint64_t seen = 0;
  while (!(answer.End() || (!until_end && answer.Size() > 0))) {
    const auto changed = [&] { return changes > seen; };
    const absl::MutexLock lock(&mutex, absl::Condition(&changed));
    seen = changes;
  }
  answer.RemoveReader(reader);
}

/// Counts the generations in the history whose id occurs in the text.
std::size_t CountGenerations(const std::vector<std::string>& history, const std::string& text) {
  std::size_t count = 0;
  for (const std::string& line : history) {
    const std::size_t start = line.find("\"id\":\"") + 6;
    const std::string id = line.substr(start, line.find('"', start) - start);
    count += text.find("/" + id + "/") != std::string::npos ? 1 : 0;
  }
  return count;
}

struct EngineAgent {
  explicit EngineAgent(const std::vector<std::string>& options)
      : stand_in("engine_stand_in", options), engine(stand_in.Address(), loop), agent(&engine) {}

  TransferLoop loop;
  StandInProcess stand_in;
  HttpModelEngine engine;
  FakeAgent agent;
};

}  // namespace

// Guards against bytes that are lost, repeated or taken from another generation when a stream is
// resumed.
Test(agent_engine, a_cut_stream_is_resumed_without_gap_or_splice) {
  EngineAgent fixture({"--token-us", "200"});
  fixture.stand_in.Control(R"({"cut_next":2,"cut_after_bytes":1500})");
  fixture.agent.Execute(fixture.agent.ChatCall());
  StoredAnswer& answer = *fixture.agent.last->answer;
  AwaitAnswer(answer, true);
  cr_assert(answer.End()->complete);
  const std::string text = answer.Read(0, 1U << 20U).bytes;
  for (int token = 0; token < 40; ++token) {
    const std::string token_text = "/" + std::to_string(token) + "\"}";
    cr_assert_neq(text.find(token_text), std::string::npos, "token %d is missing", token);
    cr_assert_eq(text.find(token_text), text.rfind(token_text), "token %d is repeated", token);
  }
  cr_assert_eq(CountGenerations(fixture.stand_in.History(), text), 1);
  cr_assert_eq(fixture.agent.metrics.GetCounter("agent_stream_resumes_total").value(), 2);
}

// Guards against a stream that hangs, or is reported as complete, when its engine is killed.
Test(agent_engine, a_killed_engine_ends_the_stream_as_engine_lost) {
  EngineAgent fixture({"--token-us", "1000", "--default-tokens", "10000000"});
  AgentCall call = fixture.agent.ChatCall();
  std::get<wagtailwind::agent::ChatCall>(call.target).body =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";
  fixture.agent.Execute(call);
  StoredAnswer& answer = *fixture.agent.last->answer;
  AwaitAnswer(answer, false);
  fixture.stand_in.Process().Signal(SIGKILL);
  AwaitAnswer(answer, true);
  cr_assert_not(answer.End()->complete);
  cr_assert(answer.End()->reason == FailureReason::kEngineLost);
}

// Guards against an engine restart between two health checks that is not detected.
Test(agent_engine, a_restart_makes_the_endpoint_unhealthy_for_a_moment) {
  EngineAgent fixture({});
  int restarts = 0;
  wagtailwind::agent::EndpointHealth health(fixture.engine, fixture.agent.gate,
                                            fixture.agent.metrics, [&restarts] { ++restarts; });
  health.Check();
  cr_assert_not(fixture.agent.gate.WasUnhealthy());
  fixture.stand_in.Control(R"({"restart":true})");
  health.Check();
  cr_assert_eq(restarts, 1);
  cr_assert(fixture.agent.gate.WasUnhealthy());
  cr_assert(fixture.agent.gate.Healthy());
  fixture.stand_in.Process().Signal(SIGKILL);
  fixture.stand_in.Process().Wait();
  health.Check();
  cr_assert_not(fixture.agent.gate.Healthy());
}

// Guards against an agent that does not report the prompt tokens found in the engine's prefix
// cache.
Test(agent_engine, a_returning_chat_finds_its_prefix_in_the_cache) {
  EngineAgent fixture({"--token-us", "100"});
  AgentCall call = fixture.agent.ChatCall(false);
  fixture.agent.Execute(call);
  StoredAnswer& first = *fixture.agent.last->answer;
  AwaitAnswer(first, true);
  const std::string body = first.Read(0, 1U << 20U).bytes;
  const std::size_t start = body.find("\"content\":\"") + 11;
  const std::string reply = body.substr(start, body.find('"', start) - start);
  call = fixture.agent.ChatCall(false);
  std::get<wagtailwind::agent::ChatCall>(call.target).body =
      R"({"model":"m","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":")" +
      reply + R"("},{"role":"user","content":"more"}]})";
  fixture.agent.Execute(call);
  StoredAnswer& second = *fixture.agent.last->answer;
  AwaitAnswer(second, true);
  cr_assert_eq(first.Read(0, 0).head->cached_tokens, 0);
  cr_assert_gt(second.Read(0, 0).head->cached_tokens, 100);
}

// Guards against two processes that send orders to one engine: the older process must stop, whether
// or not the engine checks the fencing number.
Test(agent_engine, orders_carry_a_raised_fence_and_an_older_process_stops) {
  FakeKeyValueService key_values;
  FakeAgent agent;
  const wagtailwind::EndpointName endpoint("endpoint-1");
  wagtailwind::agent::EndpointOrders older(endpoint, agent.engine, key_values, agent.random);
  older.SetTarget(ModelName("m"), "v1");
  cr_assert_not(older.Apply(), "an order was sent before the fence was raised");
  key_values.SetDown(true);
  cr_assert_not(older.RaiseFence());
  key_values.SetDown(false);
  cr_assert(older.RaiseFence());
  cr_assert(older.Apply());
  wagtailwind::agent::EndpointOrders newer(endpoint, agent.engine, key_values, agent.random);
  newer.SetTarget(ModelName("m"), "v2");
  cr_assert(newer.RaiseFence());
  cr_assert_not(older.Apply());
  cr_assert_not(older.RaiseFence(), "a process that lost the fence raised it again");
  cr_assert(newer.Apply());
  cr_assert_eq(agent.engine.orders.size(), 2);
  cr_assert_eq(agent.engine.orders[0].second, 1);
  cr_assert_eq(agent.engine.orders[1].second, 2);
}

// Guards against a stand-in engine that accepts an old fencing number although it is configured to
// check it.
Test(agent_engine, a_checking_engine_refuses_an_old_order) {
  EngineAgent fixture({"--check-fencing"});
  cr_assert(fixture.engine.RequestModelLoad(ModelName("m"), "v2", 5));
  cr_assert_not(fixture.engine.RequestModelLoad(ModelName("m"), "v1", 4));
}
