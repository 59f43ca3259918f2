#include "histories/control_faults.h"

#include <chrono>
#include <thread>

#include "histories/fault_plan.h"

namespace wagtailwind::histories {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process that starts during an outage takes 7 s until it trusts its peers, so shorter runs omit
// this fault.
constexpr seconds kLengthWithStartInOutage{20};
constexpr seconds kStartTimeout{30};

std::vector<FaultKind> Kinds(std::size_t processes, seconds length) {
  std::vector<FaultKind> kinds{{"platform_down", 1, 2, milliseconds(300), milliseconds(1'500)},
                               {"platform_slow", 1, 2, milliseconds(500), milliseconds(1'500)},
                               {"lost_answers", 1, 4, milliseconds(200), milliseconds(600)},
                               {"stale_reads", 1, 2, milliseconds(300), milliseconds(1'000)},
                               {"stale_start", processes, 2, milliseconds(0), milliseconds(0)},
                               {"kill", processes, 3, milliseconds(0), milliseconds(0)},
                               {"pause", processes, 3, milliseconds(500), milliseconds(2'500)}};
  if (length >= kLengthWithStartInOutage) {
    kinds.push_back({"start_in_outage", processes, 2, milliseconds(0), milliseconds(0)});
  }
  return kinds;
}

class FaultRunner {
 public:
  FaultRunner(ControlFleet& fleet, Operators& operators) : m_fleet(fleet), m_operators(operators) {
    for (const auto* group : {&fleet.fleet.routers, &fleet.fleet.agents}) {
      for (const testing::FleetProcess& process : *group) {
        m_names.push_back(process.name);
      }
    }
  }

  void Execute(const Fault& fault) {
    testing::FleetProcess& target = m_fleet.Process(m_names[fault.target % m_names.size()]);
    if (fault.kind == "kill") {
      m_fleet.Restart(target);
    } else if (fault.kind == "stale_start") {
      StaleStart(target);
    } else if (fault.kind == "start_in_outage") {
      StartInOutage(target);
    } else if (fault.kind == "pause") {
      m_fleet.Pause(target);
      std::this_thread::sleep_for(fault.duration);
      m_fleet.Resume(target);
    } else {
      PlatformFault(fault);
    }
  }

 private:
  void PlatformFault(const Fault& fault) {
    if (fault.kind == "lost_answers") {
      m_fleet.BeginPlatformFault(R"({"lose_next_writes":3})", false);
    } else if (fault.kind == "stale_reads") {
      m_fleet.BeginPlatformFault(R"({"stale_reads":true})", false);
    } else if (fault.kind == "platform_slow") {
      m_fleet.BeginPlatformFault(R"({"slow_ms":250})", true);
    } else {
      m_fleet.BeginPlatformFault(R"({"down":true})", true);
    }
    std::this_thread::sleep_for(fault.duration);
    m_fleet.EndPlatformFaults();
  }

  // Restarts a process while all others have the latest document and the platform serves it the
  // previous one.
  void StaleStart(testing::FleetProcess& target) {
    m_operators.Pause();
    (void)m_fleet.WaitForPlatformVersion();
    m_fleet.BeginPlatformFault(R"({"stale_reads":true})", false);
    m_fleet.Restart(target);
    WaitStarted(target);
    m_fleet.EndPlatformFaults();
    m_operators.Resume();
  }

  void StartInOutage(testing::FleetProcess& target) {
    m_fleet.BeginPlatformFault(R"({"down":true})", true);
    m_fleet.Restart(target);
    WaitStarted(target);
    m_fleet.EndPlatformFaults();
  }

  void WaitStarted(const testing::FleetProcess& target) {
    (void)WaitUntil([&] { return m_fleet.Poller(target).Latest().ready; }, kStartTimeout);
  }

  ControlFleet& m_fleet;
  Operators& m_operators;
  std::vector<std::string> m_names;
};

}  // namespace

std::map<std::string, std::uint64_t> RunFaults(ControlFleet& fleet, Operators& operators,
                                               const RunOptions& options) {
  const std::size_t processes = fleet.fleet.routers.size() + fleet.fleet.agents.size();
  const std::vector<FaultKind> kinds = Kinds(processes, options.length);
  FaultRunner runner(fleet, operators);
  std::map<std::string, std::uint64_t> counts;
  const auto start = std::chrono::steady_clock::now();
  for (const Fault& fault : MakeFaultPlan(kinds, options.seed, options.length)) {
    // If faults take longer than planned, the rest of the plan is skipped after the end of the run.
    if (std::chrono::steady_clock::now() > start + options.length) {
      break;
    }
    std::this_thread::sleep_until(start + fault.begin);
    runner.Execute(fault);
    ++counts[fault.kind];
  }
  return counts;
}

}  // namespace wagtailwind::histories
