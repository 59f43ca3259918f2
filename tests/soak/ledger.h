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

/// \brief A caller's request and what came back.
struct SoakRequest {
  std::string attempt;
  /// Of the route, such as `/call/`.
  std::string prefix;
  forward::RequestKind kind = forward::RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};
  std::size_t size = 0;
  std::string api_key;
  std::size_t router = 0;
  SteadyTime sent{};

  std::optional<SteadyTime> done;
  /// The caller has closed the connection on purpose.
  bool left = false;
  bool complete = false;
  int status = 0;
  bool is_signed = false;
  std::string body;
};

/// \brief What an endpoint did with a request.
struct EndpointRun {
  SteadyTime at{};
  std::string endpoint;
  std::string path;
  std::string organisation;
  bool saw_key = false;
  std::string deadline;
  /// `end`, `cancel`, `lost`, `failed`, `cut`; empty while it runs.
  std::string end;
  SteadyTime ended{};
};

/// \brief Records a soak from what callers and endpoints see, and checks the promises of the
/// product.
///
/// Promises with a time bound hold for a router only while nothing was wrong with it, its link to
/// the key-value service and the service for some seconds.
class Ledger {
 public:
  /// \brief What a fault affects: a router, an endpoint, or (`kStore`) the key-value service.
  using Scope = std::string;
  static constexpr const char* kStore = "store";
  [[nodiscard]] static Scope RouterScope(std::size_t router) {
    return "router-" + std::to_string(router);
  }

  /// \brief A planned stop of a router, which may not cut requests.
  [[nodiscard]] static Scope StopScope(std::size_t router) {
    return RouterScope(router) + std::string(kStopSuffix);
  }

  /// \brief `bounds` are those that the routers are configured with.
  explicit Ledger(const settings::ForwarderBounds& bounds) : m_bounds(bounds) {}

  SoakRequest& Begin(SoakRequest request);

  /// \brief A line of an endpoint's record: `time endpoint event attempt ...`.
  void AddEndpointLine(std::string_view line);

  void OnTroubleBegin(const Scope& scope, SteadyTime at);
  void OnTroubleEnd(const Scope& scope, SteadyTime at);

  /// \brief Requests of the route `/move/` go to `service` from now on.
  void OnConfiguration(const std::string& service, SteadyTime at);
  void OnKeyRevoked(const std::string& key, SteadyTime at) { m_revoked.try_emplace(key, at); }
  void OnDraining(const std::string& endpoint, SteadyTime at) { m_draining[endpoint] = at; }
  void OnEndpointStarted(const std::string& endpoint) { m_draining.erase(endpoint); }

  /// \brief A program has ended by itself.
  void OnOwnEnd(const std::string& program, int status) {
    m_reported.push_back("own_end: " + program + " ended with status " + std::to_string(status));
  }

  /// \brief All faults have ended and none follows.
  void OnHealed(SteadyTime at) { m_healed = at; }

  /// \brief Broken promises so far, as `promise: case`. `at_end`: nothing more will happen.
  [[nodiscard]] std::vector<std::string> Check(SteadyTime now, bool at_end) const;

  [[nodiscard]] std::size_t RequestCount() const noexcept { return m_requests.size(); }
  [[nodiscard]] std::size_t RunCount() const noexcept;
  [[nodiscard]] std::map<int, std::size_t> Statuses() const;

 private:
  struct Trouble {
    SteadyTime begin;
    SteadyTime end;
  };
  struct Configured {
    SteadyTime at;
    std::string service;
  };
  struct Entry {
    SoakRequest request;
    std::vector<EndpointRun> runs = {};
    std::size_t refusals = 0;
    /// The answer has ended and is sound, so that it needs no other check.
    mutable bool answer_checked = false;
  };
  using Violations = std::vector<std::string>;
  static constexpr std::string_view kStopSuffix = "-stop";

  [[nodiscard]] bool IsCalm(const Scope& scope, SteadyTime from, SteadyTime to) const;
  [[nodiscard]] bool IsInTouch(std::size_t router, SteadyTime from, SteadyTime to) const;
  /// Whether nothing but planned work went on.
  [[nodiscard]] bool IsAllCalm(SteadyTime from, SteadyTime to) const;

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
  std::map<Scope, std::vector<Trouble>> m_troubles;
  std::vector<Configured> m_configured;
  std::map<std::string, SteadyTime> m_revoked;
  std::map<std::string, SteadyTime> m_draining;
  std::optional<SteadyTime> m_healed;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_LEDGER_H_
