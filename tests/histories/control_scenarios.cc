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

// Guards only against a run that hangs; the recorded times are checked.
constexpr seconds kMaxWait{60};
constexpr int kBurst = 12;
// Above the age from which gossip takes the word of the instance list on an incarnation.
constexpr std::int64_t kListLagMs = 12'000;

// A change of a scenario is repeated until it is accepted.
ChangeReport Accepted(ControlFleet& fleet, const ChangeReport& draft) {
  for (int attempt = 0; attempt < 10; ++attempt) {
    ChangeReport report = fleet.tool.Change(draft);
    if (report.outcome == records::ChangeOutcome::kAccepted) {
      return report;
    }
  }
  throw std::runtime_error("a change of a scenario was not accepted: " + draft.key.name);
}

Json State(const FleetProcess& process) {
  return Json::parse(testing::Fleet::Fetch(process.addresses.at("admin"), "/state"));
}

// Requests wait in the sockets of a paused router, which then sends them by what it knew before.
void SendThroughPausedRouter(ControlFleet& fleet, FleetProcess& router) {
  fleet.callers.SendTo(router.addresses.at("http"), kBurst, [&] { fleet.Resume(router); });
}

struct EngineState {
  std::vector<EngineOrder> orders;
  std::string loaded;
};

EngineState ReadEngine(ControlFleet& fleet, std::size_t engine) {
  const Json told = Json::parse(
      testing::Fleet::Fetch(fleet.fleet.engines[engine].addresses.at("listening"), "/v1/models"));
  EngineState state;
  state.loaded = told.at("models").value(fleet.fleet.Options().deployment.model, std::string());
  for (const Json& order : told.at("orders")) {
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
  return Accepted(fleet, draft);
}

}  // namespace

ClosedGate DrainEngine(ControlFleet& fleet, std::size_t engine, std::size_t router) {
  const FleetProcess& agent = fleet.fleet.agents[engine];
  FleetProcess& slow_router = fleet.fleet.routers[router];
  fleet.Pause(slow_router);
  ChangeReport draft;
  draft.actor = "scenario";
  draft.key = {"drain_plan", "drain-" + agent.name};
  draft.fields = {
      {"endpoints", Json{agent.name}.dump()},
      {"start", Json(absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::Now() - absl::Seconds(1),
                                      absl::UTCTimeZone()))
                    .dump()}};
  const ChangeReport drain = Accepted(fleet, draft);
  ClosedGate gate;
  gate.endpoint = agent.name;
  gate.ordered = drain.reported;
  if (WaitUntil([&] { return fleet.Poller(agent).Latest().version >= drain.version; }, kMaxWait)) {
    gate.seen = NowMs();
  }
  SendThroughPausedRouter(fleet, slow_router);
  gate.reopening = NowMs();
  draft.fields.clear();
  draft.action = ChangeReport::Action::kDelete;
  Accepted(fleet, draft);
  return gate;
}

ClosedGate LeaveByList(ControlFleet& fleet, std::size_t engine, std::size_t router) {
  const FleetProcess& agent = fleet.fleet.agents[engine];
  FleetProcess& slow_router = fleet.fleet.routers[router];
  // The list may mean the predecessor of a younger process.
  const std::int64_t started = fleet.Poller(agent).Run().started;
  (void)WaitUntil([&] { return NowMs() >= started + kListLagMs; }, kMaxWait);
  fleet.Pause(slow_router);
  ClosedGate gate;
  gate.endpoint = agent.name;
  gate.ordered = NowMs();
  testing::Fleet::Control(*fleet.fleet.instance_list, Json{{"leaving", {agent.name}}}.dump());
  const auto closed = [&] { return State(agent)["agent"]["gate"].value("closed", false); };
  if (WaitUntil(closed, kMaxWait * 3)) {
    gate.seen = NowMs();
  }
  SendThroughPausedRouter(fleet, slow_router);
  return gate;
}

EngineHistory ReplaceHolder(ControlFleet& fleet, std::size_t engine, std::uint64_t seed) {
  FleetProcess& holder = fleet.fleet.agents[engine];
  SeededRandomSource random(seed);
  EngineHistory history;
  history.checks_fencing = seed % 2 == 0;
  // The holder reads its fence before each order; while that is slow, the pause often comes
  // between the two.
  const ChangeReport change = SetModelVersion(fleet, "2");
  fleet.BeginPlatformFault(R"({"slow_ms":600})", true);
  (void)WaitUntil([&] { return fleet.Poller(holder).Latest().version >= change.version; },
                  kMaxWait);
  std::this_thread::sleep_for(milliseconds(random.Below(1'400)));
  fleet.Pause(holder);
  std::this_thread::sleep_for(milliseconds(700));
  fleet.EndPlatformFaults();

  testing::ChildProcess successor(holder.arguments, (fleet.fleet.Folder() / "successor.log"));
  const Json addresses = Json::parse(successor.ReadLine());
  VersionPoller poller(holder.name + "-successor", addresses.at("admin").get<std::string>());
  const ChangeReport next = SetModelVersion(fleet, "3");
  history.target = "3";
  const auto is_loaded = [&] { return ReadEngine(fleet, engine).loaded == history.target; };
  (void)WaitUntil(is_loaded, kMaxWait);
  fleet.Resume(holder);
  // Whatever the old holder still sends comes right after it runs again.
  (void)WaitUntil([&] { return fleet.Poller(holder).Latest().version >= next.version; }, kMaxWait);
  std::this_thread::sleep_for(seconds(2));
  (void)WaitUntil(is_loaded, kMaxWait);
  const EngineState state = ReadEngine(fleet, engine);
  history.orders = state.orders;
  history.loaded = state.loaded;
  const std::string fence = fleet.PlatformValue("fence/" + holder.name);
  history.fence = fence.empty() ? 0 : std::stoull(fence);
  return history;
}

}  // namespace wagtailwind::histories
