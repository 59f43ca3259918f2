#include "rpc/agent_client.h"

#include <kj/async.h>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rpc/active_attempt.h"
#include "rpc/agent_connection.h"
#include "rpc/log_events.h"

namespace wagtailwind::rpc {

namespace {

std::string Description(const kj::Exception& exception) {
  return {exception.getDescription().cStr(), exception.getDescription().size()};
}

/// \brief A connection that is open or being opened.
struct Slot {
  std::shared_ptr<AgentConnection> connection;
  /// Attempts that are sent once the connection is open.
  std::vector<std::shared_ptr<ActiveAttempt>> waiting;
  kj::TimePoint last_used;
};

}  // namespace

struct AgentClient::State final : private kj::TaskSet::ErrorHandler {
  State(EventLoopThread& event_loop, const AgentClientSettings& client_settings,
        MetricsRegistry& metrics)
      : loop(event_loop),
        settings(client_settings),
        opened(metrics.GetCounter("agent_connections_opened_total")),
        failed(metrics.GetCounter("agent_connections_failed_total")),
        connections(metrics.GetGauge("agent_connections")),
        tasks(*this),
        context{tasks, loop.Timer(), client_settings.admission_timeout,
                metrics.GetCounter("agent_replies_dropped_total")} {
    tasks.add(ScheduleCleanup());
  }

  virtual ~State() {
    for (const std::weak_ptr<ActiveAttempt>& weak : attempts) {
      if (const std::shared_ptr<ActiveAttempt> attempt = weak.lock()) {
        attempt->Cancel();
      }
    }
  }

  void taskFailed(kj::Exception&& exception) override {
    Log(kRpcTaskFailed, {{"error", Description(exception)}});
  }

  std::shared_ptr<Attempt> Start(const AgentAddress& agent,
                                 std::variant<AttemptCall, ResumeCall> call,
                                 std::shared_ptr<AttemptListener> listener) {
    auto attempt = std::make_shared<ActiveAttempt>(context, agent.incarnation, std::move(call),
                                                   std::move(listener));
    attempts.push_back(attempt);
    Slot& slot = FindOrOpen(agent.rpc_address);
    if (slot.connection) {
      attempt->Send(slot.connection);
    } else {
      slot.waiting.push_back(attempt);
    }
    return attempt;
  }

  Slot& FindOrOpen(const std::string& address) {
    const auto found = slots.find(address);
    if (found != slots.end()) {
      found->second.last_used = loop.Timer().now();
      return found->second;
    }
    Slot& slot = slots.emplace(address, Slot{nullptr, {}, loop.Timer().now()}).first->second;
    connections.Set(static_cast<double>(slots.size()));
    tasks.add(
        AgentConnection::Open(loop.Io(), loop.Timer(), address, settings.connect_timeout)
            .then(
                [this, address](std::shared_ptr<AgentConnection>&& connection) {
                  OnOpen(address, connection);
                },
                [this, address](kj::Exception&& exception) { OnOpenFailed(address, exception); }));
    return slot;
  }

  void OnOpen(const std::string& address, const std::shared_ptr<AgentConnection>& connection) {
    opened.Add();
    Log(kAgentConnected, {{"address", address}});
    Slot& slot = slots.at(address);
    slot.connection = connection;
    const std::weak_ptr<AgentConnection> weak = connection;
    tasks.add(
        connection->OnDisconnect().then([this, address, weak] { OnDisconnected(address, weak); }));
    const auto waiting = std::move(slot.waiting);
    for (const std::shared_ptr<ActiveAttempt>& attempt : waiting) {
      attempt->Send(connection);
    }
  }

  void OnOpenFailed(const std::string& address, const kj::Exception& exception) {
    failed.Add();
    Log(kAgentConnectFailed, {{"address", address}, {"error", Description(exception)}});
    // The failed connection is removed before the listeners are called, because they may start
    // attempts at the same address, which must open a new connection.
    const auto waiting = std::move(slots.at(address).waiting);
    Remove(address);
    for (const std::shared_ptr<ActiveAttempt>& attempt : waiting) {
      attempt->FailBeforeHandOver();
    }
  }

  void OnDisconnected(const std::string& address,
                      const std::weak_ptr<AgentConnection>& disconnected) {
    const auto found = slots.find(address);
    const std::shared_ptr<AgentConnection> connection = disconnected.lock();
    if (connection == nullptr || found == slots.end() || found->second.connection != connection) {
      return;
    }
    Log(kAgentDisconnected, {{"address", address}});
    Remove(address);
    CloseLater(connection);
  }

  // A connection must not be destroyed from inside its own callbacks.
  void CloseLater(std::shared_ptr<AgentConnection> connection) {
    tasks.add(kj::evalLater([kept = std::move(connection)]() mutable { kept.reset(); }));
  }

  void Remove(const std::string& address) {
    slots.erase(address);
    connections.Set(static_cast<double>(slots.size()));
  }

  kj::Promise<void> ScheduleCleanup() {
    constexpr std::chrono::milliseconds kMaxInterval{10'000};
    const auto interval = std::min(kMaxInterval, settings.idle_timeout);
    return loop.Timer().afterDelay(interval.count() * kj::MILLISECONDS).then([this] {
      Cleanup();
      tasks.add(ScheduleCleanup());
    });
  }

  // Forgets attempts that have ended and closes idle connections.
  void Cleanup() {
    std::erase_if(attempts, [](const std::weak_ptr<ActiveAttempt>& weak) {
      const std::shared_ptr<ActiveAttempt> attempt = weak.lock();
      return attempt == nullptr || attempt->ended();
    });
    const kj::TimePoint oldest =
        loop.Timer().now() - settings.idle_timeout.count() * kj::MILLISECONDS;
    std::erase_if(slots, [oldest](const auto& entry) {
      // Attempts share ownership, so a connection in use has a use count above 1.
      const Slot& slot = entry.second;
      return slot.connection != nullptr && slot.connection.use_count() == 1 &&
             slot.last_used < oldest;
    });
    connections.Set(static_cast<double>(slots.size()));
  }

  EventLoopThread& loop;
  const AgentClientSettings settings;
  Counter& opened;
  Counter& failed;
  Gauge& connections;
  std::unordered_map<std::string, Slot> slots;
  std::vector<std::weak_ptr<ActiveAttempt>> attempts;
  // Declared after the members that the tasks use, so that the tasks are destroyed first.
  kj::TaskSet tasks;
  AttemptContext context;
};

AgentClient::AgentClient(EventLoopThread& loop, AgentClientSettings settings,
                         MetricsRegistry& metrics)
    : m_loop(loop) {
  m_loop.Run([&] { m_state = std::make_unique<State>(m_loop, settings, metrics); });
}

AgentClient::~AgentClient() {
  m_loop.Run([this] { m_state.reset(); });
}

std::shared_ptr<Attempt> AgentClient::Execute(const AgentAddress& agent, AttemptCall call,
                                              std::shared_ptr<AttemptListener> listener) {
  return m_state->Start(agent, std::move(call), std::move(listener));
}

std::shared_ptr<Attempt> AgentClient::Resume(const AgentAddress& agent, ResumeCall call,
                                             std::shared_ptr<AttemptListener> listener) {
  return m_state->Start(agent, std::move(call), std::move(listener));
}

void AgentClient::NotifyChatMoved(const AgentAddress& home, const OrganisationName& organisation,
                                  const ChatId& chat, const EndpointName& endpoint) {
  const Slot& slot = m_state->FindOrOpen(home.rpc_address);
  // A missing home pointer costs one prefix cache miss, which is not worth waiting for a
  // connection.
  if (!slot.connection) {
    return;
  }
  auto request = slot.connection->Agent().chatMovedRequest();
  auto moved = request.initMoved();
  moved.setOrganisation(organisation.value());
  moved.setChat(chat.value());
  moved.setEndpoint(endpoint.value());
  m_state->tasks.add(request.send().ignoreResult());
}

std::size_t AgentClient::Connections() const { return m_state->slots.size(); }

}  // namespace wagtailwind::rpc
