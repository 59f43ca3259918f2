#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/hash.h"
#include "support/caller.h"
#include "support/event_stream.h"
#include "support/fleet.h"
#include "support/raw_connection.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::http::Header;
using wagtailwind::http::Response;
using wagtailwind::testing::AreTokensOfOneGeneration;
using wagtailwind::testing::BeginChat;
using wagtailwind::testing::ChatRequest;
using wagtailwind::testing::DecodeChunks;
using wagtailwind::testing::EventStream;
using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetOptions;
using wagtailwind::testing::FleetProcess;
using wagtailwind::testing::HasLastChunk;
using wagtailwind::testing::HeaderOf;
using wagtailwind::testing::HistoryOf;
using wagtailwind::testing::NewRequestKey;
using wagtailwind::testing::RawChat;
using wagtailwind::testing::RawConnection;
using wagtailwind::testing::ReadEvents;
using wagtailwind::testing::SendChat;
using wagtailwind::testing::SendServiceCall;
using Json = nlohmann::json;

constexpr const char* kOrganisation = "kandy-lanka";
constexpr const char* kModel = "returns-summary";
constexpr const char* kChatHead =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n"
    "Wagtailwind-Organisation: kandy-lanka\r\n";

FleetOptions Options() {
  FleetOptions options;
  options.binary_dir = WAGTAILWIND_BINARY_DIR;
  options.source_dir = WAGTAILWIND_SOURCE_DIR;
  return options;
}

/// \brief A fleet that is ready for calls.
class ReadyFleet {
 public:
  explicit ReadyFleet(FleetOptions options) : m_fleet(std::move(options)) {
    m_fleet.LoadRecordsAndWaitReady();
    m_fleet.WaitAllKnown();
  }
  Fleet* operator->() { return &m_fleet; }

 private:
  Fleet m_fleet;
};

ChatRequest Chat(std::string content) {
  ChatRequest request;
  request.organisation = kOrganisation;
  request.model = kModel;
  request.messages = {std::move(content)};
  return request;
}

ChatRequest Streamed(std::string content, int tokens) {
  ChatRequest request = Chat(std::move(content));
  request.stream = true;
  request.max_tokens = tokens;
  return request;
}

/// Makes a prompt of several hundred tokens, so that its prefix is large enough to be cached.
std::string LongPrompt(int number) {
  return absl::StrCat("Parcel ", number, std::string(2000, 'x'));
}

std::string ErrorType(const std::string& body) {
  const Json error = Json::parse(body, nullptr, false);
  const Json::json_pointer type("/error/type");
  return error.is_object() && error.contains(type) ? error[type].get<std::string>() : "";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::vector<Json> Executions(const std::vector<FleetProcess>& stand_ins) {
  std::vector<Json> executions;
  for (const FleetProcess& stand_in : stand_ins) {
    for (const std::string& line : HistoryOf(stand_in)) {
      executions.push_back(Json::parse(line));
    }
  }
  return executions;
}

/// Polls until the condition holds. The limit of a minute only keeps a failing test from hanging;
/// no expected state takes that long.
bool Eventually(const std::function<bool()>& condition) {
  for (int poll = 0; poll < 6000; ++poll) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

std::string SendRaw(const FleetProcess& router, const std::string& text) {
  RawConnection connection(router.addresses.at("http"));
  connection.Write(text);
  return connection.ReadToEnd();
}

void ExpectNotRun(const std::string& raw, int status, const std::string& type) {
  cr_expect(raw.starts_with("HTTP/1.1 " + std::to_string(status)), "%s: %s", type.c_str(),
            raw.c_str());
  cr_expect(Contains(raw, "Wagtailwind-Outcome: not-run"), "%s", raw.c_str());
  const std::size_t body = raw.find("\r\n\r\n");
  cr_expect_eq(ErrorType(raw.substr(std::min(body, raw.size()))), type, "%s", raw.c_str());
}

/// Sends the request of a stream and reads its first events.
std::string ReadFirstEvents(RawConnection& connection, const ChatRequest& request) {
  connection.Write(RawChat(request));
  return connection.ReadUntil("/1\"");
}

std::string ResumeHead(const std::string& organisation, const std::string& last_id) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n"
         "Content-Length: 0\r\nWagtailwind-Organisation: " +
         organisation + "\r\nLast-Event-ID: " + last_id + "\r\n\r\n";
}

}  // namespace

// Guards against bytes of answers and calls that are lost, changed or mixed up between caller,
// router, agent and endpoint.
Test(path, passes_answers_and_calls_through) {
  ReadyFleet fleet(Options());
  const Response plain = SendChat(fleet->routers[0], Chat("One"));
  cr_assert_eq(plain.status, 200, "%s", plain.body.c_str());
  cr_expect_eq(HeaderOf(plain, "Wagtailwind-Outcome"), "result");
  const std::string served_by = HeaderOf(plain, "Wagtailwind-Served-By");
  cr_expect(served_by.starts_with("wagtail-llm-"), "%s", served_by.c_str());
  const std::string answer_id = HeaderOf(plain, "Wagtailwind-Answer");
  cr_expect(answer_id.starts_with(served_by + "~") && !Contains(answer_id.substr(1), served_by),
            "%s", answer_id.c_str());

  const Response streamed = SendChat(fleet->routers[1], Streamed("Two", 20));
  const EventStream events = ReadEvents(streamed.body);
  cr_expect(events.done && events.error.empty());
  cr_expect(AreTokensOfOneGeneration(events.tokens, 0, 20), "%s", streamed.body.c_str());

  const Response status = SendServiceCall(
      fleet->routers[0], "GET", "/services/returns-api/status/8841?view=full", "",
      {{"Wagtailwind-Organisation", kOrganisation}, {"X-Trace", "t-1"}, {"Accept", "text/plain"}});
  cr_assert_eq(status.status, 200, "%s", status.body.c_str());
  const Json seen = Json::parse(status.body);
  cr_expect_eq(seen.at("path"), "/status/8841");
  cr_expect_eq(seen.at("query"), "view=full");
  cr_expect_eq(seen.at("headers").value("X-Trace", ""), "t-1");
  cr_expect_eq(seen.at("headers").value("Accept", ""), "text/plain");
  cr_expect(!seen.at("headers").contains("Wagtailwind-Organisation"));

  const std::string body = R"({"parcel":8841})";
  const Response pickup = SendServiceCall(
      fleet->routers[1], "POST", "/services/returns-api/pickups", body,
      {{"Wagtailwind-Organisation", kOrganisation}, {"Wagtailwind-Request-Key", NewRequestKey()}});
  cr_assert_eq(pickup.status, 200, "%s", pickup.body.c_str());
  cr_expect_eq(Json::parse(pickup.body).at("body_hash"),
               absl::StrCat(absl::Hex(wagtailwind::StableHash(body), absl::kZeroPad16)));

  // The service's own error is a result, not one of the router's errors.
  const Response missing =
      SendServiceCall(fleet->routers[0], "GET", "/services/returns-api/returns/1", "",
                      {{"Wagtailwind-Organisation", kOrganisation}});
  cr_expect_eq(missing.status, 404);
  cr_expect_eq(HeaderOf(missing, "Wagtailwind-Outcome"), "result");
}

// Guards against requests that are reported as "not run" although they reached an endpoint, and
// against malformed input that is answered without an error type.
Test(path, refuses_bad_requests_before_any_endpoint) {
  ReadyFleet fleet(Options());
  const FleetProcess& router = fleet->routers[0];
  ChatRequest unknown = Chat("One");
  unknown.model = "no-such-model";
  ExpectNotRun(SendRaw(router, RawChat(unknown)), 404, "unknown_model");
  ExpectNotRun(SendRaw(router, absl::StrCat(kChatHead, "Content-Length: 9\r\n\r\n{\"model\":")),
               400, "malformed_request");
  ExpectNotRun(SendRaw(router, absl::StrCat(kChatHead, "Content-Length: 1048577\r\n\r\n")), 413,
               "body_too_large");
  const std::string too_long(std::size_t{1100} << 10U, 'x');
  ExpectNotRun(
      SendRaw(router, absl::StrCat(kChatHead, "Transfer-Encoding: chunked\r\n\r\n",
                                   absl::Hex(too_long.size()), "\r\n", too_long, "\r\n0\r\n\r\n")),
      413, "body_too_large");
  const std::string wide(std::size_t{17} << 10U, 'x');
  ExpectNotRun(
      SendRaw(router, absl::StrCat(kChatHead, "X-Wide: ", wide, "\r\nContent-Length: 0\r\n\r\n")),
      431, "headers_too_large");
  ExpectNotRun(SendRaw(router,
                       "POST /services/returns-api/pickups HTTP/1.1\r\nHost: fleet\r\n"
                       "Connection: close\r\nWagtailwind-Organisation: kandy-lanka\r\n"
                       "Content-Length: 2\r\n\r\n{}"),
               400, "missing_request_key");
  cr_expect(Executions(fleet->engines).empty());
  cr_expect(Executions(fleet->services).empty());
}

// Guards against a chat that loses its cached prefix when it continues through another router, with
// or without the hint that its caller should send.
Test(path, returning_chats_land_on_their_prefix_through_any_router) {
  ReadyFleet fleet(Options());
  for (int i = 0; i < 8; ++i) {
    ChatRequest chat = Chat(LongPrompt(i));
    chat.chat = absl::StrCat("chat-", i);
    const Response first = BeginChat(fleet->routers[0], chat);
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    if (i % 2 == 0) {
      chat.hint.clear();
    }
    const Response second = SendChat(fleet->routers[1], chat);
    cr_assert_eq(second.status, 200, "%s", second.body.c_str());
    cr_expect_eq(HeaderOf(second, "Wagtailwind-Served-By"),
                 HeaderOf(first, "Wagtailwind-Served-By"), "chat %d", i);
    cr_expect_gt(std::stoi(HeaderOf(second, "Wagtailwind-Cached-Tokens")), 0, "chat %d", i);
  }
}

// Guards against streams that can't be resumed through another router, that repeat or skip events
// when resumed, or that another organisation can read.
Test(path, resumes_streams_through_the_other_router) {
  ReadyFleet fleet(Options());
  constexpr int kTokens = 300;
  EventStream before;
  {
    RawConnection connection(fleet->routers[0].addresses.at("http"));
    before = ReadEvents(DecodeChunks(ReadFirstEvents(connection, Streamed("Three", kTokens))));
  }
  cr_assert(!before.last_id.empty());
  // Closing the connection cancels a call without a request key, so resuming is tested with a
  // second stream below.
  const auto cancelled = [&fleet] {
    for (const Json& execution : Executions(fleet->engines)) {
      if (execution.at("cancelled").get<bool>() && execution.at("tokens") < kTokens) {
        return true;
      }
    }
    return false;
  };
  cr_expect(Eventually(cancelled), "the engine continues after the caller has disconnected");

  RawConnection reader(fleet->routers[0].addresses.at("http"));
  const EventStream part =
      ReadEvents(DecodeChunks(ReadFirstEvents(reader, Streamed("Four", kTokens))));
  cr_assert(!part.tokens.empty() && !part.last_id.empty());
  const std::string refused =
      SendRaw(fleet->routers[1], ResumeHead("colombo-general-hospital-kitchen", part.last_id));
  cr_expect(refused.starts_with("HTTP/1.1 404"), "%s", refused.c_str());
  cr_expect(!Contains(refused, "delta"), "%s", refused.c_str());
  // The reader stays connected, as for a router that has not noticed the loss of its caller.
  const std::string resumed = SendRaw(fleet->routers[1], ResumeHead(kOrganisation, part.last_id));
  const EventStream rest = ReadEvents(DecodeChunks(resumed));
  cr_expect(rest.done && HasLastChunk(resumed));
  cr_expect(AreTokensOfOneGeneration(rest.tokens, part.tokens.size(), kTokens), "%s",
            resumed.c_str());
  std::vector<std::string> all = part.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  cr_expect(AreTokensOfOneGeneration(all, 0, kTokens));
}

// Guards against a stream that is lost when its router is killed: the agent keeps the answer, and
// another router resumes it.
Test(path, streams_survive_their_router) {
  ReadyFleet fleet(Options());
  constexpr int kTokens = 300;
  RawConnection reader(fleet->routers[0].addresses.at("http"));
  const EventStream part =
      ReadEvents(DecodeChunks(ReadFirstEvents(reader, Streamed("Five", kTokens))));
  cr_assert(!part.last_id.empty());
  fleet->routers[0].process.Signal(SIGKILL);
  fleet->routers[0].process.Wait();
  const std::string resumed = SendRaw(fleet->routers[1], ResumeHead(kOrganisation, part.last_id));
  const EventStream rest = ReadEvents(DecodeChunks(resumed));
  cr_expect(rest.done && HasLastChunk(resumed), "%s", resumed.c_str());
  cr_expect(AreTokensOfOneGeneration(rest.tokens, part.tokens.size(), kTokens));
  cr_expect_eq(Executions(fleet->engines).size(), 1);
}

// Guards against streams that are truncated or buffered without limit when the caller is slow, and
// against slow callers that block others.
Test(path, slow_callers_get_the_whole_stream) {
  FleetOptions options = Options();
  options.engine_arguments = {"--token-us", "100"};
  options.engines = 1;
  ReadyFleet fleet(options);
  constexpr int kTokens = 3000;
  constexpr int kReceiveBuffer = 4096;
  RawConnection slow(fleet->routers[0].addresses.at("http"), kReceiveBuffer);
  slow.Write(RawChat(Streamed("Six", kTokens)));
  const auto ended = [&fleet] {
    const std::vector<Json> executions = Executions(fleet->engines);
    return !executions.empty() && executions[0].at("ended").get<bool>();
  };
  cr_assert(Eventually(ended));
  cr_expect_eq(SendChat(fleet->routers[0], Chat("Seven")).status, 200);
  const std::string& raw = slow.ReadToEnd();
  const EventStream events = ReadEvents(DecodeChunks(raw));
  cr_expect(events.done && HasLastChunk(raw), "%s", events.error.c_str());
  cr_expect(AreTokensOfOneGeneration(events.tokens, 0, kTokens));
}

// Guards against a graceful stop that truncates a request in flight or exits with an error.
Test(path, graceful_stop_cuts_no_stream) {
  ReadyFleet fleet(Options());
  constexpr int kTokens = 600;
  RawConnection reader(fleet->routers[0].addresses.at("http"));
  const std::string first = ReadFirstEvents(reader, Streamed("Eight", kTokens));
  cr_assert(first.starts_with("HTTP/1.1 200"), "%s", first.c_str());
  for (const auto* group : {&fleet->routers, &fleet->agents}) {
    for (const FleetProcess& process : *group) {
      process.process.Signal(SIGTERM);
    }
  }
  const std::string& raw = reader.ReadToEnd();
  const EventStream events = ReadEvents(DecodeChunks(raw));
  cr_expect(events.done && HasLastChunk(raw), "%s", events.error.c_str());
  cr_expect(AreTokensOfOneGeneration(events.tokens, 0, kTokens));
  for (auto* group : {&fleet->routers, &fleet->agents}) {
    for (FleetProcess& process : *group) {
      cr_expect_eq(process.process.Wait(), 0, "%s", process.name.c_str());
    }
  }
}

namespace {

struct Turn {
  ChatRequest request;
  Response first;
  Response second;
};

/// Runs the function for each turn on several threads.
void RunConcurrently(std::vector<Turn>& turns, const std::function<void(Turn&)>& function) {
  constexpr std::size_t kCallers = 4;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&turns, &function, caller] {
      for (std::size_t i = caller; i < turns.size(); i += kCallers) {
        function(turns[i]);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

}  // namespace

// Guards against the loss of prefixes on other engines when one engine is killed, and against
// returning chats of the killed engine that get no complete answer.
Test(path, killed_engine_costs_only_its_own_prefixes) {
  FleetOptions options = Options();
  options.engines = 4;
  ReadyFleet fleet(options);
  constexpr int kChats = 40;
  std::vector<Turn> turns(kChats);
  for (int i = 0; i < kChats; ++i) {
    turns[static_cast<std::size_t>(i)].request = Chat(LongPrompt(i));
    turns[static_cast<std::size_t>(i)].request.chat = absl::StrCat("busy-", i);
  }
  RunConcurrently(
      turns, [&fleet](Turn& turn) { turn.first = BeginChat(fleet->routers[0], turn.request); });
  const std::string killed = HeaderOf(turns[0].first, "Wagtailwind-Served-By");
  fleet->engines[static_cast<std::size_t>(killed.back() - '1')].process.Signal(SIGKILL);
  RunConcurrently(
      turns, [&fleet](Turn& turn) { turn.second = SendChat(fleet->routers[1], turn.request); });
  int stayed = 0;
  for (const Turn& turn : turns) {
    cr_assert_eq(turn.first.status, 200, "%s", turn.first.body.c_str());
    cr_assert_eq(turn.second.status, 200, "%s", turn.second.body.c_str());
    const std::string before = HeaderOf(turn.first, "Wagtailwind-Served-By");
    const std::string after = HeaderOf(turn.second, "Wagtailwind-Served-By");
    if (before == killed) {
      cr_expect_neq(after, killed);
      continue;
    }
    ++stayed;
    cr_expect_eq(after, before, "%s moved", turn.request.chat.c_str());
    cr_expect_gt(std::stoi(HeaderOf(turn.second, "Wagtailwind-Cached-Tokens")), 0, "%s",
                 turn.request.chat.c_str());
  }
  // Without chats on other engines the checks above would pass vacuously.
  cr_expect_gt(stayed, 0);
  cr_expect_lt(stayed, kChats);
}
