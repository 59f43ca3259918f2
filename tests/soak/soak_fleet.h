#ifndef WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_
#define WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <cstdint>
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

/// \brief What a soak starts.
struct SoakOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 3;
  /// Of each of the two services.
  std::size_t endpoints = 3;
  /// Of the routers. The slack leaves each of them some retries.
  settings::ForwarderBounds bounds{.retry_slack = 64};
  /// Removed mechanism of the routers; empty: the program as it is shipped.
  std::string mutant;
  /// Settings, logs and records.
  std::string folder;
};

/// \brief Routers and endpoints as processes, the key-value service and the links between them, and
/// the faults that they suffer.
class SoakFleet final : public CallerWorld {
 public:
  SoakFleet(net::EventLoop& loop, RandomSource& random, Ledger& ledger, SoakOptions options);

  /// \brief Kinds of faults for a plan, and of planned work alone.
  [[nodiscard]] std::vector<histories::FaultKind> Kinds() const;
  [[nodiscard]] std::vector<histories::FaultKind> PlannedKinds() const;

  void Begin(const histories::Fault& fault) { Apply(fault, true); }
  void End(const histories::Fault& fault) { Apply(fault, false); }

  /// \brief Writes the next configuration, unless the key-value service is disturbed.
  void ChangeConfiguration();

  /// \brief Restarts what has ended and reads the records of the endpoints.
  void Tick();

  [[nodiscard]] std::optional<std::pair<std::size_t, std::string>> PickRouter() override;
  [[nodiscard]] SoakRequest NextRequest() override;

 private:
  struct Router {
    std::string address;
    std::string settings_path;
    std::unique_ptr<LinkProxy> store_link;
    std::unique_ptr<testing::ChildProcess> process;
    /// Faults that keep callers away.
    int down = 0;
    SteadyTime started{};
    /// A signal that ends it has been sent.
    bool ending = false;
  };
  struct Endpoint {
    std::string name;
    std::string service;
    std::unique_ptr<LinkProxy> link;
    std::unique_ptr<testing::ChildProcess> process;
    std::string address;
    /// Of the process.
    std::uint64_t incarnation = 0;
    bool draining = false;
    bool ending = false;
  };

  [[nodiscard]] std::string FreeAddress();
  void StartRouter(std::size_t index);
  void StartEndpoint(Endpoint& endpoint);
  void PutEndpoint(const Endpoint& endpoint);
  [[nodiscard]] std::vector<histories::FaultKind> WithTargets(
      std::vector<histories::FaultKind> kinds) const;
  static void SetMode(const Endpoint& endpoint, const std::string& mode);
  void After(std::chrono::milliseconds delay, std::function<void()> function);
  void SetTrouble(const std::string& scope, bool begins);
  void Apply(const histories::Fault& fault, bool begins);
  void SetLinkFault(LinkProxy& link, const std::string& scope, const std::string& what,
                    bool begins);
  void BeginRouter(const std::string& what, std::size_t index);
  void EndRouter(const std::string& what, std::size_t index);
  void BeginEndpoint(const std::string& what, Endpoint& endpoint);
  void EndEndpoint(const std::string& what, Endpoint& endpoint);
  void SetStoreFault(const std::string& what, bool begins);
  void ReadRecords();

  net::EventLoop& m_loop;
  RandomSource& m_random;
  Ledger& m_ledger;
  const SoakOptions m_options;
  SystemClock m_clock;
  DeploymentStoreWire m_wire;
  testing::FakeStore m_store;
  int m_store_faults = 0;
  std::uint16_t m_next_port;
  std::vector<Router> m_routers;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  OperatorConfiguration m_configuration;
  std::uint64_t m_requests = 0;
  std::uint64_t m_last_incarnation = 0;
  std::streamoff m_record_position = 0;
  std::list<net::Timer> m_later;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_SOAK_FLEET_H_
