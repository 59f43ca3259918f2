#ifndef WAGTAILWIND_TESTS_SUPPORT_FLEET_H_
#define WAGTAILWIND_TESTS_SUPPORT_FLEET_H_

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/child_process.h"

namespace wagtailwind::testing {

/// \brief One of the two deployments that the examples describe.
struct Deployment {
  std::string region;
  std::vector<std::string> zones;
  std::string engine_pool;
  std::string model;
  std::string service;
  /// A call of the service that may run at most once.
  std::string non_repeatable_path;
  /// Name of the folder below `examples`.
  std::string folder;
};

[[nodiscard]] Deployment KandyLanka();
[[nodiscard]] Deployment Clearview();

/// \brief What to start.
struct FleetOptions {
  std::filesystem::path binary_dir;
  std::filesystem::path source_dir;
  Deployment deployment = KandyLanka();
  int routers = 2;
  int engines = 3;
  int services = 2;
  /// Program name; `wagtailwindd_mutants` for a run with a mutant.
  std::string daemon = "wagtailwindd";
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
  /// YAML that is added to each daemon's settings.
  std::string extra_settings;
};

/// \brief A running program with its addresses, as it printed them: `http`, `rpc`, `gossip`,
/// `admin` of daemons, `listening` of stand-ins.
struct FleetProcess {
  std::string name;
  std::string zone;
  std::vector<std::string> arguments;
  ChildProcess process;
  std::map<std::string, std::string> addresses;
};

/// \brief Stand-ins, routers and agents on loopback. Everything ends with the object; settings and
/// logs are in a temporary folder that is removed unless a test fails.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// \brief Puts the deployment's example records and waits until all routers and agents are ready.
  void LoadRecordsAndWaitReady();

  /// \brief Waits until each router and agent knows all the others, so that all routers place
  /// alike.
  void WaitAllKnown() const;

  /// \brief Waits until a process's `/readyz` is 200. Throws std::runtime_error if it never is.
  static void WaitReady(const FleetProcess& process);

  /// \brief Starts a process again with its old arguments, after it ended. New addresses are read.
  void Restart(FleetProcess& process);

  /// \brief SIGTERM to all daemons; the exit statuses by name.
  std::map<std::string, int> StopGracefully();

  /// \brief `POST /control` of a stand-in.
  static void Control(const FleetProcess& stand_in, const std::string& json);

  /// \brief `GET path` of an address; the body.
  static std::string Fetch(const std::string& address, const std::string& path);

  [[nodiscard]] const FleetOptions& Options() const noexcept { return m_options; }
  [[nodiscard]] const std::filesystem::path& Folder() const noexcept { return m_folder; }

  /// \brief The log file of a daemon.
  [[nodiscard]] std::filesystem::path LogFile(const FleetProcess& process) const;

  std::optional<FleetProcess> key_values;
  std::optional<FleetProcess> instance_list;
  std::vector<FleetProcess> engines;
  std::vector<FleetProcess> services;
  std::vector<FleetProcess> routers;
  /// Engine agents, in the order of `engines`, then service agents.
  std::vector<FleetProcess> agents;

 private:
  [[nodiscard]] std::string ZoneOf(int index) const;
  [[nodiscard]] FleetProcess StartStandIn(const std::string& program, const std::string& name,
                                          std::vector<std::string> arguments);
  [[nodiscard]] FleetProcess StartDaemon(const std::string& name, const std::string& zone,
                                         const std::string& role_settings);
  void Launch(FleetProcess& process);
  void PublishInstances();

  FleetOptions m_options;
  std::filesystem::path m_folder;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FLEET_H_
