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

/// \brief Causes the faults of a plan in a fleet. Used by one thread, which must live as long as
/// the fleet: a process ends with the thread that started it.
class FaultInjector {
 public:
  /// \brief `on_restart` runs after a process was started again.
  FaultInjector(wagtailwind::testing::Fleet& fleet, std::function<void()> on_restart);

  /// \brief Kinds that suit the fleet.
  [[nodiscard]] std::vector<FaultKind> Kinds() const;

  /// \brief Runs a plan to its end.
  void Run(const std::vector<Fault>& plan);

  /// \brief Ends all faults and waits until all daemons are ready.
  void Heal();

  /// \brief Faults that took place, by kind.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Counts() const { return m_counts; }

 private:
  using Process = wagtailwind::testing::FleetProcess;

  void Begin(const Fault& fault);
  void End(const Fault& fault);
  [[nodiscard]] Process* ProcessOf(const Fault& fault);
  [[nodiscard]] Process& StandInOf(const Fault& fault);
  [[nodiscard]] static std::string ControlOf(const Fault& fault);
  void Restart(Process& process);
  static bool Control(const Process& stand_in, const std::string& json);

  wagtailwind::testing::Fleet& m_fleet;
  std::function<void()> m_on_restart;
  std::set<Process*> m_down;
  std::set<Process*> m_paused;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_FAULT_INJECTOR_H_
