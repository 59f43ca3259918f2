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

/// \brief Names from one of the two example deployments.
struct Deployment {
  std::string region;
  std::vector<std::string> zones;
  std::string engine_pool;
  std::string model;
  std::string service;
  /// Path of a service call that may run at most once.
  std::string non_repeatable_path;
  /// Name of the folder below `examples`.
  std::string folder;
};

[[nodiscard]] Deployment KandyLanka();
[[nodiscard]] Deployment Clearview();

/// \brief Processes of a fleet and their options.
struct FleetOptions {
  std::filesystem::path binary_dir;
  std::filesystem::path source_dir;
  Deployment deployment = KandyLanka();
  int routers = 2;
  int engines = 3;
  int services = 2;
  /// Name of the daemon program; `wagtailwindd_mutants` for a run with a mutant.
  std::string daemon = "wagtailwindd";
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
  /// YAML appended to the settings of each daemon.
  std::string extra_settings;
};

/// \brief A running program and the addresses that it printed: `http`, `rpc`, `gossip` and `admin`
/// for daemons, `listening` for stand-ins.
struct FleetProcess {
  std::string name;
  std::string zone;
  std::vector<std::string> arguments;
  ChildProcess process;
  std::map<std::string, std::string> addresses;
};

/// \brief Runs stand-ins, routers and agents on loopback. The destructor ends all processes and,
/// unless an exception is propagating or WAGTAILWIND_KEEP_LOGS is set, removes the temporary folder
/// with their settings and logs.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// \brief Writes the deployment's example records and waits until all routers and agents are
  /// ready.
  void LoadRecordsAndWaitReady();

  /// \brief Waits until every router and agent reports all members as alive, so that all routers
  /// make the same placement decisions.
  void WaitAllKnown() const;

  /// \brief Waits until `/readyz` of a process returns 200. Throws std::runtime_error after a
  /// timeout.
  static void WaitReady(const FleetProcess& process);

  /// \brief Kills a process, starts it again with the same arguments and reads its new addresses.
  void Restart(FleetProcess& process);

  /// \brief Sends SIGTERM to all daemons, routers first, and returns their exit statuses by name.
  std::map<std::string, int> StopGracefully();

  /// \brief Sends `POST /control` to a stand-in. Throws std::runtime_error if it is rejected.
  static void Control(const FleetProcess& stand_in, const std::string& json);

  /// \brief Returns the body of `GET path`.
  static std::string Fetch(const std::string& address, const std::string& path);

  [[nodiscard]] const FleetOptions& Options() const noexcept { return m_options; }
  [[nodiscard]] const std::filesystem::path& Folder() const noexcept { return m_folder; }

  /// \brief Returns the path of a process's log file.
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
