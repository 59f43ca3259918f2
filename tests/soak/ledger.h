#ifndef WAGTAILWIND_TESTS_SOAK_LEDGER_H_
#define WAGTAILWIND_TESTS_SOAK_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "forward/routing.h"
#include "settings/forwarder_settings.h"

namespace wagtailwind::soak {

/// \brief A caller's request and its answer.
struct SoakRequest {
  std::string attempt;
  /// Path prefix of the route, such as `/call/`.
  std::string prefix;
  forward::RequestKind kind = forward::RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};
  std::size_t size = 0;
  std::string api_key;
  std::size_t router = 0;
  SteadyTime sent{};

  /// When the request ended; empty while it is open.
  std::optional<SteadyTime> ended;
  /// The caller closed the connection deliberately before the end.
  bool disconnected = false;
  bool complete = false;
  int status = 0;
  bool is_signed = false;
  std::string body;
};

/// \brief One execution of a request by an endpoint.
struct EndpointRun {
  SteadyTime at{};
  std::string endpoint;
  std::string path;
  std::string organisation;
  bool saw_key = false;
  std::string deadline;
  /// How it ended: `end`, `cancel`, `lost`, `failed` or `cut`; empty while it runs.
  std::string end;
  SteadyTime ended{};
};

/// \brief Time for which a restarted endpoint of the soak is cold, and the requests a second that
/// it takes meanwhile.
inline constexpr std::chrono::milliseconds kColdTime{4'000};
inline constexpr double kColdRate = 2;

/// \brief Records the requests of a soak as callers and endpoints observe them, and checks the
/// invariants that the product guarantees.
///
/// An invariant with a time bound applies to a router only if the router, its link to the key-value
/// service and that service have been free of faults for some seconds.
class Ledger {
 public:
  /// \brief What a fault affects: a router, an endpoint or the key-value service (`kStore`).
  using Scope = std::string;
  static constexpr const char* kStore = "store";
  [[nodiscard]] static Scope RouterScope(std::size_t router) {
    return "router-" + std::to_string(router);
  }

  /// \brief Scope of a planned stop of a router, which must not interrupt requests.
  [[nodiscard]] static Scope StopScope(std::size_t router) {
    return RouterScope(router) + std::string(kStopSuffix);
  }

  /// \brief Scope of the faults that hold up requests on their way to an endpoint and then deliver
  /// them at once.
  [[nodiscard]] static Scope HeldScope(const std::string& endpoint) { return endpoint + "-held"; }

  /// \brief `bounds` must equal the bounds in the settings of the routers.
  explicit Ledger(const settings::ForwarderBounds& bounds) : m_bounds(bounds) {}

  /// \brief Records a request that is being sent. The reference stays valid.
  SoakRequest& Begin(SoakRequest request);

  /// \brief Records a line of the endpoints' log: `time endpoint event attempt ...`. The event is
  /// `start` with `cold` or `warm` in place of the attempt, `run`, one of the ends of a run,
  /// `leave` with an answer that announces it, or `refuse` with the status and the pause that it
  /// names, in milliseconds.
  void AddEndpointLine(std::string_view line);

  void OnFaultBegin(const Scope& scope, SteadyTime at);
  void OnFaultEnd(const Scope& scope, SteadyTime at);

  /// \brief Records that the route `/move/` has pointed to `service` since `at`.
  void OnConfiguration(const std::string& service, SteadyTime at);
  void OnKeyRevoked(const std::string& key, SteadyTime at) { m_revoked.try_emplace(key, at); }
  void OnDraining(const std::string& endpoint, SteadyTime at) { m_draining[endpoint] = at; }
  void OnEndpointStarted(const std::string& endpoint, const std::string& zone) {
    m_draining.erase(endpoint);
    m_zones[endpoint] = zone;
  }
  void OnEvacuated(const std::string& zone, SteadyTime at) {
    m_evacuations[zone].push_back({at, SteadyTime::max()});
  }
  void OnRestored(const std::string& zone, SteadyTime at) { m_evacuations[zone].back().end = at; }

  /// \brief Reports a process that exited without being stopped.
  void OnUnexpectedExit(const std::string& program, int status) {
    m_reported.push_back("own_end: " + program + " exited with status " + std::to_string(status));
  }

  /// \brief Records the memory of a router; more than the smallest instance has is a violation.
  void OnMemory(const Scope& router, double bytes);

  /// \brief Records when the last fault ended.
  void OnLastFaultEnd(SteadyTime at) { m_last_fault_end = at; }

  /// \brief Returns the violations so far, each as `invariant: details`. `at_end` adds the checks
  /// that need the whole run.
  [[nodiscard]] std::vector<std::string> Check(SteadyTime now, bool at_end) const;

  [[nodiscard]] std::size_t RequestCount() const noexcept { return m_requests.size(); }
  [[nodiscard]] std::size_t RunCount() const noexcept;
  [[nodiscard]] std::map<int, std::size_t> Statuses() const;

 private:
  struct FaultPeriod {
    SteadyTime begin;
    SteadyTime end;
  };
  /// An answer that tells its router to send the endpoint no further requests.
  struct Announcement {
    const SoakRequest* request;
    SteadyTime at;
    /// `SteadyTime::max()` if the endpoint leaves.
    SteadyTime until;
  };
  /// The running process of an endpoint.
  struct Process {
    SteadyTime started{};
    bool is_cold = false;
    std::vector<Announcement> announcements = {};
    /// Requests within the last second that count towards the limit of a cold endpoint.
    std::vector<SteadyTime> recent = {};
  };
  struct ConfigurationChange {
    SteadyTime at;
    std::string service;
  };
  struct Entry {
    SoakRequest request;
    std::vector<EndpointRun> runs = {};
    std::size_t refusals = 0;
    /// The answer is complete and valid, and isn't checked again.
    mutable bool answer_checked = false;
  };
  using Violations = std::vector<std::string>;
  static constexpr std::string_view kStopSuffix = "-stop";

  /// Whether no fault of `scope` was active in the period or shortly before it.
  [[nodiscard]] bool HadNoFault(const Scope& scope, SteadyTime from, SteadyTime to) const;
  /// Whether neither the router nor the key-value service had a fault or a planned stop.
  [[nodiscard]] bool RouterHadNoFault(std::size_t router, SteadyTime from, SteadyTime to) const;
  /// Whether the router of an ended request and the endpoints that ran it had no fault other than
  /// planned stops.
  [[nodiscard]] bool HadNoUnplannedFault(const Entry& entry) const;

  /// Checks that the endpoint may get the request that has arrived at it.
  void CheckArrival(const SoakRequest& request, const std::string& endpoint, SteadyTime at);
  void CheckCold(const SoakRequest& request, const std::string& endpoint, SteadyTime at);
  void CheckAnswer(const Entry& entry, Violations& found) const;
  void CheckRuns(const Entry& entry, Violations& found) const;
  void CheckConfiguration(const Entry& entry, Violations& found) const;
  void CheckEnd(const Entry& entry, SteadyTime now, Violations& found) const;
  void CheckAbandoned(SteadyTime now, Violations& found) const;
  void CheckRetries(Violations& found) const;
  void CheckServed(Violations& found) const;

  const settings::ForwarderBounds m_bounds;
  std::map<std::string, Entry> m_requests;
  Violations m_reported;
  std::map<Scope, std::vector<FaultPeriod>> m_fault_periods;
  std::vector<ConfigurationChange> m_configuration_changes;
  std::map<std::string, SteadyTime> m_revoked;
  std::map<std::string, SteadyTime> m_draining;
  /// By endpoint.
  std::map<std::string, Process> m_processes;
  std::map<std::string, std::string> m_zones;
  /// By availability zone.
  std::map<std::string, std::vector<FaultPeriod>> m_evacuations;
  std::optional<SteadyTime> m_last_fault_end;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_LEDGER_H_
