#include <algorithm>
#include <string>

#include "histories/event_reader.h"
#include "histories/fault_plan.h"
#include "histories/request_checks.h"
#include "histories/verdict.h"

// Included last, because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::histories::Answer;
using wagtailwind::histories::Attempt;
using wagtailwind::histories::Call;
using wagtailwind::histories::CallKind;
using wagtailwind::histories::CheckRequests;
using wagtailwind::histories::Execution;
using wagtailwind::histories::FaultKind;
using wagtailwind::histories::History;
using wagtailwind::histories::MakeFaultPlan;
using wagtailwind::histories::ParsedEvents;
using wagtailwind::histories::ParseEvents;
using wagtailwind::histories::Verdict;
using wagtailwind::histories::Violation;
using wagtailwind::histories::Violations;

constexpr const char* kHash = "00000000000000aa";

std::string Tokens(std::uint32_t first, std::uint32_t end, const std::string& generation = "g.1") {
  std::string text;
  for (std::uint32_t n = first; n < end; ++n) {
    text += (n == 0 ? "" : " ") + std::string(kHash) + "/" + generation + "/" + std::to_string(n);
  }
  return text;
}

Attempt MakeAttempt(Answer answer, std::int64_t start_ms, const std::string& text = "") {
  Attempt attempt;
  attempt.answer_number = 1;
  attempt.start_ms = start_ms;
  attempt.answer = answer;
  attempt.text = text;
  attempt.is_complete = answer == Answer::kResult;
  return attempt;
}

Call MakeCall(CallKind kind) {
  Call call;
  call.id = 7;
  call.kind = kind;
  call.organisation = "kandy-lanka";
  call.body_hash = kHash;
  call.key = "key";
  call.path = "/pickups";
  call.tokens = 4;
  return call;
}

Execution MakeExecution(std::int64_t start_ms, bool generation = false) {
  Execution execution;
  execution.endpoint = "returns-api-1";
  execution.key = "key";
  execution.body_hash = kHash;
  execution.generation = generation;
  execution.repeatable = generation;
  execution.start_ms = start_ms;
  return execution;
}

std::string Confirmation(const std::string& name, const std::string& key = "key") {
  return R"({"confirmation":")" + name + R"(","path":"/pickups","key":")" + key +
         R"(","body_hash":")" + kHash + R"("})";
}

/// A once-only call and a stream with one execution each, which all checks accept.
History SoundHistory() {
  History history;
  history.calls.push_back(MakeCall(CallKind::kOnceOnly));
  history.calls[0].attempts.push_back(MakeAttempt(Answer::kLost, 100));
  history.calls[0].attempts.push_back(MakeAttempt(Answer::kResult, 200, Confirmation("r-1")));
  history.executions.push_back(MakeExecution(150));
  Call stream = MakeCall(CallKind::kStream);
  stream.attempts.push_back(MakeAttempt(Answer::kLost, 100, Tokens(0, 3)));
  stream.attempts.push_back(MakeAttempt(Answer::kResult, 200, Tokens(3, 4)));
  history.calls.push_back(stream);
  history.executions.push_back(MakeExecution(150, true));
  history.stops.push_back({"entry-1", 0});
  return history;
}

Call& OnceOnlyCall(History& history) { return history.calls[0]; }
Call& Stream(History& history) { return history.calls[1]; }

void ExpectOnly(const History& history, const std::string& invariant) {
  const Violations violations = CheckRequests(history);
  cr_assert(!violations.empty(), "no %s was found", invariant.c_str());
  for (const Violation& violation : violations) {
    cr_expect(violation.invariant == invariant, "%s", violation.detail.c_str());
  }
}

// Guards against a check that rejects a correct history.
Test(histories_requests, accepts_a_sound_history) {
  const Violations violations = CheckRequests(SoundHistory());
  cr_assert(violations.empty(), "%s", violations.empty() ? "" : violations[0].detail.c_str());
}

// Guards against a check that misses a second execution.
Test(histories_requests, rejects_two_executions_of_one_key) {
  History history = SoundHistory();
  history.executions.push_back(MakeExecution(300));
  ExpectOnly(history, "duplicate");
}

// Guards against a check that ignores the organisation when it compares keys.
Test(histories_requests, accepts_one_key_of_two_organisations) {
  History history = SoundHistory();
  Call other = MakeCall(CallKind::kOnceOnly);
  other.organisation = "negombo-school-meals";
  other.body_hash = "00000000000000bb";
  other.attempts.push_back(MakeAttempt(Answer::kLost, 100));
  history.calls.push_back(other);
  history.executions.push_back(MakeExecution(160));
  history.executions.back().body_hash = other.body_hash;
  cr_assert(CheckRequests(history).empty());
}

// Two results of one key prove two executions, even if only one was recorded.
Test(histories_requests, rejects_two_confirmations_of_one_key) {
  History history = SoundHistory();
  OnceOnlyCall(history).attempts.push_back(MakeAttempt(Answer::kResult, 400, Confirmation("r-2")));
  ExpectOnly(history, "duplicate");
}

// Guards against a "not run" answer to a call that was run.
Test(histories_requests, rejects_an_execution_of_a_call_that_was_not_run) {
  History history = SoundHistory();
  OnceOnlyCall(history).attempts = {MakeAttempt(Answer::kNotRun, 100)};
  ExpectOnly(history, "false_not_run");
}

// An attempt does not explain an execution that began before it.
Test(histories_requests, rejects_an_execution_before_the_attempt_that_may_have_run) {
  History history = SoundHistory();
  OnceOnlyCall(history).attempts[0].answer = Answer::kNotRun;
  ExpectOnly(history, "false_not_run");
}

// Guards against a "not run" answer to a chat that an engine ran.
Test(histories_requests, rejects_a_generation_of_a_chat_that_was_not_run) {
  History history = SoundHistory();
  Stream(history).attempts = {MakeAttempt(Answer::kNotRun, 100)};
  Stream(history).given_up = true;
  ExpectOnly(history, "false_not_run");
}

// A call with another key or of another kind does not explain an execution.
Test(histories_requests, rejects_an_execution_with_the_key_of_no_call) {
  History history = SoundHistory();
  history.executions.push_back(MakeExecution(150));
  history.executions.back().key = "other";
  ExpectOnly(history, "false_not_run");
}

// Guards against an execution that no caller requested.
Test(histories_requests, rejects_an_execution_without_a_call) {
  History history = SoundHistory();
  history.executions.push_back(MakeExecution(150));
  history.executions.back().key = "other";
  history.executions.back().body_hash = "00000000000000cc";
  ExpectOnly(history, "false_not_run");
}

// Guards against a truncated answer that is presented as complete.
Test(histories_requests, rejects_a_truncated_answer) {
  History history = SoundHistory();
  Stream(history).attempts = {MakeAttempt(Answer::kResult, 100, Tokens(0, 3))};
  ExpectOnly(history, "incomplete");
}

// Guards against a stream that ends normally without its last event.
Test(histories_requests, rejects_a_stream_without_its_last_event) {
  History history = SoundHistory();
  Stream(history).attempts[0].silent_end = true;
  ExpectOnly(history, "incomplete");
}

// Guards against a resumed stream that skips events.
Test(histories_requests, rejects_a_gap_after_resume) {
  History history = SoundHistory();
  Stream(history).attempts[0].text = Tokens(0, 2);
  ExpectOnly(history, "incomplete");
}

// Guards against a resumed stream that repeats events.
Test(histories_requests, rejects_an_overlap_after_resume) {
  History history = SoundHistory();
  Stream(history).attempts[1].text = Tokens(2, 4);
  ExpectOnly(history, "incomplete");
}

// Guards against two generations in one answer.
Test(histories_requests, rejects_joined_generations) {
  History history = SoundHistory();
  Stream(history).attempts[1].text = Tokens(3, 4, "g.2");
  ExpectOnly(history, "crossed");
}

// Guards against tokens of another caller, also in an incomplete answer.
Test(histories_requests, rejects_tokens_of_another_caller) {
  History history = SoundHistory();
  Stream(history).attempts[0].text = "00000000000000bb/g.1/0";
  ExpectOnly(history, "crossed");
}

// Guards against a service's answer that belongs to another call.
Test(histories_requests, rejects_a_result_of_another_call) {
  History history = SoundHistory();
  OnceOnlyCall(history).attempts[1].text = Confirmation("r-1", "other key");
  ExpectOnly(history, "crossed");
}

// Guards against an answer that another organisation can read by its id.
Test(histories_requests, rejects_a_resume_by_another_organisation) {
  History history = SoundHistory();
  Call foreign = MakeCall(CallKind::kCrossOrganisationResume);
  foreign.attempts.push_back(MakeAttempt(Answer::kLost, 100, Tokens(1, 2)));
  history.calls.push_back(foreign);
  ExpectOnly(history, "crossed");
}

// Guards against a chat that is never answered once all faults have ended.
Test(histories_requests, rejects_a_chat_without_a_whole_answer) {
  History history = SoundHistory();
  Stream(history).attempts.pop_back();
  ExpectOnly(history, "unanswered");
  Stream(history).given_up = true;
  cr_assert(CheckRequests(history).empty());
}

// Guards against a planned stop that interrupts calls or ends with an error status, as it does when
// it exceeds its bound.
Test(histories_requests, rejects_a_stop_that_cuts) {
  History history = SoundHistory();
  history.stops.push_back({"wagtail-llm-1", 3});
  ExpectOnly(history, "cut_by_stop");
  history = SoundHistory();
  Stream(history).in_planned_stop = true;
  ExpectOnly(history, "cut_by_stop");
}

// Guards against a parser that adds a partial event or an error event to the answer.
Test(histories_requests, reads_whole_events_only) {
  const ParsedEvents events = ParseEvents(
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\nid: x/1\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\" b\"}}]}\nid: x/2\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\" c\"}}]}\nid: x/3\n");
  cr_expect(events.text == "a b");
  cr_expect(events.first_id == "x/1");
  cr_expect(events.last_id == "x/2");
  cr_expect(!events.done);
  const ParsedEvents failed =
      ParseEvents("event: error\ndata: {\"error\":{\"type\":\"engine_lost\"}}\n\n");
  cr_expect(failed.error_type == "engine_lost");
  cr_expect(ParseEvents("data: [DONE]\nid: x/4\n\n").done);
}

// A plan must be reproducible from its seed, and must contain repeated faults.
Test(histories_requests, plans_follow_from_the_seed) {
  const std::vector<FaultKind> kinds{
      {"kill", 3, 2, std::chrono::milliseconds(1), std::chrono::milliseconds(9)}, {"cut", 2}};
  const auto plan = MakeFaultPlan(kinds, 5, std::chrono::seconds(60));
  const auto again = MakeFaultPlan(kinds, 5, std::chrono::seconds(60));
  cr_assert_eq(plan.size(), again.size());
  bool repeated = false;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    cr_expect(plan[i].kind == again[i].kind);
    cr_expect_eq(plan[i].begin.count(), again[i].begin.count());
    cr_expect_eq(plan[i].target, again[i].target);
    repeated = repeated || (i > 0 && plan[i].duration == plan[i - 1].duration &&
                            plan[i].kind == plan[i - 1].kind);
  }
  cr_assert(repeated);
}

// Guards against a run that passes although it proves nothing.
Test(histories_requests, vacuous_runs_do_not_pass) {
  Verdict verdict;
  cr_expect(verdict.Text() == "pass");
  verdict.vacuous = "no fault took place";
  cr_expect(verdict.Text() == "vacuous");
  verdict.violations.push_back({"duplicate", ""});
  cr_expect(verdict.Text() == "fail");
}

}  // namespace
