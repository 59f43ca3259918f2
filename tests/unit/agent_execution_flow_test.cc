#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "support/fake_agent.h"

namespace {

using wagtailwind::ChatId;
using wagtailwind::EndpointName;
using wagtailwind::agent::AgentCall;
using wagtailwind::agent::AnswerEnd;
using wagtailwind::endpoint::TransferEnd;
using wagtailwind::requests::ClaimResult;
using wagtailwind::requests::FailureReason;
using wagtailwind::requests::Outcome;
using wagtailwind::testing::FakeAgent;

constexpr std::string_view kDone = "data: {}\n\ndata: [DONE]\n\n";

void AssertRefused(const FakeAgent& agent, FailureReason reason, Outcome outcome) {
  cr_assert(agent.last.has_value());
  cr_assert_null(agent.last->answer.get());
  cr_assert(agent.last->refusal.reason == reason);
  cr_assert(agent.last->refusal.outcome == outcome);
  cr_assert_eq(agent.flow->Running(), 0);
  cr_assert_eq(agent.gate.Load().requests, 0, "a reservation was not released");
}

AnswerEnd EndOf(const FakeAgent& agent) { return agent.last->answer->End().value(); }

}  // namespace

// Guards against engine calls for an attempt that is reported as "not run".
Test(execution_flow, refused_attempts_cost_no_engine_call) {
  FakeAgent agent;
  wagtailwind::placement::AdmissionDecision refusal;
  refusal.reason = FailureReason::kOverBound;
  refusal.redirects = {EndpointName("endpoint-2")};
  agent.gate.RefuseWith(refusal);
  agent.Execute(agent.ChatCall());
  AssertRefused(agent, FailureReason::kOverBound, Outcome::kNotRun);
  cr_assert_eq(agent.last->refusal.redirects.size(), 1);
  agent.gate.RefuseWith({});
  AgentCall call = agent.ChatCall();
  call.agent_incarnation += 1;
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kNotReady, Outcome::kNotRun);
  call = agent.ChatCall();
  call.deadline = std::chrono::milliseconds(0);
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kDeadlineExceeded, Outcome::kNotRun);
  agent.homes.Set(call.organisation, ChatId("chat-1"), EndpointName("endpoint-3"));
  call = agent.ChatCall();
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kRedirected, Outcome::kNotRun);
  cr_assert(agent.engine.generated.empty());
  // A request that was redirected and came back is served.
  call.id.attempt = 2;
  agent.Execute(call);
  cr_assert_eq(agent.engine.generated.size(), 1);
  cr_assert_eq(agent.homes.Size(), 0);
}

// Guards against a call that is sent without a durable claim, and against reporting "not run" for a
// key that another attempt may have used.
Test(execution_flow, calls_without_a_claim_are_not_sent) {
  FakeAgent agent;
  agent.claims.result = ClaimResult::kUnavailable;
  agent.Execute(agent.PickupCall());
  AssertRefused(agent, FailureReason::kPlatformUnavailable, Outcome::kNotRun);
  agent.claims.result = ClaimResult::kTaken;
  agent.Execute(agent.PickupCall());
  AssertRefused(agent, FailureReason::kRequestKeyAlreadyUsed, Outcome::kUnknown);
  AgentCall call = agent.PickupCall();
  call.request_key.clear();
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kMissingRequestKey, Outcome::kNotRun);
  call = agent.PickupCall();
  agent.clock.Advance(std::chrono::hours(24));
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kRequestKeyExpired, Outcome::kUnknown);
  cr_assert_eq(agent.claims.claims, 2);
  cr_assert(agent.service.calls.empty());
}

// Guards against a call that is sent although it has been or will be reported as "not run".
Test(execution_flow, calls_cancelled_or_late_after_the_claim_are_not_sent) {
  FakeAgent agent;
  agent.claims.hold = true;
  const AgentCall cancelled = agent.PickupCall();
  agent.Execute(cancelled);
  cr_assert_not(agent.last.has_value());
  agent.flow->CancelUndecided(cancelled.id);
  agent.claims.Answer();
  AssertRefused(agent, FailureReason::kCancelled, Outcome::kNotRun);
  agent.Execute(agent.PickupCall());
  agent.clock.Advance(std::chrono::minutes(1));
  agent.claims.Answer();
  AssertRefused(agent, FailureReason::kDeadlineExceeded, Outcome::kNotRun);
  cr_assert_eq(agent.claims.abandoned, 2);
  cr_assert(agent.service.calls.empty());
  // The same key may be used again, and then the call is sent.
  agent.claims.hold = false;
  AgentCall again = cancelled;
  again.id.attempt = 2;
  agent.Execute(again);
  cr_assert(EndOf(agent).complete);
  cr_assert_eq(agent.service.calls.size(), 1);
}

// Guards against sending a call twice for a repeated key or a duplicated message, and against
// returning the answer of another call.
Test(execution_flow, repeated_keys_and_duplicated_messages_send_once) {
  FakeAgent agent;
  AgentCall call = agent.PickupCall();
  agent.Execute(call);
  const auto answer = agent.last->answer;
  cr_assert_eq(answer->Read(0, 100).bytes, "confirmed");
  agent.Execute(call);
  cr_assert(agent.last->answer == answer, "duplicated message");
  call.id = {agent.random.NewRequestId(), 1, 6};
  agent.Execute(call);
  cr_assert(agent.last->answer == answer, "repeated key");
  call.id.attempt = 2;
  std::get<wagtailwind::agent::PlainCall>(call.target).body = "other";
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kRequestKeyAlreadyUsed, Outcome::kUnknown);
  call = agent.PickupCall();
  call.organisation = wagtailwind::OrganisationName("clearview");
  agent.Execute(call);
  cr_assert(agent.last->answer != answer);
  cr_assert_eq(agent.service.calls.size(), 2);
}

// Guards against a call with an unknown outcome that is reported as "not run", or sent again, when
// its key is repeated.
Test(execution_flow, a_lost_call_stays_unknown_and_an_unsent_one_frees_its_key) {
  FakeAgent agent;
  agent.service.answer = {TransferEnd::kConnectionLost, 0, {}, ""};
  AgentCall call = agent.PickupCall();
  agent.Execute(call);
  cr_assert(EndOf(agent).outcome == Outcome::kUnknown);
  call.id.attempt = 2;
  agent.Execute(call);
  AssertRefused(agent, FailureReason::kRequestKeyAlreadyUsed, Outcome::kUnknown);
  cr_assert_eq(agent.service.calls.size(), 1);
  cr_assert_eq(agent.claims.abandoned, 0);
  agent.service.answer = {TransferEnd::kNotSent, 0, {}, ""};
  agent.Execute(agent.PickupCall());
  cr_assert(EndOf(agent).outcome == Outcome::kNotRun);
  cr_assert_eq(agent.claims.abandoned, 1);
}

// Guards against a gate that stays open while the service can't be reached, that stays closed after
// the service is reachable again, or that is closed by calls that can't be written as HTTP.
Test(execution_flow, an_unreachable_service_closes_the_gate_until_a_probe_gets_through) {
  FakeAgent agent;
  agent.service.answer = {TransferEnd::kNotSent, 0, {}, "", false};
  for (int i = 0; i < 5; ++i) {
    agent.Execute(agent.PickupCall());
  }
  cr_assert(agent.gate.Healthy());
  agent.service.answer = {TransferEnd::kNotSent, 0, {}, "", true};
  agent.Execute(agent.PickupCall());
  agent.Execute(agent.PickupCall());
  cr_assert(agent.gate.Healthy());
  agent.Execute(agent.PickupCall());
  cr_assert_not(agent.gate.Healthy());
  agent.flow->Tick();
  cr_assert_not(agent.gate.Healthy(), "the gate was opened for a probe too early");

  agent.clock.Advance(std::chrono::seconds(2));
  agent.flow->Tick();
  cr_assert(agent.gate.Healthy());
  agent.Execute(agent.PickupCall());
  cr_assert_not(agent.gate.Healthy(), "the gate stayed open after a failed probe");

  agent.clock.Advance(std::chrono::seconds(2));
  agent.flow->Tick();
  agent.service.answer = {TransferEnd::kComplete, 200, {}, "confirmed"};
  agent.Execute(agent.PickupCall());
  agent.service.answer = {TransferEnd::kNotSent, 0, {}, ""};
  agent.Execute(agent.PickupCall());
  cr_assert(agent.gate.Healthy(), "the failure count was not reset by a success");
}

// Guards against joining two generations: a stream is resumed only if the engine still knows it,
// and the body of a refused resume is not added to the answer.
Test(execution_flow, a_lost_stream_resumes_on_the_same_engine_or_ends) {
  FakeAgent agent;
  agent.Execute(agent.ChatCall());
  auto sink = agent.engine.sinks.back();
  sink->OnAccepted(200, "e1.1", 12);
  sink->OnData("data: {}\n\n");
  sink->OnEnd(TransferEnd::kConnectionLost);
  cr_assert_eq(agent.engine.resumed.at(0).first, "e1.1");
  cr_assert_eq(agent.engine.resumed.at(0).second, 10);
  sink->OnAccepted(200, "e1.1", 0);
  sink->OnData(kDone);
  sink->OnEnd(TransferEnd::kComplete);
  cr_assert(EndOf(agent).complete);
  const auto part = agent.last->answer->Read(0, 1000);
  cr_assert_eq(part.bytes, "data: {}\n\n" + std::string(kDone));
  cr_assert_eq(part.head->cached_tokens, 12);

  agent.Execute(agent.ChatCall());
  sink = agent.engine.sinks.back();
  sink->OnAccepted(200, "e1.2", 0);
  sink->OnData("data: {}\n\n");
  sink->OnEnd(TransferEnd::kConnectionLost);
  sink->OnAccepted(404, "", 0);
  sink->OnData(kDone);
  sink->OnEnd(TransferEnd::kComplete);
  cr_assert(EndOf(agent).reason == FailureReason::kEngineLost);
  cr_assert_eq(agent.last->answer->Read(0, 1000).bytes, "data: {}\n\n");
  cr_assert_eq(agent.engine.generated.size(), 2);
}

// Guards against a truncated or malformed answer that is reported as complete.
Test(execution_flow, answers_that_are_not_whole_are_reported_so) {
  FakeAgent agent;
  for (const bool stream : {true, false}) {
    agent.Execute(agent.ChatCall(stream));
    const auto sink = agent.engine.sinks.back();
    sink->OnAccepted(200, "e1.1", 0);
    sink->OnData(stream ? "data: {}\n\n" : "{\"id\":");
    sink->OnEnd(TransferEnd::kComplete);
    cr_assert_not(EndOf(agent).complete);
    cr_assert(EndOf(agent).outcome == Outcome::kUnknown);
  }
  agent.Execute(agent.ChatCall());
  agent.engine.sinks.back()->OnEnd(TransferEnd::kNotSent);
  cr_assert(EndOf(agent).outcome == Outcome::kNotRun);
}

// Guards against generations that continue without a reader, and against losing the answer of a
// caller that may retry with its request key.
Test(execution_flow, generations_end_when_nobody_reads_them) {
  FakeAgent agent;
  agent.Execute(agent.ChatCall());
  agent.last->execution->Cancel();
  cr_assert(agent.engine.cancelled.empty(), "the stream id is not known yet");
  agent.engine.sinks.back()->OnAccepted(200, "e1.1", 0);
  cr_assert(EndOf(agent).reason == FailureReason::kCancelled);

  AgentCall call = agent.ChatCall();
  call.request_key = agent.NewKey();
  agent.Execute(call);
  agent.engine.sinks.back()->OnAccepted(200, "e1.2", 0);
  const auto reader = agent.last->answer->AddReader([] {});
  agent.last->execution->Cancel();
  agent.clock.Advance(std::chrono::seconds(40));
  agent.flow->Tick();
  cr_assert_eq(agent.flow->Running(), 1);
  agent.last->answer->RemoveReader(reader);
  agent.clock.Advance(std::chrono::seconds(29));
  agent.flow->Tick();
  cr_assert_eq(agent.flow->Running(), 1);
  agent.clock.Advance(std::chrono::seconds(1));
  agent.flow->Tick();
  cr_assert_eq(agent.flow->Running(), 0);
  cr_assert_eq(agent.engine.cancelled.size(), 2);
}

// Guards against admitting new attempts during a graceful stop, and against a stop that truncates
// running answers without an error for the caller.
Test(execution_flow, a_stop_refuses_new_work_and_lets_the_rest_finish) {
  FakeAgent agent;
  agent.Execute(agent.ChatCall());
  const auto running = agent.last->answer;
  agent.engine.sinks.back()->OnAccepted(200, "e1.1", 0);
  agent.flow->BeginStop();
  agent.Execute(agent.ChatCall());
  cr_assert(agent.last->refusal.reason == FailureReason::kDraining);
  agent.engine.sinks.back()->OnData(kDone);
  cr_assert_not(agent.flow->WaitIdle(std::chrono::milliseconds(0)));
  agent.engine.sinks.back()->OnEnd(TransferEnd::kComplete);
  cr_assert(agent.flow->WaitIdle(std::chrono::milliseconds(0)));
  cr_assert(running->End()->complete);
}

// Guards against streams that end without a failure reason when the stop times out.
Test(execution_flow, an_abort_ends_streams_with_its_reason) {
  FakeAgent agent;
  agent.Execute(agent.ChatCall());
  agent.engine.sinks.back()->OnAccepted(200, "e1.1", 0);
  agent.flow->AbortAll(FailureReason::kShutdownTimeout);
  cr_assert(EndOf(agent).reason == FailureReason::kShutdownTimeout);
  cr_assert_eq(agent.engine.cancelled.size(), 1);
  cr_assert_eq(agent.flow->Running(), 0);
}
