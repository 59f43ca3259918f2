#include "support/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "http/client.h"

namespace wagtailwind::testing {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{10};
// Ends a test that would otherwise hang. Far more than a busy machine needs.
constexpr int kMaxReadinessPolls = 6000;
constexpr std::chrono::milliseconds kReadinessPoll{20};

std::filesystem::path MakeFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "wagtailwind-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("mkdtemp failed");
  }
  return pattern;
}

std::string EndpointSettings(const std::string& name, const std::string& kind,
                             const std::string& pool, const std::string& address,
                             const std::string& models) {
  std::string text = "endpoint: {name: " + name + ", kind: " + kind + ", pool: " + pool +
                     ", address: \"" + address + "\"";
  return text + (models.empty() ? "" : ", models: [" + models + "]") + "}\n";
}

}  // namespace

Deployment KandyLanka() {
  return {"lk-west",     {"colombo-a", "colombo-b", "negombo", "kalutara"},
          "wagtail-llm", "returns-summary",
          "returns-api", "/pickups",
          "kandy-lanka"};
}

Deployment Clearview() {
  return {"midlands",     {"leicester", "coventry", "derby"},
          "wagtail-pool", "quote-writer",
          "bookings",     "/bookings",
          "clearview"};
}

Fleet::Fleet(FleetOptions options) : m_options(std::move(options)), m_folder(MakeFolder()) {
  const Deployment& deployment = m_options.deployment;
  key_values = StartStandIn("key_value_stand_in", "key-value", {});
  instance_list = StartStandIn("instance_list_stand_in", "instance-list", {});
  for (int i = 0; i < m_options.engines; ++i) {
    const std::string name = deployment.engine_pool + "-" + std::to_string(i + 1);
    std::vector<std::string> arguments{"--name", name};
    arguments.insert(arguments.end(), m_options.engine_arguments.begin(),
                     m_options.engine_arguments.end());
    engines.push_back(StartStandIn("engine_stand_in", name + "-engine", arguments));
    agents.push_back(
        StartDaemon(name, ZoneOf(i),
                    "role: agent\n" + EndpointSettings(name, "engine", deployment.engine_pool,
                                                       engines.back().addresses["listening"],
                                                       deployment.model)));
    PublishInstances();
  }
  for (int i = 0; i < m_options.services; ++i) {
    const std::string name = deployment.service + "-" + std::to_string(i + 1);
    std::vector<std::string> arguments{"--name", name};
    arguments.insert(arguments.end(), m_options.service_arguments.begin(),
                     m_options.service_arguments.end());
    services.push_back(StartStandIn("service_stand_in", name + "-service", arguments));
    agents.push_back(StartDaemon(
        name, ZoneOf(i),
        "role: agent\n" + EndpointSettings(name, "service", deployment.service,
                                           services.back().addresses["listening"], "")));
    PublishInstances();
  }
  for (int i = 0; i < m_options.routers; ++i) {
    routers.push_back(StartDaemon("entry-" + std::to_string(i + 1), ZoneOf(i), "role: router\n"));
    PublishInstances();
  }
}

Fleet::~Fleet() {
  if (std::uncaught_exceptions() == 0 && std::getenv("WAGTAILWIND_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
}

std::string Fleet::ZoneOf(int index) const {
  const std::vector<std::string>& zones = m_options.deployment.zones;
  return zones[static_cast<std::size_t>(index) % zones.size()];
}

FleetProcess Fleet::StartStandIn(const std::string& program, const std::string& name,
                                 std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {(m_options.binary_dir / "tests" / program).string(),
                                       "--listen", "127.0.0.1:0"});
  FleetProcess process{name, "", std::move(arguments), ChildProcess({"/bin/true"}), {}};
  Launch(process);
  // A restarted stand-in keeps its address, because its agent's settings contain it.
  process.arguments[2] = process.addresses["listening"];
  return process;
}

FleetProcess Fleet::StartDaemon(const std::string& name, const std::string& zone,
                                const std::string& role_settings) {
  const bool is_router = role_settings.find("router") != std::string::npos;
  const std::filesystem::path file = m_folder / (name + ".yaml");
  std::ofstream(file) << role_settings << "instance: {name: " << name
                      << ", availability_zone: " << zone
                      << ", region: " << m_options.deployment.region << "}\n"
                      << "listen: {" << (is_router ? "http: \"127.0.0.1:0\", " : "")
                      << "rpc: \"127.0.0.1:0\", gossip: \"127.0.0.1:0\", admin: \"127.0.0.1:0\"}\n"
                      << "platform: {key_value: \"" << key_values->addresses["listening"]
                      << "\", instance_list: \"" << instance_list->addresses["listening"] << "\"}\n"
                      << m_options.extra_settings;
  FleetProcess process{
      name,
      zone,
      {(m_options.binary_dir / m_options.daemon).string(), "--config", file.string()},
      ChildProcess({"/bin/true"}),
      {}};
  Launch(process);
  return process;
}

void Fleet::Launch(FleetProcess& process) {
  process.process = ChildProcess(process.arguments, LogFile(process).string());
  const std::string line = process.process.ReadLine();
  const Json addresses = Json::parse(line, nullptr, false);
  if (!addresses.is_object()) {
    throw std::runtime_error(process.name + " did not start; its first line of output: " + line);
  }
  process.addresses.clear();
  for (const auto& [key, value] : addresses.items()) {
    if (value.is_string()) {
      process.addresses[key] = value.get<std::string>();
    }
  }
}

void Fleet::Restart(FleetProcess& process) {
  process.process.Signal(SIGKILL);
  process.process.Wait();
  Launch(process);
  PublishInstances();
}

void Fleet::PublishInstances() {
  Json list = Json::array();
  for (const std::vector<FleetProcess>* group : {&agents, &routers}) {
    for (const FleetProcess& process : *group) {
      list.push_back({{"name", process.name},
                      {"zone", process.zone},
                      {"gossip_address", process.addresses.at("gossip")},
                      {"leaving", false}});
    }
  }
  Control(*instance_list, Json{{"instances", list}}.dump());
}

void Fleet::LoadRecordsAndWaitReady() {
  const std::filesystem::path records =
      m_options.source_dir / "examples" / m_options.deployment.folder / "records.yaml";
  ChildProcess tool({(m_options.binary_dir / "wagtailwind").string(), "put", records.string(),
                     "--platform", key_values->addresses["listening"]},
                    (m_folder / "tool.log").string());
  if (tool.Wait() != 0) {
    throw std::runtime_error("the example records were rejected; see the logs in " +
                             m_folder.string());
  }
  for (const std::vector<FleetProcess>* group : {&agents, &routers}) {
    for (const FleetProcess& process : *group) {
      WaitReady(process);
    }
  }
}

void Fleet::WaitReady(const FleetProcess& process) {
  http::Client client(process.addresses.at("admin"));
  for (int poll = 0; poll < kMaxReadinessPolls; ++poll) {
    try {
      if (client.Send("GET", "/readyz", "", kCallTimeout).status == 200) {
        return;
      }
    } catch (const Error&) {
      // The process may not be listening yet.
    }
    std::this_thread::sleep_for(kReadinessPoll);
  }
  throw std::runtime_error(process.name + " did not become ready");
}

void Fleet::WaitAllKnown() const {
  const std::size_t count = routers.size() + agents.size();
  const auto knows_all = [count](const FleetProcess& process) {
    const Json state = Json::parse(Fetch(process.addresses.at("admin"), "/state"));
    const Json& members = state.at("gossip").at("members");
    return std::count_if(members.begin(), members.end(), [](const Json& member) {
             return member.at("state") == "alive";
           }) >= static_cast<std::ptrdiff_t>(count);
  };
  for (const std::vector<FleetProcess>* group : {&agents, &routers}) {
    for (const FleetProcess& process : *group) {
      int polls = 0;
      while (!knows_all(process)) {
        if (++polls > kMaxReadinessPolls) {
          throw std::runtime_error(process.name + " does not know all members");
        }
        std::this_thread::sleep_for(kReadinessPoll);
      }
    }
  }
}

std::map<std::string, int> Fleet::StopGracefully() {
  std::map<std::string, int> statuses;
  for (std::vector<FleetProcess>* group : {&routers, &agents}) {
    for (const FleetProcess& process : *group) {
      process.process.Signal(SIGTERM);
    }
    for (FleetProcess& process : *group) {
      statuses[process.name] = process.process.Wait();
    }
  }
  return statuses;
}

void Fleet::Control(const FleetProcess& stand_in, const std::string& json) {
  http::Client client(stand_in.addresses.at("listening"));
  const http::Response response = client.Send("POST", "/control", json, kCallTimeout);
  if (response.status != 200) {
    throw std::runtime_error("control of " + stand_in.name + " failed: " + response.body);
  }
}

std::string Fleet::Fetch(const std::string& address, const std::string& path) {
  return http::Client(address).Send("GET", path, "", kCallTimeout).body;
}

std::filesystem::path Fleet::LogFile(const FleetProcess& process) const {
  return m_folder / (process.name + ".log");
}

}  // namespace wagtailwind::testing
