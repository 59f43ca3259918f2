#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_connection.h"
#include "support/router_fixture.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::requests::FailureReason;
using wagtailwind::requests::Outcome;
using wagtailwind::testing::AgentPlan;
using wagtailwind::testing::RawConnection;
using wagtailwind::testing::RouterFixture;

constexpr const char* kAnswerId = wagtailwind::testing::FakeAgentService::kAnswerId;
constexpr const char* kChatHead = "POST /v1/chat/completions HTTP/1.1\r\n";
constexpr const char* kBookingHead =
    "POST /services/bookings/book HTTP/1.1\r\nWagtailwind-Request-Key: ";

AgentPlan StreamedAnswer() {
  AgentPlan plan;
  plan.chunks = {"data: a\n", "\ndata: b\n\n", "data: [DONE]\n\n"};
  return plan;
}

AgentPlan PlainAnswer(std::string body) {
  AgentPlan plan;
  plan.content_type = "application/json";
  plan.chunks = {std::move(body)};
  return plan;
}

AgentPlan Refusal(FailureReason reason) {
  AgentPlan plan;
  plan.refusal = reason;
  return plan;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// Returns a request key that contains the current time.
std::string NewKey() {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  constexpr const char* kDigits = "0123456789abcdef";
  std::string key = "00000000-0000-7abc-8def-0123456789ab";
  auto rest = static_cast<std::uint64_t>(now.count());
  for (const std::size_t position : {12, 11, 10, 9, 7, 6, 5, 4, 3, 2, 1, 0}) {
    key[position] = kDigits[rest & 0xfU];
    rest >>= 4U;
  }
  return key;
}

std::string SendBooking(RouterFixture& router) {
  return router.Send(kBookingHead + NewKey() + "\r\n", "{}");
}

}  // namespace

// Guards against lost or altered bytes and missing headers in non-streamed answers.
Test(front_end, forwards_a_plain_answer_whole) {
  RouterFixture router(1);
  router.Agent(0).SetPlans({PlainAnswer("{\"text\":\"hello\"}")});
  const std::string answer = router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(answer.ends_with("\r\n\r\n{\"text\":\"hello\"}"), "%s", answer.c_str());
  const std::vector<std::string> headers = {"Wagtailwind-Outcome: result",
                                            std::string("Wagtailwind-Answer: ") + kAnswerId,
                                            "Wagtailwind-Served-By: engine0",
                                            "Wagtailwind-Cached-Tokens: 5",
                                            "Content-Length: 16",
                                            "Wagtailwind-Placement-Hint: engine0/77"};
  for (const std::string& header : headers) {
    cr_assert(Contains(answer, header), "%s", answer.c_str());
  }
}

// Guards against streams without ids, and against a resume that repeats or skips events.
Test(front_end, streams_events_with_ids_and_resumes) {
  RouterFixture router(1);
  router.Agent(0).SetPlans({StreamedAnswer()});
  const std::string answer = router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert(Contains(answer, std::string("data: a\nid: ") + kAnswerId + "/9\n\n"), "%s",
            answer.c_str());
  cr_assert(Contains(answer, std::string("data: [DONE]\nid: ") + kAnswerId + "/32\n\n"), "%s",
            answer.c_str());
  const std::string resumed =
      router.Send(std::string(kChatHead) + "Last-Event-ID: " + kAnswerId + "/9\r\n", "");
  cr_assert_not(Contains(resumed, "data: a"));
  cr_assert(Contains(resumed, std::string("data: b\nid: ") + kAnswerId + "/18\n\n"), "%s",
            resumed.c_str());
  cr_assert(Contains(resumed, "data: [DONE]"));
  for (const char* unknown : {"engine0~4d~ff0102030405060708090a0b0c0d0e0f/9",
                              "engine9~4d~000102030405060708090a0b0c0d0e0f/9"}) {
    const std::string missing =
        router.Send(std::string(kChatHead) + "Last-Event-ID: " + unknown + "\r\n", "");
    cr_assert(missing.starts_with("HTTP/1.1 404"), "%s", missing.c_str());
    cr_assert(Contains(missing, "Wagtailwind-Outcome: unknown"));
  }
}

// Guards against replies that belong to other requests, and against duplicate replies whose
// bytes are counted twice.
Test(front_end, drops_crossed_and_duplicate_replies) {
  RouterFixture router(1);
  AgentPlan plan = PlainAnswer("whole");
  plan.crossed_replies = true;
  plan.duplicate_replies = true;
  router.Agent(0).SetPlans({plan});
  const std::string answer = router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert(answer.ends_with("\r\n\r\nwhole"), "%s", answer.c_str());
  cr_assert_eq(router.Metrics().GetCounter("agent_replies_dropped_total").value(), 3U);
}

// Guards against passing on a truncated, shifted or unrelated answer as complete. The call is
// repeatable, so the second agent answers.
Test(front_end, never_passes_on_a_broken_answer) {
  std::vector<AgentPlan> broken(5, PlainAnswer("part"));
  broken[0].wrong_length = true;
  broken[1].dies = true;
  broken[2].wrong_admission = true;
  broken[3].gap = true;
  broken[3].chunks = {"pa", "rt"};
  broken[4].incomplete = true;
  for (const AgentPlan& plan : broken) {
    RouterFixture router(2);
    router.Agent(0).SetPlans({plan});
    router.Agent(1).SetPlans({PlainAnswer("whole")});
    const std::string answer = router.Send(kChatHead, RouterFixture::kStreamBody);
    cr_assert(answer.ends_with("\r\n\r\nwhole"), "%s", answer.c_str());
    cr_assert(Contains(answer, "Served-By: engine1"));
  }
}

// Guards against a truncated stream that looks complete, and against one that joins the output of
// two generations.
Test(front_end, ends_a_stream_with_an_error_event_when_its_agent_dies) {
  RouterFixture router(2);
  AgentPlan plan = StreamedAnswer();
  plan.chunks = {"data: a\n\n", "data: par"};
  plan.dies = true;
  router.Agent(0).SetPlans({plan});
  const std::string answer = router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert(Contains(answer, "data: a\nid:"));
  cr_assert(Contains(answer, "event: error\ndata: {\"error\":{\"type\":\"agent_lost\""), "%s",
            answer.c_str());
  cr_assert_not(Contains(answer, "data: par"));
  cr_assert_not(Contains(answer, "[DONE]"));
  cr_assert_eq(router.Agent(1).Attempts(), 0U);
}

// Guards against a second execution of a booking whose agent is lost.
Test(front_end, never_repeats_a_call_that_is_not_repeatable) {
  RouterFixture router(2);
  AgentPlan plan = PlainAnswer("{}");
  plan.dies = true;
  router.Agent(0).SetPlans({plan});
  const std::string answer = SendBooking(router);
  cr_assert(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
  cr_assert(Contains(answer, "Wagtailwind-Outcome: unknown"));
  cr_assert_eq(router.Agent(1).Attempts(), 0U);
}

// Guards against reporting "unknown" for a request that certainly did not run, and "not run" for a
// key that was used before.
Test(front_end, passes_refusals_on_with_their_outcome) {
  RouterFixture router(2);
  router.Agent(0).SetPlans({Refusal(FailureReason::kPlatformUnavailable)});
  const std::string refused = SendBooking(router);
  cr_assert(refused.starts_with("HTTP/1.1 503"), "%s", refused.c_str());
  cr_assert(Contains(refused, "Wagtailwind-Outcome: not-run"));
  cr_assert(Contains(refused, "Retry-After: 2"));
  AgentPlan used = Refusal(FailureReason::kRequestKeyAlreadyUsed);
  used.refusal_outcome = Outcome::kUnknown;
  router.Agent(0).SetPlans({used});
  const std::string conflict = SendBooking(router);
  cr_assert(conflict.starts_with("HTTP/1.1 409"), "%s", conflict.c_str());
  cr_assert(Contains(conflict, "Wagtailwind-Outcome: unknown"));
  router.Agent(0).Die();
  router.Agent(1).SetPlans({PlainAnswer("booked")});
  cr_assert(Contains(SendBooking(router), "booked"),
            "a refused connection must not count as a hand-over");
}

// Guards against ignored redirects, and against a home agent that is not notified where its chat is
// served.
Test(front_end, follows_a_redirect_and_tells_the_home) {
  RouterFixture router(3);
  AgentPlan redirect = Refusal(FailureReason::kRedirected);
  redirect.redirects = {"engine2"};
  router.Agent(0).SetPlans({redirect});
  router.Agent(2).SetPlans({PlainAnswer("moved")});
  const std::string answer =
      router.Send(std::string(kChatHead) + "Wagtailwind-Chat: c1\r\n", RouterFixture::kStreamBody);
  cr_assert(Contains(answer, "Served-By: engine2"), "%s", answer.c_str());
  cr_assert_eq(router.Agent(1).Attempts(), 0U);
  // The second request follows the notification on the same connection.
  (void)router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert_eq(router.Agent(0).MovedChats(), std::vector<std::string>{"c1>engine2"});
}

// Guards against work that continues after the caller has disconnected, also before the first byte.
Test(front_end, cancels_when_the_caller_hangs_up) {
  RouterFixture router(1);
  AgentPlan silent;
  silent.hangs = true;
  AgentPlan speaking = StreamedAnswer();
  speaking.hangs = true;
  router.Agent(0).SetPlans({silent, speaking});
  {
    const RawConnection before_head(router.FrontEnd().Address());
    before_head.Write(RouterFixture::Chat());
    router.Agent(0).WaitForAttempts(1);
  }
  router.Agent(0).WaitForCancels(1);
  {
    RawConnection in_stream(router.FrontEnd().Address());
    in_stream.Write(RouterFixture::Chat());
    (void)in_stream.ReadUntil("[DONE]");
  }
  router.Agent(0).WaitForCancels(2);
}

// Guards against unbounded buffers for a caller that does not read, and against lost bytes when the
// caller resumes reading.
Test(front_end, holds_the_agent_back_for_a_slow_caller) {
  RouterFixture router(1);
  AgentPlan plan;
  constexpr std::size_t kChunks = 2000;
  const std::string event = "data: " + std::string(16U << 10U, 'x') + "\n\n";
  plan.chunks.assign(kChunks, event);
  plan.chunks.emplace_back("data: [DONE]\n\n");
  router.Agent(0).SetPlans({plan});
  RawConnection slow(router.FrontEnd().Address(), 16 << 10);
  slow.Write(RouterFixture::Chat("Connection: close\r\n"));
  (void)slow.ReadUntil("data: x");
  // The answers to another caller show that the router has had time to buffer more and still works.
  for (int i = 0; i < 20; ++i) {
    router.Agent(0).SetPlans({PlainAnswer("other")});
    cr_assert(Contains(router.Send(kChatHead, RouterFixture::kStreamBody), "other"));
  }
  cr_assert_lt(router.Agent(0).ChunksSent(), kChunks);
  const std::string& answer = slow.ReadToEnd();
  cr_assert(Contains(answer, "data: [DONE]"));
  cr_assert_gt(answer.size(), kChunks * event.size());
}

// Guards against invalid input that exhausts memory or reaches an agent, and against error answers
// without an outcome.
Test(front_end, refuses_oversized_and_malformed_input) {
  wagtailwind::router::HttpFrontEndSettings settings;
  settings.max_body_bytes = 1000;
  settings.max_header_bytes = 2000;
  RouterFixture router(1, settings);
  const std::string chat = kChatHead;
  const std::string big(1001, 'x');
  const std::string chunked =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
      big + "\r\n0\r\n\r\n";
  RawConnection chunked_connection(router.FrontEnd().Address());
  chunked_connection.Write(chunked);
  const std::vector<std::pair<std::string, std::string>> answers = {
      {"413", router.Send(chat, big)},
      {"413", chunked_connection.ReadToEnd()},
      {"431", router.Send(chat + "X-Long: " + std::string(2500, 'h') + "\r\n", "{}")},
      {"400", router.Send(chat, "{\"model\":")},
      {"404", router.Send("GET /nothing HTTP/1.1\r\n", "")},
      {"404", router.Send("GET /services/none/x HTTP/1.1\r\n", "")},
      {"400", router.Send("GET /services/bookings/status/%2e%2e/book HTTP/1.1\r\n", "")}};
  for (const auto& [status, answer] : answers) {
    cr_assert(answer.starts_with("HTTP/1.1 " + status), "%s: %s", status.c_str(), answer.c_str());
    cr_assert(Contains(answer, "Wagtailwind-Outcome: not-run"), "%s", answer.c_str());
    cr_assert(Contains(answer, "\"outcome\":\"not-run\""), "%s", answer.c_str());
  }
  cr_assert_eq(router.Agent(0).Attempts(), 0U);
}

// Guards against a router that accepts requests without a configuration, a stop that breaks off a
// request in progress, and a stop that waits forever.
Test(front_end, stops_gracefully_and_reports_what_it_cut) {
  RouterFixture router(1);
  router.FrontEnd().SetReady(false);
  cr_assert(Contains(router.Send(kChatHead, RouterFixture::kStreamBody), "\"type\":\"not_ready\""));
  router.FrontEnd().SetReady(true);
  AgentPlan plan = StreamedAnswer();
  plan.hangs = true;
  router.Agent(0).SetPlans({plan});
  RawConnection stream(router.FrontEnd().Address());
  stream.Write(RouterFixture::Chat("Connection: close\r\n"));
  (void)stream.ReadUntil("[DONE]");
  const auto report = router.FrontEnd().Stop(0ms, 0ms);
  cr_assert_eq(report.terminated_requests, 1U);
  cr_assert_not(router.FrontEnd().IsReady());
  cr_assert(Contains(stream.ReadToEnd(), "\"type\":\"shutdown_timeout\""));
  RawConnection late(router.FrontEnd().Address());
  late.Write(RouterFixture::Chat());
  cr_assert_eq(late.ReadToEnd(), "");
}

// Guards against accepting a request on a kept connection that the end of the drain may cut.
Test(front_end, refuses_requests_while_it_drains) {
  RouterFixture router(1);
  AgentPlan hanging = StreamedAnswer();
  hanging.hangs = true;
  router.Agent(0).SetPlans({PlainAnswer("first"), hanging, PlainAnswer("late")});
  RawConnection kept(router.FrontEnd().Address());
  kept.Write(RouterFixture::Chat());
  (void)kept.ReadUntil("first");
  RawConnection stream(router.FrontEnd().Address());
  stream.Write(RouterFixture::Chat("Connection: close\r\n"));
  (void)stream.ReadUntil("[DONE]");
  std::thread stop([&router] { (void)router.FrontEnd().Stop(0ms, 1'000ms); });
  std::this_thread::sleep_for(300ms);
  kept.Write(RouterFixture::Chat());
  const std::string received = kept.ReadUntil("not_ready");
  stop.join();
  cr_assert(Contains(received, "\"type\":\"not_ready\""), "%s", received.c_str());
  cr_assert_not(Contains(received, "late"));
}

// Guards against a state dump that is not JSON or misses the connections.
Test(front_end, dumps_its_state) {
  RouterFixture router(1);
  router.Agent(0).SetPlans({PlainAnswer("x")});
  (void)router.Send(kChatHead, RouterFixture::kStreamBody);
  cr_assert(Contains(router.Flow().DumpState(), "\"agent_connections\": 1"));
  cr_assert(Contains(router.FrontEnd().DumpState(), "\"ready\": true"));
}
