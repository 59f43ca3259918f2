#include "histories/control_fleet.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "core/metrics.h"
#include "platform/http_key_value_service.h"

namespace wagtailwind::histories {

namespace {

using testing::FleetProcess;

// Keeps a run from hanging. The checks compare the recorded times with the bounds.
constexpr std::chrono::seconds kMaxWait{60};

constexpr const char* kNoFaults =
    R"({"down":false,"slow_ms":0,"lose_next_writes":0,"drop_next_writes":0,)"
    R"("lose_every_write":0,"stale_reads":false})";

testing::FleetOptions MakeFleetOptions(const RunOptions& options) {
  testing::FleetOptions fleet;
  fleet.binary_dir = options.binary_dir;
  fleet.source_dir = options.source_dir;
  fleet.engines = 2;
  fleet.services = 1;
  if (options.seed % 2 == 0) {
    fleet.engine_arguments = {"--check-fencing"};
  }
  if (!options.mutant.empty()) {
    fleet.daemon = "wagtailwindd_mutants";
  }
  return fleet;
}

}  // namespace

ControlFleet::ControlFleet(const RunOptions& options)
    : fleet(MakeFleetOptions(options)),
      tool(options.binary_dir / (options.mutant.empty() ? "wagtailwind" : "wagtailwind_mutants"),
           fleet.key_values->addresses.at("listening"), fleet.Folder()),
      callers(fleet.Options().deployment.model, fleet.Options().deployment.folder, options.seed,
              2) {
  fleet.LoadRecordsAndWaitReady();
  for (const FleetProcess* process : Processes()) {
    StartPoller(*process);
  }
  UpdateRouterAddresses();
}

std::vector<const FleetProcess*> ControlFleet::Processes() const {
  std::vector<const FleetProcess*> processes;
  for (const std::vector<FleetProcess>* group : {&fleet.agents, &fleet.routers}) {
    for (const FleetProcess& process : *group) {
      processes.push_back(&process);
    }
  }
  return processes;
}

FleetProcess& ControlFleet::Process(const std::string& name) {
  for (std::vector<FleetProcess>* group : {&fleet.agents, &fleet.routers}) {
    for (FleetProcess& process : *group) {
      if (process.name == name) {
        return process;
      }
    }
  }
  throw std::runtime_error("no process " + name);
}

void ControlFleet::StartPoller(const FleetProcess& process) {
  m_pollers[process.name] =
      std::make_unique<VersionPoller>(process.name, process.addresses.at("admin"));
}

void ControlFleet::UpdateRouterAddresses() {
  std::vector<std::string> addresses;
  for (const FleetProcess& router : fleet.routers) {
    addresses.push_back(router.addresses.at("http"));
  }
  callers.SetRouters(std::move(addresses));
}

void ControlFleet::Restart(FleetProcess& process) {
  VersionPoller& poller = *m_pollers.at(process.name);
  poller.MarkEnded();
  m_ended.push_back(poller.Run());
  fleet.Restart(process);
  StartPoller(process);
  UpdateRouterAddresses();
}

void ControlFleet::Pause(FleetProcess& process) {
  m_pollers.at(process.name)->BeginPause();
  process.process.Signal(SIGSTOP);
}

void ControlFleet::Resume(FleetProcess& process) {
  process.process.Signal(SIGCONT);
  m_pollers.at(process.name)->EndPause();
}

void ControlFleet::BeginPlatformFault(const std::string& control, bool is_outage) {
  if (is_outage) {
    m_outages.push_back({NowMs(), kNever});
  }
  testing::Fleet::Control(*fleet.key_values, control);
}

void ControlFleet::EndPlatformFaults() {
  testing::Fleet::Control(*fleet.key_values, kNoFaults);
  for (Interval& outage : m_outages) {
    outage.end = std::min(outage.end, NowMs());
  }
}

records::ConfigurationVersion ControlFleet::CommonVersion() const {
  std::optional<records::ConfigurationVersion> common;
  for (const auto& [name, poller] : m_pollers) {
    const VersionSample sample = poller->Latest();
    if (!sample.ready || sample.version != common.value_or(sample.version)) {
      return 0;
    }
    common = sample.version;
  }
  return common.value_or(0);
}

bool ControlFleet::WaitForPlatformVersion() {
  const records::ConfigurationVersion version = Document().version;
  return WaitUntil([&] { return CommonVersion() == version; }, kMaxWait);
}

std::string ControlFleet::PlatformValue(const std::string& key) const {
  MetricsRegistry metrics;
  platform::HttpKeyValueService service(fleet.key_values->addresses.at("listening"), metrics);
  const std::optional<platform::VersionedValue> value = service.Get(key);
  return value ? value->value : "";
}

records::Document ControlFleet::Document() const {
  return records::ParseDocument(PlatformValue("config"));
}

std::vector<ProcessRun> ControlFleet::Runs() const {
  std::vector<ProcessRun> runs = m_ended;
  for (const auto& [name, poller] : m_pollers) {
    runs.push_back(poller->Run());
  }
  return runs;
}

}  // namespace wagtailwind::histories
