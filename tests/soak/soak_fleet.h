#ifndef WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_
#define WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <ios>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "histories/fault_plan.h"
#include "net/event_loop.h"
#include "settings/forwarder_settings.h"
#include "soak/deployment_wire.h"
#include "soak/ledger.h"
#include "soak/link_proxy.h"
#include "soak/soak_caller.h"
#include "support/child_process.h"
#include "support/fake_store.h"

namespace wagtailwind::soak {

/// \brief Options of a soak.
struct SoakOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 3;
  /// Endpoints of each of the two services.
  std::size_t endpoints = 3;
  /// Bounds in the settings of the routers. The slack allows each router some retries.
  settings::ForwarderBounds bounds{.retry_slack = 64, .cold_factor = 1.5, .cold_slack = 5};
  /// Name of the mutant that the routers run; empty for the program as it is shipped.
  std::string mutant;
  /// Folder of the settings and logs.
  std::string folder;
};

/// \brief Runs routers and endpoints as processes, with a key-value service and link proxies in
/// this process, and injects faults into them.
class SoakFleet final : public Workload {
 public:
  SoakFleet(net::EventLoop& loop, RandomSource& random, Ledger& ledger, SoakOptions options);

  /// \brief Return all fault kinds for a plan, and only those of planned operations.
  [[nodiscard]] std::vector<histories::FaultKind> FaultKinds() const;
  [[nodiscard]] std::vector<histories::FaultKind> PlannedFaultKinds() const;

  /// \brief Returns the fault kinds in which endpoints send bytes without end. They have a plan of
  /// their own, so that the other faults of a seed stay the same.
  [[nodiscard]] std::vector<histories::FaultKind> EndlessFaultKinds() const;

  /// \brief Returns the kinds in which endpoints announce that they leave or want no requests for a
  /// time, and zones are evacuated.
  [[nodiscard]] std::vector<histories::FaultKind> LeavingFaultKinds() const;

  /// \brief Returns the kind in which the key-value service comes back from an older copy.
  [[nodiscard]] std::vector<histories::FaultKind> RestoreFaultKinds() const;

  void Begin(const histories::Fault& fault) { Apply(fault, true); }
  void End(const histories::Fault& fault) { Apply(fault, false); }

  /// \brief Writes the next configuration, unless the key-value service is unavailable.
  void ChangeConfiguration();

  /// \brief Reads new lines of the endpoints' log, and restarts routers that exited by themselves.
  void Tick();

  [[nodiscard]] std::optional<std::pair<std::size_t, std::string>> PickRouter() override;
  [[nodiscard]] SoakRequest NextRequest() override;

 private:
  struct Router {
    std::string address;
    std::string settings_path;
    std::unique_ptr<LinkProxy> store_link;
    std::unique_ptr<testing::ChildProcess> process;
    /// Number of active faults during which callers don't connect.
    int down = 0;
    SteadyTime started{};
    /// SIGTERM or SIGKILL has been sent to the process.
    bool terminating = false;
  };
  struct Endpoint {
    std::string name;
    std::string service;
    std::string zone;
    std::unique_ptr<LinkProxy> link;
    std::unique_ptr<testing::ChildProcess> process;
    std::string address;
    /// Incarnation of the process.
    std::uint64_t incarnation = 0;
    /// The process is cold until this time.
    SteadyTime cold_until{};
    /// The answers of the process announce that it leaves.
    bool leaving = false;
    bool draining = false;
    bool terminating = false;
  };

  [[nodiscard]] std::string FreeAddress();
  void StartRouter(std::size_t index);
  void StartEndpoint(Endpoint& endpoint);
  void PutEndpoint(const Endpoint& endpoint);
  /// Writes an entry that names no endpoint to use among those of the endpoints.
  void PutOddEntry();
  [[nodiscard]] std::vector<histories::FaultKind> WithTargets(
      std::vector<histories::FaultKind> kinds) const;
  static void SetMode(const Endpoint& endpoint, const std::string& mode);
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> function);
  void ReportFault(const std::string& scope, bool begins);
  void Drain(Endpoint& endpoint);
  void Restart(Endpoint& endpoint);
  /// Evacuates a zone, the same one in the whole run, or takes it back, unless other faults keep it
  /// evacuated.
  void SetEvacuated(bool evacuated);
  void Apply(const histories::Fault& fault, bool begins);
  void SetLinkFault(LinkProxy& link, const std::string& scope, const std::string& fault_name,
                    bool begins);
  void BeginRouterFault(const std::string& fault_name, std::size_t index);
  void EndRouterFault(const std::string& fault_name, std::size_t index);
  void BeginEndpointFault(const std::string& fault_name, Endpoint& endpoint);
  void EndEndpointFault(const std::string& fault_name, Endpoint& endpoint);
  void SetStoreFault(const std::string& fault_name, bool begins);
  /// Keeps copies of the key-value service from the last seconds.
  void TakeStoreCopy();
  /// Restores the oldest copy. The operators and the endpoints write again what it lacks.
  void RestoreStore();
  void ReadEndpointLog();

  net::EventLoop& m_loop;
  RandomSource& m_random;
  Ledger& m_ledger;
  const SoakOptions m_options;
  SystemClock m_clock;
  DeploymentStoreWire m_wire;
  testing::FakeStore m_store;
  int m_store_faults = 0;
  /// The oldest first.
  std::deque<std::pair<SteadyTime, testing::FakeStore::Copy>> m_copies;
  std::uint16_t m_next_port;
  std::vector<Router> m_routers;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  OperatorConfiguration m_configuration;
  std::uint64_t m_requests = 0;
  std::uint64_t m_last_incarnation = 0;
  std::size_t m_odd_entries = 0;
  int m_evacuations = 0;
  std::streamoff m_log_position = 0;
  std::list<net::Timer> m_timers;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_
