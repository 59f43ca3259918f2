#include "histories/fault_injector.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <thread>
#include <utility>

#include "core/error.h"

namespace wagtailwind::histories {

namespace {

using std::chrono::milliseconds;
using wagtailwind::testing::Fleet;

constexpr const char* kNoEngineFaults =
    R"({"cut_next":0,"delay_next":0,"drop_next":0,"stall":false})";
constexpr const char* kNoServiceFaults = R"({"cut_next":0,"delay_next":0,"freeze":false})";
constexpr const char* kNoKeyValueFaults =
    R"({"down":false,"slow_ms":0,"lose_next_writes":0,"drop_next_writes":0})";

bool StartsWith(const Fault& fault, std::string_view prefix) {
  return fault.kind.starts_with(prefix);
}

struct FaultEvent {
  milliseconds time;
  bool begin;
  const Fault* fault;
};

std::vector<FaultEvent> FaultEvents(const std::vector<Fault>& plan) {
  std::vector<FaultEvent> events;
  for (const Fault& fault : plan) {
    events.push_back({fault.begin, true, &fault});
    events.push_back({fault.begin + fault.duration, false, &fault});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const FaultEvent& a, const FaultEvent& b) { return a.time < b.time; });
  return events;
}

}  // namespace

FaultInjector::FaultInjector(Fleet& fleet, std::function<void()> on_restart)
    : m_fleet(fleet), m_on_restart(std::move(on_restart)) {}

std::vector<FaultKind> FaultInjector::Kinds() const {
  const std::size_t agents = m_fleet.agents.size();
  const std::size_t engines = m_fleet.engines.size();
  const std::size_t services = m_fleet.services.size();
  const std::size_t routers = m_fleet.routers.size();
  // Longer than the failure detection time, the admission timeout and the deadlines.
  const milliseconds pause{5'500};
  return {{"kill_agent", agents, 4, milliseconds(100), milliseconds(1'500)},
          {"kill_router", routers, 2, milliseconds(100), milliseconds(800)},
          {"kill_engine", engines, 2, milliseconds(100), milliseconds(1'000)},
          {"kill_service", services, 2, milliseconds(100), milliseconds(1'000)},
          {"pause_agent", agents, 2, pause, pause},
          {"pause_router", routers, 1, pause, pause},
          {"cut_engine", engines, 3, milliseconds(500), milliseconds(500)},
          {"drop_engine", engines, 1, milliseconds(500), milliseconds(500)},
          {"restart_engine", engines, 1, milliseconds(0), milliseconds(0)},
          {"cut_service", services, 4, milliseconds(500), milliseconds(500)},
          {"delay_service", services, 3, milliseconds(500), milliseconds(500)},
          // Calls that wait in a frozen service run after their callers have given up.
          {"freeze_service", services, 2, milliseconds(500), milliseconds(5'000)},
          {"stall_engine", engines, 1, milliseconds(500), milliseconds(5'000)},
          {"delay_engine", engines, 1, milliseconds(500), milliseconds(500)},
          {"key_values_down", 1, 2, milliseconds(300), milliseconds(2'000)},
          {"key_values_slow", 1, 1, milliseconds(300), milliseconds(2'000)},
          {"key_values_lose", 1, 3, milliseconds(500), milliseconds(500)},
          {"key_values_drop", 1, 1, milliseconds(500), milliseconds(500)}};
}

FaultInjector::Process* FaultInjector::ProcessOf(const Fault& fault) {
  if (StartsWith(fault, "kill_agent") || StartsWith(fault, "pause_agent")) {
    return &m_fleet.agents[fault.target];
  }
  if (StartsWith(fault, "kill_router") || StartsWith(fault, "pause_router")) {
    return &m_fleet.routers[fault.target];
  }
  if (StartsWith(fault, "kill_engine")) {
    return &m_fleet.engines[fault.target];
  }
  return StartsWith(fault, "kill_service") ? &m_fleet.services[fault.target] : nullptr;
}

FaultInjector::Process& FaultInjector::StandInOf(const Fault& fault) {
  if (StartsWith(fault, "key_values")) {
    return *m_fleet.key_values;
  }
  const bool is_engine = fault.kind.ends_with("_engine");
  return is_engine ? m_fleet.engines[fault.target] : m_fleet.services[fault.target];
}

std::string FaultInjector::ControlRequest(const Fault& fault) {
  static const std::map<std::string, std::string> controls{
      {"cut_engine", R"({"cut_next":3,"cut_after_bytes":700})"},
      {"drop_engine", R"({"drop_next":2})"},
      {"restart_engine", R"({"restart":true})"},
      {"cut_service", R"({"cut_next":3})"},
      {"delay_service", R"({"delay_next":3,"delay_before_ms":200,"delay_after_ms":700})"},
      {"freeze_service", R"({"freeze":true})"},
      {"stall_engine", R"({"stall":true})"},
      {"delay_engine", R"({"delay_next":3,"delay_ms":500})"},
      {"key_values_down", R"({"down":true})"},
      {"key_values_slow", R"({"slow_ms":400})"},
      {"key_values_lose", R"({"lose_next_writes":5})"},
      {"key_values_drop", R"({"drop_next_writes":5})"}};
  return controls.at(fault.kind);
}

bool FaultInjector::Control(const Process& stand_in, const std::string& json) {
  try {
    Fleet::Control(stand_in, json);
    return true;
  } catch (const std::exception&) {
    // Another fault has stopped the stand-in.
    return false;
  }
}

void FaultInjector::Begin(const Fault& fault) {
  Process* process = ProcessOf(fault);
  bool done = false;
  if (process == nullptr) {
    done = Control(StandInOf(fault), ControlRequest(fault));
  } else if (m_killed.contains(process)) {
    done = false;
  } else if (StartsWith(fault, "kill")) {
    process->process.Signal(SIGKILL);
    process->process.Wait();
    m_killed.insert(process);
    done = true;
  } else {
    process->process.Signal(SIGSTOP);
    done = m_paused.insert(process).second;
  }
  if (done) {
    ++m_counts[fault.kind];
  }
  std::clog << fault.begin.count() << " ms: " << fault.kind << ' ' << fault.target << " for "
            << fault.duration.count() << " ms"
            << (done ? "" : ", already in effect or not possible") << std::endl;
}

void FaultInjector::Restart(Process& process) {
  if (m_killed.erase(&process) > 0) {
    m_paused.erase(&process);
    m_fleet.Restart(process);
    m_on_restart();
  }
}

void FaultInjector::End(const Fault& fault) {
  Process* process = ProcessOf(fault);
  if (process != nullptr && StartsWith(fault, "kill")) {
    Restart(*process);
  } else if (process != nullptr) {
    if (m_paused.erase(process) > 0) {
      process->process.Signal(SIGCONT);
    }
  } else if (StartsWith(fault, "key_values")) {
    (void)Control(*m_fleet.key_values, kNoKeyValueFaults);
  } else if (fault.kind == "freeze_service") {
    (void)Control(StandInOf(fault), R"({"freeze":false})");
  } else if (fault.kind == "stall_engine") {
    (void)Control(StandInOf(fault), R"({"stall":false})");
  }
}

void FaultInjector::Run(const std::vector<Fault>& plan) {
  const auto start = std::chrono::steady_clock::now();
  for (const FaultEvent& event : FaultEvents(plan)) {
    std::this_thread::sleep_until(start + event.time);
    if (event.begin) {
      Begin(*event.fault);
    } else {
      End(*event.fault);
    }
  }
}

void FaultInjector::EndAllFaults() {
  for (Process* process : std::set<Process*>(m_paused)) {
    process->process.Signal(SIGCONT);
  }
  m_paused.clear();
  for (Process* process : std::set<Process*>(m_killed)) {
    Restart(*process);
  }
  (void)Control(*m_fleet.key_values, kNoKeyValueFaults);
  for (const Process& engine : m_fleet.engines) {
    (void)Control(engine, kNoEngineFaults);
  }
  for (const Process& service : m_fleet.services) {
    (void)Control(service, kNoServiceFaults);
  }
  for (const std::vector<Process>* group : {&m_fleet.agents, &m_fleet.routers}) {
    for (const Process& process : *group) {
      Fleet::WaitReady(process);
    }
  }
}

}  // namespace wagtailwind::histories
