#ifndef WAGTAILWIND_TESTS_HISTORIES_FAULT_INJECTOR_H_
#define WAGTAILWIND_TESTS_HISTORIES_FAULT_INJECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "histories/fault_plan.h"
#include "support/fleet.h"

namespace wagtailwind::histories {

/// \brief Injects the faults of a plan into a fleet. Used by one thread, which must outlive the
/// fleet, because a process ends with the thread that started it.
class FaultInjector {
 public:
  /// \brief `on_restart` is called after each restart of a process.
  FaultInjector(wagtailwind::testing::Fleet& fleet, std::function<void()> on_restart);

  /// \brief Fault kinds with the number of targets that the fleet has.
  [[nodiscard]] std::vector<FaultKind> Kinds() const;

  /// \brief Runs all faults of a plan.
  void Run(const std::vector<Fault>& plan);

  /// \brief Ends all faults, and waits until all daemons are ready.
  void EndAllFaults();

  /// \brief Number of injected faults by kind.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Counts() const { return m_counts; }

 private:
  using Process = wagtailwind::testing::FleetProcess;

  void Begin(const Fault& fault);
  void End(const Fault& fault);
  [[nodiscard]] Process* ProcessOf(const Fault& fault);
  [[nodiscard]] Process& StandInOf(const Fault& fault);
  [[nodiscard]] static std::string ControlRequest(const Fault& fault);
  void Restart(Process& process);
  static bool Control(const Process& stand_in, const std::string& json);

  wagtailwind::testing::Fleet& m_fleet;
  std::function<void()> m_on_restart;
  std::set<Process*> m_killed;
  std::set<Process*> m_paused;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_FAULT_INJECTOR_H_
