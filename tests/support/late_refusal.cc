#include "support/late_refusal.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

namespace wagtailwind::testing {

namespace {

using namespace std::chrono_literals;
using forward::RequestKind;
using Connection = ScriptedServer::Connection;

constexpr const char* kKeepAlive = "Keep-Alive: timeout=5\r\n";

std::string Refusal(const Connection& connection, const std::string& fields) {
  return HttpText(503, SignedHeaders(connection) + kKeepAlive + "Refused: 1\r\n" + fields, "");
}

/// Endpoints that hold their requests until the test answers them.
struct HoldingFleet : ForwarderFixture {
  HoldingFleet(const std::vector<std::string>& names, forward::Route route) {
    for (const std::string& name : names) {
      std::vector<Connection*>& requests = held[name];
      AddEndpoint(name, [&requests](Connection& connection) { requests.push_back(&connection); });
    }
    Configure(std::move(route));
    Start();
  }

  /// Sends a request with an id and a prompt of its own.
  std::shared_ptr<CallerAnswer> SendNext() {
    const std::string number = std::to_string(++m_sent);
    return Send("Attempt: r-" + number + "\r\nParts: p" + number + ":800,q" + number + ":9\r\n");
  }

  [[nodiscard]] std::size_t Held() const {
    std::size_t count = 0;
    for (const auto& [name, requests] : held) {
      count += requests.size();
    }
    return count;
  }

  /// The connections of all requests, in the order of their arrival.
  std::map<std::string, std::vector<Connection*>> held;

 private:
  int m_sent = 0;
};

}  // namespace

int ArrivalsOfDelayedStep(const std::string& fields) {
  auto route = TestRoute(RequestKind::kStream, 3);
  route.resumable = true;
  route.has_prompt = true;
  HoldingFleet fleet({"e1", "e2"}, route);
  const auto first = fleet.SendNext();
  if (!fleet.RunUntil([&] { return fleet.Held() == 1; })) {
    return -1;
  }
  const bool at_e1 = !fleet.held["e1"].empty();
  Connection& lost = *fleet.held[at_e1 ? "e1" : "e2"].front();
  std::vector<Connection*>& other = fleet.held[at_e1 ? "e2" : "e1"];
  for (std::size_t i = 0; i < 10 && other.size() < 2; ++i) {
    fleet.SendNext();
    if (!fleet.RunUntil([&, count = i + 2] { return fleet.Held() == count; })) {
      return -1;
    }
  }
  if (other.size() < 2) {
    return -1;
  }
  other[0]->Write(HttpText(200, SignedHeaders(*other[0]) + kKeepAlive, "answer"));
  lost.Write(StreamHead(lost));
  fleet.loop.RunFor(10ms);
  // The retry starts 25 ms after the loss, and both are read before that.
  const std::size_t before = other.size();
  lost.Reset();
  other[1]->Write(Refusal(*other[1], fields));
  fleet.loop.RunFor(200ms);
  return static_cast<int>(other.size() - before);
}

int ArrivalsOnOpenedConnection(const std::string& fields) {
  HoldingFleet fleet({"e1"}, TestRoute(RequestKind::kIdempotent));
  std::vector<Connection*>& held = fleet.held["e1"];
  fleet.SendNext();
  if (!fleet.RunUntil([&] { return held.size() == 1; })) {
    return -1;
  }
  const RawConnection caller(fleet.forwarder->CallerAddress());
  fleet.loop.RunFor(20ms);
  const std::size_t before = held.size();
  // The router reads both in one turn of its loop, the request first, and learns in a later turn
  // that its connection has opened.
  caller.Write(RequestText("Attempt: waiting\r\n"));
  held[0]->Write(Refusal(*held[0], fields));
  fleet.loop.RunFor(200ms);
  return static_cast<int>(held.size() - before);
}

ProbeArrivals ArrivalsAfterFailures(const std::string& fields) {
  constexpr std::size_t kFailuresToOpen = 4;
  HoldingFleet fleet({"e1"}, TestRoute(RequestKind::kIdempotent));
  std::vector<Connection*>& held = fleet.held["e1"];
  for (std::size_t i = 0; i < kFailuresToOpen; ++i) {
    fleet.SendNext();
  }
  if (!fleet.RunUntil([&] { return held.size() == kFailuresToOpen; })) {
    return {.early = -1, .late = -1};
  }
  for (Connection* connection : held) {
    // Signed, but not marked as a refusal: a failure.
    connection->Write(HttpText(503, SignedHeaders(*connection) + kKeepAlive + fields, ""));
  }
  const auto arrivals_until = [&](SteadyTime end) {
    const std::size_t before = held.size();
    while (fleet.clock.Now() < end) {
      fleet.SendNext();
      fleet.loop.RunFor(10ms);
    }
    return static_cast<int>(held.size() - before);
  };
  fleet.loop.RunFor(10ms);
  const SteadyTime start = fleet.clock.Now();
  ProbeArrivals arrivals;
  arrivals.early = arrivals_until(start + 1'300ms);
  arrivals.late = arrivals_until(start + 3'000ms);
  return arrivals;
}

}  // namespace wagtailwind::testing
