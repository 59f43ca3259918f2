#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

#include "core/random_source.h"
#include "router/caller_error.h"
#include "router/event_stream_ids.h"
#include "router/service_path.h"
#include "router/validated_request.h"
#include "support/router_fixture.h"

namespace {

using wagtailwind::WallTime;
using wagtailwind::http::Request;
using wagtailwind::requests::FailureReason;
using wagtailwind::requests::Outcome;
using wagtailwind::router::CallerError;
using wagtailwind::router::EventStreamIds;
using wagtailwind::router::ParseLastEventId;
using wagtailwind::router::ValidatedRequest;
using wagtailwind::testing::TestConfiguration;

constexpr const char* kAnswerId = "e~4d~000102030405060708090a0b0c0d0e0f";
constexpr WallTime kNow{std::chrono::milliseconds(0x0199'0000'0000)};
constexpr const char* kKey = "01990000-0000-7abc-8def-0123456789ab";

Request ChatRequest(std::string body) {
  return {
      "POST", "/v1/chat/completions", "", {{"Wagtailwind-Organisation", "acme"}}, std::move(body)};
}

std::variant<ValidatedRequest, CallerError> Validate(const Request& request) {
  return wagtailwind::router::ValidateRequest(request, TestConfiguration(), kNow);
}

FailureReason Refusal(const Request& request) {
  const auto result = Validate(request);
  const auto* error = std::get_if<CallerError>(&result);
  return error == nullptr ? FailureReason::kNone : error->reason;
}

FailureReason RefusalWith(const std::string& name, const std::string& value) {
  Request request = ChatRequest(R"({"model":"m1","messages":[{}]})");
  request.headers.push_back({name, value});
  return Refusal(request);
}

Request ServiceRequest(std::string method, std::string path, const char* key) {
  Request request{
      std::move(method), std::move(path), "", {{"Wagtailwind-Organisation", "acme"}}, ""};
  if (key != nullptr) {
    request.headers.push_back({"Wagtailwind-Request-Key", key});
  }
  return request;
}

}  // namespace

// Guards against forwarding input to engines that the router could not parse.
Test(validate_request, refuses_malformed_bodies) {
  for (const char* body :
       {"", "{", "[]", "null", "{\"model\":\"m1\"}", "{\"model\":1,\"messages\":[{}]}",
        "{\"model\":\"m1\",\"messages\":[]}", "{\"model\":\"m1\",\"messages\":{}}",
        "{\"model\":\"m1\",\"messages\":[{}],\"stream\":\"yes\"}",
        "{\"model\":\"m1\",\"messages\":[{}],\"max_tokens\":-1}",
        "{\"model\":\"m1\",\"messages\":[{}],\"max_tokens\":1e99}",
        "{\"model\":\"m1\",\"messages\":[{}]}x", "{\"model\":\"\xff\",\"messages\":[{}]}"}) {
    cr_assert_eq(Refusal(ChatRequest(body)), FailureReason::kMalformedRequest, "%s", body);
  }
  cr_assert_eq(Refusal(ChatRequest(std::string(1U << 20U, '['))), FailureReason::kMalformedRequest);
  cr_assert_eq(Refusal(ChatRequest(R"({"model":"m9","messages":[{}]})")),
               FailureReason::kUnknownModel);
  cr_assert_eq(Refusal(ChatRequest(R"({"model":"m1","messages":[{}]})")), FailureReason::kNone);
}

// Guards against a crash or an accepted request for truncated and altered bodies.
Test(validate_request, survives_truncated_and_altered_bodies) {
  const std::string whole = R"({"model":"m1","stream":true,"messages":[{"content":"a"},{}]})";
  for (std::size_t length = 0; length < whole.size(); ++length) {
    cr_assert_eq(Refusal(ChatRequest(whole.substr(0, length))), FailureReason::kMalformedRequest);
  }
  wagtailwind::SeededRandomSource random(3);
  for (int i = 0; i < 5000; ++i) {
    std::string body = whole;
    body[random.NextBelow(body.size())] = static_cast<char>(random.NextBelow(256));
    (void)Refusal(ChatRequest(body));
  }
}

// Guards against headers that are ambiguous or out of range.
Test(validate_request, refuses_bad_headers) {
  const FailureReason malformed = FailureReason::kMalformedRequest;
  cr_assert_eq(RefusalWith("wagtailwind-organisation", "other"), malformed);
  cr_assert_eq(RefusalWith("Wagtailwind-Chat", std::string(129, 'x')), malformed);
  cr_assert_eq(RefusalWith("Wagtailwind-Chat", "a\tb"), malformed);
  cr_assert_eq(RefusalWith("Wagtailwind-Priority", "none"), malformed);
  for (const char* deadline : {"0", "-1", "1.5", "x", "99999999999999999999999", "3600001"}) {
    cr_assert_eq(RefusalWith("Wagtailwind-Deadline-Ms", deadline), malformed);
  }
  for (const char* id :
       {"x", "/", "~/1", "e~/1", "e~a/", "e~a/-1", "e~a/1x", "e~a/99999999999999999999", "e~a/9",
        "e~4d~0001/9", "e~xy~000102030405060708090a0b0c0d0e0f/9",
        "~4d~000102030405060708090a0b0c0d0e0f/9", "e~4d~000102030405060708090a0b0c0d0e0f/x"}) {
    cr_assert_eq(RefusalWith("Last-Event-ID", id), malformed, "%s", id);
  }
  cr_assert_eq(RefusalWith("Wagtailwind-Placement-Hint", "///x\x01"), FailureReason::kNone);
  cr_assert_eq(Refusal({"POST", "/v1/chat/completions", "", {}, "{}"}), malformed);
  cr_assert_eq(
      Refusal({"POST", "/v1/chat/completions", "", {{"Wagtailwind-Organisation", "nobody"}}, "{}"}),
      FailureReason::kUnknownOrganisation);
}

// Guards against running a call that is not repeatable without a usable key.
Test(validate_request, needs_a_key_for_calls_that_are_not_repeatable) {
  cr_assert_eq(Refusal(ServiceRequest("POST", "/services/bookings/book", nullptr)),
               FailureReason::kMissingRequestKey);
  cr_assert_eq(Refusal(ServiceRequest("POST", "/services/bookings/book", "1")),
               FailureReason::kInvalidRequestKey);
  const auto old = Validate(
      ServiceRequest("POST", "/services/bookings/book", "01980000-0000-7abc-8def-0123456789ab"));
  cr_assert_eq(std::get<CallerError>(old).reason, FailureReason::kRequestKeyExpired);
  cr_assert_eq(std::get<CallerError>(old).outcome, Outcome::kUnknown);
  const auto valid = Validate(ServiceRequest("POST", "/services/bookings/book", kKey));
  cr_assert_not(std::get<ValidatedRequest>(valid).repeatable);
  cr_assert(std::get<ValidatedRequest>(valid).placement.partition_hash.has_value());
  const auto lookup = Validate(ServiceRequest("GET", "/services/bookings/status/7", nullptr));
  cr_assert(std::get<ValidatedRequest>(lookup).repeatable);
}

// Guards against a path that the router interprets as a lookup and the service as a booking.
Test(validate_request, refuses_paths_with_two_readings) {
  for (const char* path : {"/status/../book", "/status/./x", "//status", "/status/%2e%2e/book",
                           "/status%2Fx", "/status\\..\\book", "/status/%252e%252e/book", "/a b"}) {
    cr_assert_not(wagtailwind::router::IsUnambiguousPath(path), "%s", path);
    const Request request = ServiceRequest("GET", "/services/bookings" + std::string(path), kKey);
    cr_assert_eq(Refusal(request), FailureReason::kMalformedRequest);
  }
  const auto other = Validate(ServiceRequest("GET", "/services/bookings/status-change", kKey));
  cr_assert_not(std::get<ValidatedRequest>(other).repeatable, "a prefix ends at a segment");
}

// Guards against ids that do not match the byte offsets: every split of the answer into two chunks
// must give the same events, and a resume at any id must give exactly the rest.
Test(event_stream_ids, give_the_same_events_for_every_cut_and_every_resume) {
  const std::string answer = "data: a\n\ndata: b\r\n\r\n: note\ndata: c\n\ndata: [DONE]\n\n";
  EventStreamIds at_once(kAnswerId, 0);
  const std::string expected = at_once.Push(answer);
  cr_assert_eq(expected.find(std::string("data: a\nid: ") + kAnswerId + "/9\n\n"), 0U);
  for (std::size_t split = 0; split <= answer.size(); ++split) {
    EventStreamIds in_two(kAnswerId, 0);
    std::string events = in_two.Push(answer.substr(0, split));
    events += in_two.Push(answer.substr(split));
    cr_assert_eq(events, expected);
  }
  for (std::size_t id = expected.find("id: "); id != std::string::npos;
       id = expected.find("id: ", id + 1)) {
    const std::size_t end = expected.find('\n', id);
    const auto point = ParseLastEventId(expected.substr(id + 4, end - id - 4));
    cr_assert(point.has_value());
    EventStreamIds resumed(kAnswerId, point->offset);
    const std::string rest = resumed.Push(answer.substr(point->offset));
    cr_assert(expected.ends_with(rest));
    cr_assert_eq(expected.find(rest, end) == std::string::npos, false);
  }
}

// Guards against memory that grows with an event that never ends.
Test(event_stream_ids, are_bounded) {
  EventStreamIds ids(kAnswerId, 0);
  std::size_t out = 0;
  for (int i = 0; i < 64; ++i) {
    out += ids.Push(std::string(16U << 10U, 'x')).size();
  }
  cr_assert_geq(out, (64U << 14U) - (132U << 10U));
}

// Guards against statuses that contradict the outcome.
Test(caller_error, status_follows_the_outcome) {
  using wagtailwind::router::StatusOf;
  cr_assert_eq(StatusOf({FailureReason::kDeadlineExceeded, Outcome::kNotRun, {}, {}}), 503);
  cr_assert_eq(StatusOf({FailureReason::kDeadlineExceeded, Outcome::kUnknown, {}, {}}), 504);
  cr_assert_eq(StatusOf({FailureReason::kConnectionLost, Outcome::kUnknown, {}, {}}), 502);
  cr_assert_eq(StatusOf({FailureReason::kOrganisationOverShare, Outcome::kNotRun, {}, {}}), 429);
}
