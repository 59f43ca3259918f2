#include "histories/control_scenarios.h"

#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wagtailwind::histories {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FleetProcess;

// Keeps a run from hanging. The checks compare the recorded times with the bounds.
constexpr seconds kMaxWait{60};
constexpr int kBurstRequests = 12;
// Longer than the age from which gossip applies an entry of the instance list to an incarnation.
constexpr std::int64_t kMinProcessAgeMs = 12'000;

// Repeats a change until it is accepted; throws after 10 attempts.
ChangeReport ChangeUntilAccepted(ControlFleet& fleet, const ChangeReport& draft) {
  for (int attempt = 0; attempt < 10; ++attempt) {
    ChangeReport report = fleet.tool.Change(draft);
    if (report.outcome == records::ChangeOutcome::kAccepted) {
      return report;
    }
  }
  throw std::runtime_error("a change of a scenario was not accepted: " + draft.key.name);
}

Json FetchState(const FleetProcess& process) {
  return Json::parse(testing::Fleet::Fetch(process.addresses.at("admin"), "/state"));
}

// Sends requests to a paused router and resumes it. The requests wait in its sockets, and it routes
// them by the state it had before the pause.
void SendThroughPausedRouter(ControlFleet& fleet, FleetProcess& router) {
  fleet.callers.SendTo(router.addresses.at("http"), kBurstRequests, [&] { fleet.Resume(router); });
}

struct EngineState {
  std::vector<EngineOrder> orders;
  std::string loaded;
};

EngineState FetchEngineState(ControlFleet& fleet, std::size_t engine) {
  const Json response = Json::parse(
      testing::Fleet::Fetch(fleet.fleet.engines[engine].addresses.at("listening"), "/v1/models"));
  EngineState state;
  state.loaded = response.at("models").value(fleet.fleet.Options().deployment.model, std::string());
  for (const Json& order : response.at("orders")) {
    state.orders.push_back(
        {order.at("at_ms").get<std::int64_t>(), order.at("version").get<std::string>(),
         order.at("fencing_token").get<std::uint64_t>(), order.at("taken").get<bool>()});
  }
  return state;
}

ChangeReport SetModelVersion(ControlFleet& fleet, const std::string& version) {
  ChangeReport draft;
  draft.actor = "scenario";
  draft.key = {"model", fleet.fleet.Options().deployment.model};
  draft.action = ChangeReport::Action::kEdit;
  draft.fields = {{"versions", Json{"1", version}.dump()}};
  return ChangeUntilAccepted(fleet, draft);
}

}  // namespace

AdmissionClosure DrainEngine(ControlFleet& fleet, std::size_t engine, std::size_t router) {
  const FleetProcess& agent = fleet.fleet.agents[engine];
  FleetProcess& paused_router = fleet.fleet.routers[router];
  fleet.Pause(paused_router);
  ChangeReport draft;
  draft.actor = "scenario";
  draft.key = {"drain_plan", "drain-" + agent.name};
  draft.fields = {
      {"endpoints", Json{agent.name}.dump()},
      {"start", Json(absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::Now() - absl::Seconds(1),
                                      absl::UTCTimeZone()))
                    .dump()}};
  const ChangeReport drain = ChangeUntilAccepted(fleet, draft);
  AdmissionClosure closure;
  closure.endpoint = agent.name;
  closure.requested = drain.reported;
  if (WaitUntil([&] { return fleet.Poller(agent).Latest().version >= drain.version; }, kMaxWait)) {
    closure.observed = NowMs();
  }
  SendThroughPausedRouter(fleet, paused_router);
  closure.reopened = NowMs();
  draft.fields.clear();
  draft.action = ChangeReport::Action::kDelete;
  ChangeUntilAccepted(fleet, draft);
  return closure;
}

AdmissionClosure MarkAgentLeaving(ControlFleet& fleet, std::size_t engine, std::size_t router) {
  const FleetProcess& agent = fleet.fleet.agents[engine];
  FleetProcess& paused_router = fleet.fleet.routers[router];
  // For a younger process, the list entry may refer to its predecessor and is ignored.
  const std::int64_t started = fleet.Poller(agent).Run().started;
  (void)WaitUntil([&] { return NowMs() >= started + kMinProcessAgeMs; }, kMaxWait);
  fleet.Pause(paused_router);
  AdmissionClosure closure;
  closure.endpoint = agent.name;
  closure.requested = NowMs();
  testing::Fleet::Control(*fleet.fleet.instance_list, Json{{"leaving", {agent.name}}}.dump());
  const auto closed = [&] { return FetchState(agent)["agent"]["gate"].value("closed", false); };
  if (WaitUntil(closed, kMaxWait * 3)) {
    closure.observed = NowMs();
  }
  SendThroughPausedRouter(fleet, paused_router);
  return closure;
}

EngineHistory ReplaceFenceHolder(ControlFleet& fleet, std::size_t engine, std::uint64_t seed) {
  FleetProcess& holder = fleet.fleet.agents[engine];
  SeededRandomSource random(seed);
  EngineHistory history;
  history.checks_fencing = seed % 2 == 0;
  // The holder reads its fence before each order. Slow reads make it likely that the pause falls
  // between the read and the order.
  const ChangeReport change = SetModelVersion(fleet, "2");
  fleet.BeginPlatformFault(R"({"slow_ms":600})", true);
  (void)WaitUntil([&] { return fleet.Poller(holder).Latest().version >= change.version; },
                  kMaxWait);
  std::this_thread::sleep_for(milliseconds(random.NextBelow(1'400)));
  fleet.Pause(holder);
  std::this_thread::sleep_for(milliseconds(700));
  fleet.EndPlatformFaults();

  testing::ChildProcess successor(holder.arguments, (fleet.fleet.Folder() / "successor.log"));
  const Json addresses = Json::parse(successor.ReadLine());
  VersionPoller poller(holder.name + "-successor", addresses.at("admin").get<std::string>());
  const ChangeReport next = SetModelVersion(fleet, "3");
  history.target = "3";
  const auto is_loaded = [&] { return FetchEngineState(fleet, engine).loaded == history.target; };
  (void)WaitUntil(is_loaded, kMaxWait);
  fleet.Resume(holder);
  // The old holder sends any pending order right after it resumes.
  (void)WaitUntil([&] { return fleet.Poller(holder).Latest().version >= next.version; }, kMaxWait);
  std::this_thread::sleep_for(seconds(2));
  (void)WaitUntil(is_loaded, kMaxWait);
  const EngineState state = FetchEngineState(fleet, engine);
  history.orders = state.orders;
  history.loaded = state.loaded;
  const std::string fence = fleet.PlatformValue("fence/" + holder.name);
  history.fence = fence.empty() ? 0 : std::stoull(fence);
  return history;
}

}  // namespace wagtailwind::histories
