// Endpoints that name a limit of requests.

#include <list>
#include <string>
#include <vector>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ForwarderFixture;
using testing::ScriptedServer;

using Connection = ScriptedServer::Connection;

constexpr double kLimit = 2.0;

// What the platform tolerates: one and a half times the limit in any 4 s, and five requests.
constexpr std::chrono::seconds kWindow{4};
constexpr int kTolerated = 17;

/// An endpoint `limited` that may name a limit, and one without.
struct LimitedPool : ForwarderFixture {
  LimitedPool() {
    AddEndpoint("limited", [this](Connection& connection) {
      arrivals.push_back(clock.Now());
      if (is_garbled) {
        const std::string id(http::FindHeader(connection.head.headers, "Attempt"));
        connection.Write(testing::HttpText(200, "Attempt: " + id + "\r\n", "limited"));
        return;
      }
      const std::string limit = names_limit ? "Limit: " + std::to_string(kLimit) + "\r\n" : "";
      connection.Write(
          testing::HttpText(200, testing::SignedHeaders(connection) + limit, "limited"));
    });
    AddEndpoint("other", testing::AnswerOk);
    Configure(testing::TestRoute(RequestKind::kIdempotent, 2));
    Start();
  }

  /// Sends a request every 10 ms for some time, and expects all to be served.
  void CallFor(std::chrono::milliseconds time) {
    const SteadyTime end = clock.Now() + time;
    while (clock.Now() < end) {
      const auto answer = Send();
      loop.RunFor(10ms);
      cr_assert(RunUntil([&] { return answer->complete; }));
      cr_assert_eq(answer->status, 200);
    }
  }

  [[nodiscard]] int MostInWindow(SteadyTime from) const {
    int most = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      int count = 0;
      for (std::size_t j = i; j < arrivals.size() && arrivals[j] - arrivals[i] < kWindow; ++j) {
        ++count;
      }
      most = arrivals[i] < from ? most : std::max(most, count);
    }
    return most;
  }

  std::vector<SteadyTime> arrivals;
  bool names_limit = true;
  bool is_garbled = false;
};

}  // namespace

// Guards against an endpoint in need that gets as many requests as the others, although it has said
// how many it takes.
Test(forward_request_limit, is_kept_while_the_other_endpoint_serves_the_rest, .timeout = 60) {
  LimitedPool fleet;
  fleet.CallFor(200ms);
  const SteadyTime told = fleet.clock.Now();
  fleet.CallFor(5'000ms);
  cr_assert_leq(fleet.MostInWindow(told), kTolerated);
  cr_assert_geq(fleet.MostInWindow(told), static_cast<int>(kLimit * kWindow.count() / 2));
}

// Guards against routers that each keep the limit alone.
Test(forward_request_limit, is_kept_by_several_routers_together, .timeout = 60) {
  LimitedPool fleet;
  std::list<std::unique_ptr<forward::Forwarder>> routers;
  constexpr int kMoreRouters = 5;
  for (int i = 0; i < kMoreRouters; ++i) {
    routers.push_back(std::move(fleet.forwarder));
    fleet.Start();
  }
  routers.push_back(std::move(fleet.forwarder));
  const auto call_all = [&](std::chrono::milliseconds time) {
    const SteadyTime end = fleet.clock.Now() + time;
    while (fleet.clock.Now() < end) {
      std::swap(fleet.forwarder, routers.front());
      fleet.CallFor(1ms);
      std::swap(fleet.forwarder, routers.front());
      routers.splice(routers.end(), routers, routers.begin());
    }
  };
  // The routers have found each other, and know the limit.
  fleet.loop.RunFor(5'000ms);
  call_all(1'000ms);
  const SteadyTime told = fleet.clock.Now();
  call_all(5'000ms);
  cr_assert_leq(fleet.MostInWindow(told), kTolerated);
}

// Guards against a limit that outlives its cause.
Test(forward_request_limit, ends_with_the_answers_that_name_none, .timeout = 60) {
  LimitedPool fleet;
  fleet.CallFor(1'000ms);
  fleet.names_limit = false;
  fleet.CallFor(1'500ms);
  const SteadyTime ended = fleet.clock.Now();
  fleet.CallFor(1'000ms);
  cr_assert_gt(fleet.MostInWindow(ended), kTolerated);
}

// Guards against telling all routers that a limit has ended because of an answer that is not the
// endpoint's own.
Test(forward_request_limit, does_not_end_with_an_answer_without_a_signature, .timeout = 60) {
  LimitedPool fleet;
  // The router has written its own record.
  fleet.loop.RunFor(4'500ms);
  fleet.CallFor(1'000ms);
  const int writes = fleet.store.calls["/put"];
  fleet.is_garbled = true;
  const std::size_t before = fleet.arrivals.size();
  while (fleet.arrivals.size() == before) {
    fleet.CallFor(10ms);
  }
  fleet.loop.RunFor(1'000ms);
  cr_assert_eq(fleet.store.calls["/put"], writes);
}
