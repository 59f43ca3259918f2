#ifndef WAGTAILWIND_TESTS_SUPPORT_FORWARDER_FIXTURE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FORWARDER_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "forward/deployment_adapter.h"
#include "forward/forwarder.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "support/fake_store.h"
#include "support/scripted_server.h"

namespace wagtailwind::testing {

/// \brief System clock with an adjustable boot clock: a simulated suspension moves only the boot
/// clock.
class ShiftedClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const noexcept override { return m_clock.Now(); }
  [[nodiscard]] WallTime WallNow() const noexcept override { return m_clock.WallNow(); }
  [[nodiscard]] BootTime BootNow() const noexcept override {
    return m_clock.BootNow() + m_suspended;
  }
  void Suspend(std::chrono::nanoseconds by) noexcept { m_suspended += by; }

 private:
  SystemClock m_clock;
  std::chrono::nanoseconds m_suspended{0};
};

/// \brief Deployment with a protocol of its own, whose names differ from those of all real
/// deployments.
class FakeDeployment final : public forward::DeploymentAdapter,
                             public platform::KeyValueCodec,
                             public StoreWire {
 public:
  FakeDeployment();

  [[nodiscard]] const forward::WireNames& Names() const noexcept override { return m_names; }
  [[nodiscard]] const platform::KeyValueCodec& Codec() const noexcept override { return *this; }
  [[nodiscard]] std::string_view ConfigurationKey() const noexcept override {
    return "configuration";
  }
  [[nodiscard]] std::string_view EndpointPrefix() const noexcept override { return "endpoint/"; }
  [[nodiscard]] std::string_view EvacuationPrefix() const noexcept override { return "evacuated/"; }
  [[nodiscard]] std::string_view RouterPrefix() const noexcept override { return "router/"; }

  /// \brief Callers compete for capacity under the rule set `scarcity`.
  [[nodiscard]] bool HasContention(std::span<const std::string> rule_sets) const override {
    return std::find(rule_sets.begin(), rule_sets.end(), "scarcity") != rule_sets.end();
  }

  /// \brief Returns the entry of `configurations` with the name `value`.
  [[nodiscard]] std::shared_ptr<const forward::RoutingConfiguration> DecodeConfiguration(
      std::string_view value) const override;

  /// \brief Parses the value `service address state incarnation [zone [cold ms]]`.
  [[nodiscard]] balancing::EndpointRecord DecodeEndpoint(std::string_view name,
                                                         std::string_view value) const override;

  [[nodiscard]] std::string RangeRequest(std::string_view prefix,
                                         std::string_view after_key) const override;
  [[nodiscard]] std::string WatchRequest(std::string_view prefix, platform::Revision after,
                                         std::chrono::milliseconds wait) const override;
  [[nodiscard]] std::string LeaseRequest(std::chrono::milliseconds lifetime) const override;
  /// \brief Writes each record as a line `key value`.
  [[nodiscard]] std::string PutRequest(std::span<const platform::KeyValueWrite> writes,
                                       platform::LeaseId lease) const override;
  /// \brief Reads the field `Era`.
  [[nodiscard]] std::optional<platform::Era> DecodeEra(
      const std::vector<http::Header>& headers) const override;
  [[nodiscard]] platform::LeaseId DecodeLease(std::string_view body) const override;
  [[nodiscard]] platform::RangePage DecodeRange(std::string_view body) const override;
  [[nodiscard]] platform::WatchPage DecodeWatch(std::string_view body) const override;

  [[nodiscard]] std::string EraHeader() const override { return "Era"; }
  [[nodiscard]] StoreCall ParseCall(const std::string& target) const override;
  [[nodiscard]] std::vector<platform::KeyValueWrite> ParsePuts(
      const std::string& body) const override;
  [[nodiscard]] std::string EncodeLease(platform::LeaseId lease) const override;
  [[nodiscard]] std::string EncodePage(StoreCall::Kind kind,
                                       const std::vector<platform::KeyValueItem>& items,
                                       platform::Revision revision, bool has_more) const override;

  std::map<std::string, std::shared_ptr<const forward::RoutingConfiguration>, std::less<>>
      configurations;

 private:
  forward::WireNames m_names;
};

/// \brief Response that a caller received.
struct CallerAnswer {
  bool complete = false;
  bool broken = false;
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
};

/// \brief Runs a forwarder on an event loop, with a key-value store, endpoints and callers.
class ForwarderFixture {
 public:
  ForwarderFixture();
  ~ForwarderFixture();

  /// \brief Adds an endpoint of the service `engine` that answers with `handler`.
  ScriptedServer& AddEndpoint(const std::string& name, ScriptedServer::Handler handler);

  /// \brief Makes an endpoint crash once the current callback has returned: its connections are
  /// closed, and its address refuses new ones. Its entry stays.
  void CrashEndpoint(const std::string& name);

  /// \brief Stores a new configuration with one route.
  void Configure(forward::Route route);

  /// \brief Starts the forwarder, as another instance each time, and runs the loop until it is
  /// ready.
  void Start();

  /// \brief Sends a request on a new connection. The returned answer is filled while the loop runs.
  std::shared_ptr<CallerAnswer> Send(std::string_view headers = "", std::string_view body = "",
                                     std::string_view method = "GET");

  /// \brief Sends a request and runs the loop until the response ends or RunUntil() times out.
  std::shared_ptr<CallerAnswer> Call(std::string_view headers = "", std::string_view body = "",
                                     std::string_view method = "GET");

  /// \brief Runs the loop until the condition holds; returns false if it does not within 5 s.
  bool RunUntil(const std::function<bool()>& condition);

  /// \brief Closes the connections of all callers.
  void DropCallers();

  net::EventLoop loop;
  ShiftedClock clock;
  SeededRandomSource random{7};
  MetricsRegistry metrics;
  /// Settings of the forwarder, apart from its addresses.
  settings::ForwarderSettings settings;
  /// Settings of the endpoints' service in the next configuration.
  forward::ServiceSpec service{.name = ServiceName("engine")};
  FakeDeployment deployment;
  FakeStore store;
  std::unique_ptr<forward::Forwarder> forwarder;
  bool stopped = false;

 private:
  class Caller;

  std::uint64_t m_version = 0;
  int m_routers = 0;
  std::list<std::unique_ptr<ScriptedServer>> m_endpoints;
  std::map<std::string, ScriptedServer*> m_endpoint_names;
  std::list<std::unique_ptr<Caller>> m_callers;
};

/// \brief A forwarder with one endpoint `e1` and one route.
struct SingleEndpoint : ForwarderFixture {
  SingleEndpoint(forward::Route route, ScriptedServer::Handler handler);

  ScriptedServer& endpoint;
};

/// \brief A forwarder with two endpoints. `first` answers the first request, `later` all others,
/// whichever endpoint they arrive at.
struct TwoEndpoints : ForwarderFixture {
  TwoEndpoints(forward::Route route, const ScriptedServer::Handler& first,
               const ScriptedServer::Handler& later);

  int arrivals = 0;
};

/// \brief Returns the text of a request for TestRoute(). `headers` may replace the key and the id.
[[nodiscard]] std::string RequestText(std::string_view headers = "", std::string_view body = "",
                                      std::string_view method = "GET");

/// \brief Answers with a success whose body is `answer`.
void AnswerOk(ScriptedServer::Connection& connection);

/// \brief Returns the head of a response with events, and its parts.
[[nodiscard]] std::string StreamHead(const ScriptedServer::Connection& connection);
[[nodiscard]] std::string Event(int id);

/// \brief Returns the headers of a successful response to the request on the connection.
[[nodiscard]] std::string SignedHeaders(const ScriptedServer::Connection& connection);

/// \brief Returns a route for `/r/` that tests can modify.
[[nodiscard]] forward::Route TestRoute(forward::RequestKind kind, std::uint32_t attempts = 1);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FORWARDER_FIXTURE_H_
