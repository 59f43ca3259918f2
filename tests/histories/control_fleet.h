#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_FLEET_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "histories/control_callers.h"
#include "histories/control_operators.h"
#include "histories/control_poller.h"
#include "histories/run_options.h"
#include "support/fleet.h"

namespace wagtailwind::histories {

/// \brief A fleet with a poller for each process, the command-line tool and callers.
class ControlFleet {
 public:
  explicit ControlFleet(const RunOptions& options);

  /// \brief Kills a process and starts it again.
  void Restart(testing::FleetProcess& process);
  void Pause(testing::FleetProcess& process);
  void Resume(testing::FleetProcess& process);

  /// \brief Sets faults of the key-value service. `is_outage` means that watchers can't receive
  /// changes until EndPlatformFaults().
  void BeginPlatformFault(const std::string& control, bool is_outage);
  /// \brief Ends all faults of the key-value service.
  void EndPlatformFaults();

  /// \brief Configuration version of all processes; 0 if they differ or one is not ready.
  [[nodiscard]] records::ConfigurationVersion CommonVersion() const;

  /// \brief Waits until all processes are ready and have the version of the platform's document.
  /// Returns false after a timeout.
  [[nodiscard]] bool WaitForPlatformVersion();

  [[nodiscard]] const VersionPoller& Poller(const testing::FleetProcess& process) const {
    return *m_pollers.at(process.name);
  }
  [[nodiscard]] testing::FleetProcess& Process(const std::string& name);
  [[nodiscard]] records::Document Document() const;
  [[nodiscard]] std::string PlatformValue(const std::string& key) const;
  [[nodiscard]] std::vector<ProcessRun> Runs() const;
  [[nodiscard]] const std::vector<Interval>& Outages() const { return m_outages; }

  testing::Fleet fleet;
  OperatorTool tool;
  ChatCallers callers;

 private:
  void StartPoller(const testing::FleetProcess& process);
  void UpdateRouterAddresses();
  [[nodiscard]] std::vector<const testing::FleetProcess*> Processes() const;

  std::map<std::string, std::unique_ptr<VersionPoller>> m_pollers;
  std::vector<ProcessRun> m_ended;
  std::vector<Interval> m_outages;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_FLEET_H_
