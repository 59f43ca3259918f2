#ifndef WAGTAILWIND_TESTS_SUPPORT_ROUTER_FIXTURE_H_
#define WAGTAILWIND_TESTS_SUPPORT_ROUTER_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "core/worker_pool.h"
#include "gossip/member_view.h"
#include "placement/candidate_selector.h"
#include "records/configuration_view.h"
#include "router/http_front_end.h"
#include "router/request_flow.h"
#include "rpc/agent_client.h"
#include "rpc/event_loop_thread.h"
#include "support/fake_agent_service.h"

namespace wagtailwind::testing {

/// \brief Returns a configuration with the organisation `acme`, the model `m1` in pool `engines`,
/// and the service `bookings`, whose `GET /status` is repeatable.
[[nodiscard]] records::Configuration TestConfiguration();

/// \brief A router's request path with fake agents. Each agent serves the endpoints `engine<i>`
/// and `service<i>`; candidates are tried in the order of their number.
class RouterFixture {
 public:
  explicit RouterFixture(std::size_t agents, const router::HttpFrontEndSettings& settings = {});
  ~RouterFixture();
  RouterFixture(const RouterFixture&) = delete;
  RouterFixture& operator=(const RouterFixture&) = delete;

  [[nodiscard]] FakeAgentService& Agent(std::size_t i) { return *m_agents.at(i); }
  [[nodiscard]] router::HttpFrontEnd& FrontEnd() { return *m_front_end; }
  [[nodiscard]] router::RequestFlow& Flow() { return *m_flow; }
  [[nodiscard]] MetricsRegistry& Metrics() { return m_metrics; }

  /// \brief Sends a request on a new connection and returns the complete response.
  [[nodiscard]] std::string Send(const std::string& head, const std::string& body);

  /// \brief Returns the HTTP text of a chat request.
  [[nodiscard]] static std::string Chat(const std::string& headers = "",
                                        const std::string& body = kStreamBody);

  static constexpr const char* kStreamBody = R"({"model":"m1","stream":true,"messages":[{}]})";

 private:
  struct Views;
  MetricsRegistry m_metrics;
  SystemClock m_clock;
  SeededRandomSource m_random{5};
  std::vector<std::unique_ptr<FakeAgentService>> m_agents;
  std::unique_ptr<Views> m_views;
  rpc::EventLoopThread m_loop;
  std::optional<rpc::AgentClient> m_client;
  std::optional<router::RequestFlow> m_flow;
  std::optional<WorkerPool> m_workers;
  std::optional<router::HttpFrontEnd> m_front_end;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_ROUTER_FIXTURE_H_
