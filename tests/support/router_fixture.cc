#include "support/router_fixture.h"

#include <utility>

#include "support/raw_connection.h"

namespace wagtailwind::testing {

namespace {

/// Selects the members of the pool in their given order.
class OrderedSelector final : public placement::CandidateSelector {
 public:
  [[nodiscard]] std::vector<const gossip::Member*> Select(
      const placement::PlacementRequest& request, std::span<const gossip::Member> members,
      SteadyTime /*now*/, std::size_t limit) const override {
    std::vector<const gossip::Member*> selected;
    for (const gossip::Member& member : members) {
      if (member.endpoint->pool == request.pool && selected.size() < limit) {
        selected.push_back(&member);
      }
    }
    return selected;
  }
};

gossip::Member MakeMember(const std::string& kind, std::size_t number,
                          const FakeAgentService& agent) {
  gossip::Member member;
  member.instance = InstanceName(kind + std::to_string(number));
  member.role = gossip::Role::kAgent;
  member.incarnation = FakeAgentService::kIncarnation;
  member.rpc_address = agent.Address();
  member.endpoint.emplace();
  member.endpoint->endpoint = EndpointName(kind + std::to_string(number));
  member.endpoint->pool = ServiceName(kind == "engine" ? "engines" : "bookings");
  return member;
}

}  // namespace

records::Configuration TestConfiguration() {
  records::Configuration configuration;
  configuration.version = 3;
  const PriorityClassName normal("normal");
  configuration.organisations.push_back({OrganisationName("acme"), 1.0, normal, {}, {}});
  configuration.priority_classes.push_back({normal, 1, 1.0, std::chrono::minutes(10)});
  configuration.models.push_back({ModelName("m1"), ServiceName("engines"), {"1"}});
  configuration.services.push_back({ServiceName("bookings"), {{"GET", "/status"}}});
  return configuration;
}

struct RouterFixture::Views final : public records::ConfigurationView, public gossip::MemberView {
  [[nodiscard]] std::shared_ptr<const records::Configuration> Current() const override {
    return configuration;
  }
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge() const override {
    return std::chrono::milliseconds(10);
  }
  [[nodiscard]] gossip::MemberSnapshot Members() const override { return members; }

  std::shared_ptr<const records::Configuration> configuration =
      std::make_shared<records::Configuration>(TestConfiguration());
  std::shared_ptr<std::vector<gossip::Member>> members =
      std::make_shared<std::vector<gossip::Member>>();
  OrderedSelector selector;
};

RouterFixture::RouterFixture(std::size_t agents, const router::HttpFrontEndSettings& settings)
    : m_views(std::make_unique<Views>()) {
  for (std::size_t i = 0; i < agents; ++i) {
    m_agents.push_back(std::make_unique<FakeAgentService>());
    m_views->members->push_back(MakeMember("engine", i, *m_agents.back()));
    m_views->members->push_back(MakeMember("service", i, *m_agents.back()));
  }
  m_workers.emplace(2, 100);
  m_client.emplace(m_loop, rpc::AgentClientSettings{}, m_metrics);
  m_flow.emplace(router::RequestFlowSettings{},
                 router::RequestFlowDependencies{m_loop, *m_client, *m_workers, *m_views, *m_views,
                                                 m_views->selector, m_clock, m_random, m_metrics});
  router::HttpFrontEndSettings with_address = settings;
  with_address.listen = "127.0.0.1:0";
  m_front_end.emplace(with_address, *m_flow, m_metrics);
  m_front_end->SetReady(true);
}

// RequestFlow requires this order. Without the front end no request arrives, without the workers no
// job uses the flow, and the flow uses the client until it is destroyed.
RouterFixture::~RouterFixture() {
  m_front_end.reset();
  m_workers.reset();
  m_flow.reset();
  m_client.reset();
}

std::string RouterFixture::Send(const std::string& head, const std::string& body) {
  RawConnection connection(m_front_end->Address());
  connection.Write(head + "Host: x\r\nWagtailwind-Organisation: acme\r\nConnection: close\r\n" +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return connection.ReadToEnd();
}

std::string RouterFixture::Chat(const std::string& headers, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nWagtailwind-Organisation: acme\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace wagtailwind::testing
