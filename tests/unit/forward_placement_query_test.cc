// The question on the admin listener where a request would go.

#include <nlohmann/json.hpp>
#include <string>

#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::AnswerOk;
using testing::HttpText;
using testing::RawConnection;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::TestRoute;
using Json = nlohmann::json;

using Connection = ScriptedServer::Connection;

constexpr auto kWatchTime = 800ms;

forward::Route PromptRoute() {
  forward::Route route = TestRoute(RequestKind::kIdempotent);
  route.has_prompt = true;
  return route;
}

/// Three endpoints, of which the first two are in the zone of the router.
struct Fleet : testing::ForwarderFixture {
  explicit Fleet(forward::Route route = TestRoute(RequestKind::kIdempotent),
                 const ScriptedServer::Handler& handler = AnswerOk) {
    for (int i = 1; i <= 3; ++i) {
      const std::string name = "e" + std::to_string(i);
      servers.push_back(&AddEndpoint(name, handler));
      Write(name, "ready");
    }
    Configure(std::move(route));
    Start();
  }

  void Write(const std::string& name, const std::string& state) {
    const auto index = static_cast<std::size_t>(name.back() - '1');
    store.Put("endpoint/" + name, "engine " + servers[index]->Address() + " " + state + " 1 " +
                                      (index < 2 ? "zone-1" : "zone-2"));
  }

  /// Sends a request to the admin listener, and returns head and body of the response.
  std::string Ask(const std::string& request) {
    RawConnection admin(forwarder->AdminAddress());
    admin.Write(request);
    RunUntil([&admin] {
      admin.ReadAvailable(1U << 20U);
      return admin.ended();
    });
    return admin.received();
  }

  std::string Query(const std::string& body) {
    return Ask("POST /placement HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  /// Returns the answer to a valid query.
  Json Place(Json query = Json::object()) {
    query.update({{"host", "h.example"}, {"path", "/r/x?q=1"}});
    if (!query.contains("api_key")) {
      query["api_key"] = "key-1";
    }
    const std::string answer = Query(query.dump());
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    cr_assert_eq(answer.find("key-"), std::string::npos);
    return Json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
  }

  [[nodiscard]] std::string State() {
    return Ask("GET /state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  }

  [[nodiscard]] int Requests() const {
    int requests = 0;
    for (const ScriptedServer* server : servers) {
      requests += server->requests;
    }
    return requests;
  }

  std::vector<ScriptedServer*> servers;
};

Json FindEntry(const Json& list, const std::string& endpoint) {
  for (const Json& entry : list) {
    if (entry["endpoint"] == endpoint) {
      return entry;
    }
  }
  return Json::object();
}

}  // namespace

// Guards against an answer that differs from what happens to the next request.
Test(forward_placement_query, names_the_endpoint_of_the_next_request) {
  Fleet fleet(PromptRoute());
  const std::string parts = "a1:900,b2:100";
  for (const std::string& prompt :
       {parts, std::string("c3:2000,d4:7"), std::string("e5:70,f6:1")}) {
    const Json service = fleet.Place({{"prompt", prompt}})["services"][0];
    cr_expect_eq(service["outcome"], "placed");
    cr_expect_eq(service["candidates"].size(), 3U);
    const auto index = service["candidates"][0]["endpoint"].get<std::string>().back() - '1';
    const int before = fleet.servers[static_cast<std::size_t>(index)]->requests;
    cr_expect_eq(fleet.Call("Parts: " + prompt + "\r\n")->status, 200);
    cr_expect_eq(fleet.servers[static_cast<std::size_t>(index)]->requests, before + 1);
  }
}

// Guards against a question that costs endpoints anything, or that changes later decisions.
Test(forward_placement_query, changes_nothing) {
  Fleet fleet(PromptRoute());
  cr_assert_eq(fleet.Call("Parts: a1:900,b2:100\r\nTokens: 1000,10\r\n")->status, 200);
  const std::string before = fleet.State();
  const auto placed = [&] {
    return fleet.metrics.GetCounter("forward_prompts_total{placed=\"home\"}").value() +
           fleet.metrics.GetCounter("forward_prompts_total{placed=\"away\"}").value();
  };
  const auto prompts = placed();
  const Json first = fleet.Place({{"prompt", "a1:900,b2:100"}, {"tokens", "500,10"}});
  for (int i = 0; i < 20; ++i) {
    (void)fleet.Place({{"prompt", "a1:900,b2:100"}, {"tokens", "900000,10"}});
  }
  const Json last = fleet.Place({{"prompt", "a1:900,b2:100"}, {"tokens", "500,10"}});
  cr_assert_eq(first["services"][0]["costly"], last["services"][0]["costly"]);
  cr_assert_eq(placed(), prompts);
  cr_assert_eq(fleet.Requests(), 1);
  cr_assert_eq(fleet.State(), before);
}

// Guards against an answer that leaves open why an endpoint gets nothing, and until when.
Test(forward_placement_query, tells_what_rules_endpoints_out) {
  Fleet fleet(TestRoute(RequestKind::kIdempotent), [](Connection& connection) {
    connection.Write(
        HttpText(503, SignedHeaders(connection) + "Refused: 1\r\nRetry-After: 20\r\n", ""));
  });
  fleet.Write("e2", "draining");
  fleet.store.Put("evacuated/zone-2", "{}");
  fleet.loop.RunFor(kWatchTime);
  const Json open = fleet.Place()["services"][0];
  cr_assert_eq(open["candidates"].size(), 1U);
  cr_assert_eq(open["candidates"][0]["endpoint"], "e1");
  cr_assert_eq(open["candidates"][0]["slots"], 8);
  cr_assert_eq(FindEntry(open["excluded"], "e2")["reason"], "leaving");
  cr_assert_eq(FindEntry(open["excluded"], "e3")["reason"], "evacuated");
  cr_assert(FindEntry(open["excluded"], "e3")["wait_ms"].is_null());
  (void)fleet.Call();
  const Json closed = fleet.Place();
  cr_assert_eq(closed["outcome"], "refused");
  cr_assert_eq(closed["status"], 503);
  const Json paused = FindEntry(closed["services"][0]["excluded"], "e1");
  cr_assert_eq(paused["reason"], "paused");
  cr_assert_geq(paused["wait_ms"].get<int>(), 15'000);
  cr_assert_leq(paused["wait_ms"].get<int>(), 25'000);
}

// Guards against an answer that calls a request placed although it would be refused.
Test(forward_placement_query, tells_the_reason_of_a_refusal) {
  Fleet fleet;
  const Json unknown_key = fleet.Place({{"api_key", "key-9"}});
  cr_assert_eq(unknown_key["outcome"], "refused");
  cr_assert_eq(unknown_key["reason"], "unknown_api_key");
  cr_assert_eq(unknown_key["status"], fleet.Call("Secret: key-9\r\n")->status);
  const std::string unknown_route =
      fleet.Query(R"({"host":"other.example","path":"/r/x","api_key":"key-1"})");
  cr_assert(unknown_route.find("\"unknown_route\"") != std::string::npos);
  fleet.clock.Suspend(60s);
  const Json unconfirmed = fleet.Place();
  cr_assert_eq(unconfirmed["outcome"], "refused");
  cr_assert_eq(unconfirmed["reason"], "api_key_not_confirmed");
}

// Guards against an answer to a question that was not understood.
Test(forward_placement_query, refuses_invalid_queries) {
  Fleet fleet;
  for (const char* query :
       {"", "[]", "{", R"({"host":"h"})", R"({"path":"/r/"})", R"({"host":"h","path":"r"})",
        R"({"host":"h","path":"/r","tokens":"x"})", R"({"host":"h","path":"/r","api-key":"key-1"})",
        R"({"host":"h","path":"/r","api_key":7})"}) {
    const std::string answer = fleet.Query(query);
    cr_expect(answer.starts_with("HTTP/1.1 400 "), "%s: %s", query, answer.c_str());
    cr_expect(answer.find("\"invalid_query\"") != std::string::npos);
    cr_expect_eq(answer.find("key-1"), std::string::npos);
  }
}
