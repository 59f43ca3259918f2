#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_H_

#include <memory>
#include <optional>
#include <string>

#include "agent/execution_flow.h"
#include "core/random_source.h"
#include "support/fake_claim_log.h"
#include "support/fake_clock.h"
#include "support/fake_endpoints.h"
#include "support/fake_gate.h"
#include "support/fake_home_pointers.h"
#include "support/fake_views.h"

namespace wagtailwind::testing {

inline constexpr Incarnation kAgentIncarnation = 77;
inline constexpr std::uint64_t kSeed = 20260101;

/// \brief An execution flow whose dependencies are fakes, and factories for the calls of tests.
struct FakeAgent {
  /// \brief A null pointer selects the fake endpoint of this object.
  explicit FakeAgent(endpoint::ModelEngine* other_engine = nullptr,
                     endpoint::PlainService* other_service = nullptr) {
    records::Configuration records;
    records.version = 1;
    configuration.Set(std::move(records));
    agent::FlowDependencies parts{gate, homes, configuration, clock, random, metrics};
    parts.engine = other_engine != nullptr ? other_engine : &engine;
    parts.service = other_service != nullptr ? other_service : &service;
    parts.claims = &claims;
    agent::FlowSettings settings;
    settings.endpoint.endpoint = EndpointName("endpoint-1");
    settings.endpoint.pool = ServiceName("returns-api");
    settings.endpoint.models = {ModelName("m")};
    settings.incarnation = kAgentIncarnation;
    flow = std::make_unique<agent::ExecutionFlow>(parts, settings);
  }

  agent::AgentCall NewCall() {
    agent::AgentCall call;
    call.id = {random.NewRequestId(), 1, 5};
    call.agent_incarnation = kAgentIncarnation;
    call.organisation = OrganisationName("kandy");
    call.deadline = std::chrono::milliseconds(60'000);
    return call;
  }

  agent::AgentCall ChatCall(bool stream = true) {
    agent::AgentCall call = NewCall();
    agent::ChatCall chat;
    chat.model = ModelName("m");
    chat.chat = ChatId("chat-1");
    chat.body = R"({"model":"m","max_tokens":40,"messages":[{"role":"user","content":"hi"}],)"
                R"("stream":)" +
                std::string(stream ? "true}" : "false}");
    chat.stream = stream;
    call.target = chat;
    return call;
  }

  /// \brief Returns a call that must not be repeated, with a request key that has not expired.
  agent::AgentCall PickupCall() {
    agent::AgentCall call = NewCall();
    call.request_key = NewKey();
    agent::PlainCall plain;
    plain.service = ServiceName("returns-api");
    plain.method = "POST";
    plain.path = "/pickups";
    plain.body = "{}";
    call.target = plain;
    return call;
  }

  /// \brief Returns a request key with the time of the fake clock.
  std::string NewKey() {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock.WallNow().time_since_epoch())
            .count();
    char text[37];
    std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                  static_cast<unsigned long long>(milliseconds >> 16),
                  static_cast<unsigned long long>(milliseconds & 0xFFFF),
                  static_cast<unsigned long long>(random.NextBelow(1ULL << 48U)));
    return text;
  }

  /// \brief Starts an attempt. `last` holds the admission decision once it has been made.
  void Execute(agent::AgentCall call) {
    last.reset();
    flow->Execute(std::move(call), [this](const agent::Admission& admission) { last = admission; });
  }

  FakeClock clock;
  FakeGate gate;
  FakeHomePointers homes;
  FakeConfigurationView configuration;
  FakeModelEngine engine;
  FakePlainService service;
  FakeClaimLog claims;
  SeededRandomSource random{kSeed};
  MetricsRegistry metrics;
  std::optional<agent::Admission> last;
  std::unique_ptr<agent::ExecutionFlow> flow;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_AGENT_H_
