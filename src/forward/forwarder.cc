#include "forward/forwarder.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "core/mutant.h"
#include "forward/forward_task.h"
#include "forward/log_events.h"
#include "forward/placement_query.h"
#include "forward/session_table.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// The load balancer removes a router after two failed checks one second apart. Until then, new
// connections still arrive. Later requests come on connections that were open before, and are
// refused if they may outlast the stop.
constexpr std::chrono::milliseconds kListenTimeWhileStopping = 2'500ms;

// Part of the grace time that is reserved for the shutdown itself.
constexpr std::chrono::milliseconds kStopMargin = 400ms;

// The listener stays open while connections wait to be accepted, because closing it resets them.
constexpr std::chrono::milliseconds kAcceptPollInterval = 1ms;

// Interval of periodic work: idle connections, expired endpoints, readiness.
constexpr std::chrono::milliseconds kTickInterval = 250ms;

// Request bodies, and answers that wait for their callers, may each take one part in this many of
// the memory limit.
constexpr std::uint64_t kBodyMemoryDivisor = 4;
constexpr std::uint64_t kAnswerMemoryDivisor = 4;

// Each answer that begins while the part for answers is used up still adds what was read at once.
// Above this percentage of the part, requests are refused before they are read.
constexpr std::uint64_t kMaxAnswerPercent = 150;
constexpr std::uint64_t kPercent = 100;

// Pause of the watch after changes of endpoints, as a fraction of the drain bound, after which a
// draining endpoint must get no more requests. Because of the pause, one call returns several
// changes of a busy pool. The rest of the bound allows for a slow response and a lost connection.
constexpr double kEndpointPauseFraction = 0.3;

// Wait of a watch, as a fraction of the key revocation bound. A key is accepted for
// up to the bound after the last confirmation, which is one watch old if contact is lost just
// before a watch ends. The platform expects keys to be served for 0.6 of the bound without contact;
// the rest allows for round trips and the time for a request to reach its endpoint.
constexpr double kWatchFraction = 0.34;

std::chrono::milliseconds FractionOf(std::chrono::milliseconds time, double fraction) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time * fraction);
}

bool HasAdmissionControl(const settings::ForwarderSettings& settings,
                         const DeploymentAdapter& adapter) {
  switch (settings.balancing.admission) {
    case settings::FeatureMode::kOn:
      return true;
    case settings::FeatureMode::kOff:
      return false;
    case settings::FeatureMode::kAuto:
      return adapter.HasContention(settings.rule_sets);
  }
  return false;
}

/// Returns the prefix under which one watch covers both keys: each call of the key-value service
/// has its price, and the routers of a large fleet make most of them.
std::string CommonPrefix(std::string_view left, std::string_view right) {
  const auto end = std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first;
  return {left.begin(), end};
}

}  // namespace

/// \brief Serves readiness checks, metrics and state.
class Forwarder::AdminHost final : public SessionHost {
 public:
  explicit AdminHost(Forwarder& forwarder)
      : m_sessions(forwarder.m_context.loop, forwarder.m_context.clock), m_forwarder(forwarder) {}

  [[nodiscard]] std::unique_ptr<RequestTask> MakeTask(CallerRequest request,
                                                      ResponseSink& sink) override {
    return std::make_unique<Task>(m_forwarder, std::move(request), sink);
  }
  [[nodiscard]] CallerLimits Limits() const override { return {}; }
  [[nodiscard]] bool ClosesConnections() const override { return false; }
  [[nodiscard]] bool ReserveBody(std::size_t) override { return true; }
  void ReleaseBody(std::size_t) noexcept override {}
  void ResizeResponses(std::size_t, std::size_t) noexcept override {}
  void KeepDetached(std::unique_ptr<RequestTask>, std::size_t) override {}
  void OnSessionEnd(CallerSession& session) override { m_sessions.Remove(session); }
  void OnUnreadRequest(int, std::string_view) override {}

  SessionTable m_sessions;

 private:
  class Task final : public RequestTask {
   public:
    Task(Forwarder& forwarder, CallerRequest request, ResponseSink& sink)
        : m_forwarder(forwarder), m_request(std::move(request)), m_sink(sink) {}

    void Start() override {
      constexpr int kOk = 200;
      constexpr int kNotFound = 404;
      constexpr int kUnavailable = 503;
      const std::string& target = m_request.head.target;
      const std::vector<http::Header> text = {{"Content-Type", "text/plain; version=0.0.4"}};
      if (target == m_forwarder.m_adapter.Names().readiness_path || target == "/readyz") {
        m_sink.Respond(m_forwarder.IsReady() ? kOk : kUnavailable, {}, {});
      } else if (target == "/metrics") {
        m_sink.Respond(kOk, text, m_forwarder.m_context.metrics.RenderText());
      } else if (target == "/state") {
        m_sink.Respond(kOk, text, m_forwarder.StateText());
      } else if (target == kPlacementPath) {
        RespondToPlacementQuery(m_forwarder.m_context, m_request.body, m_sink);
      } else if (target == "/livez") {
        m_sink.Respond(kOk, {}, {});
      } else {
        m_sink.Respond(kNotFound, {}, {});
      }
    }
    void OnSinkDrained() override {}
    [[nodiscard]] bool OnCallerDisconnected() override { return false; }

   private:
    Forwarder& m_forwarder;
    CallerRequest m_request;
    ResponseSink& m_sink;
  };

  Forwarder& m_forwarder;
};

/// \brief Creates the tasks that forward callers' requests.
class Forwarder::CallerHost final : public SessionHost {
 public:
  explicit CallerHost(Forwarder& forwarder)
      : m_sessions(forwarder.m_context.loop, forwarder.m_context.clock),
        m_forwarder(forwarder),
        m_body_memory(forwarder.m_settings.memory_bytes / kBodyMemoryDivisor),
        m_max_answer_memory(forwarder.m_settings.memory_bytes / kAnswerMemoryDivisor *
                            kMaxAnswerPercent / kPercent) {}

  [[nodiscard]] std::unique_ptr<RequestTask> MakeTask(CallerRequest request,
                                                      ResponseSink& sink) override {
    return std::make_unique<ForwardTask>(m_forwarder.m_context, std::move(request), sink,
                                         [this](ForwardTask& task) { ReleaseDetached(task); });
  }

  [[nodiscard]] CallerLimits Limits() const override {
    const auto& configuration = m_forwarder.m_context.configuration;
    return configuration ? configuration->limits : CallerLimits{};
  }

  [[nodiscard]] bool ClosesConnections() const override { return !m_forwarder.IsReady(); }

  [[nodiscard]] bool ReserveBody(std::size_t bytes) override {
    const bool holds_too_much = m_forwarder.m_context.answer_memory.used() >= m_max_answer_memory &&
                                !IsMutantEnabled("forwarder_takes_requests_without_memory");
    return !holds_too_much && m_body_memory.TryReserve(bytes);
  }
  void ReleaseBody(std::size_t bytes) noexcept override { m_body_memory.Release(bytes); }

  void ResizeResponses(std::size_t before, std::size_t after) noexcept override {
    m_forwarder.m_context.answer_memory.Resize(before, after);
  }

  void KeepDetached(std::unique_ptr<RequestTask> task, std::size_t reserved) override {
    if (IsMutantEnabled("forwarder_ignores_detached_bodies")) {
      m_body_memory.Release(std::exchange(reserved, 0));
    }
    RequestTask* key = task.get();
    m_detached.emplace(key, Detached{.task = std::move(task), .reserved = reserved});
  }

  void OnSessionEnd(CallerSession& session) override { m_sessions.Remove(session); }

  void OnUnreadRequest(int status, std::string_view reason) override {
    Log(kRequestUnread, {{"status", status}, {"reason", reason}});
    m_forwarder.m_context.metrics.GetCounter("forward_unread_requests_total").Add();
  }

  [[nodiscard]] std::size_t BodyBytes() const noexcept { return m_body_memory.used(); }

  [[nodiscard]] bool IsEmpty() const noexcept {
    return m_sessions.Size() == 0 && m_detached.empty();
  }

  SessionTable m_sessions;

 private:
  /// A task that continues after its caller has disconnected.
  struct Detached {
    std::unique_ptr<RequestTask> task;
    /// Bytes that are reserved for its request.
    std::size_t reserved;
  };

  void ReleaseDetached(RequestTask& task) {
    m_forwarder.m_context.loop.Post([this, alive = std::weak_ptr<bool>(m_alive), key = &task] {
      const auto found = alive.expired() ? m_detached.end() : m_detached.find(key);
      if (!alive.expired() && found != m_detached.end()) {
        m_body_memory.Release(found->second.reserved);
        m_detached.erase(found);
      }
    });
  }

  Forwarder& m_forwarder;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  MemoryBudget m_body_memory;
  /// Bytes of answers from which no request is accepted.
  const std::size_t m_max_answer_memory;
  std::unordered_map<RequestTask*, Detached> m_detached;
};

Forwarder::Forwarder(net::EventLoop& loop, const Clock& clock, RandomSource& random,
                     MetricsRegistry& metrics, const settings::ForwarderSettings& settings,
                     const DeploymentAdapter& adapter, std::function<void()> on_stopped)
    : m_context{.loop = loop,
                .clock = clock,
                .random = random,
                .metrics = metrics,
                .names = adapter.Names(),
                .bounds = settings.bounds,
                .balancing = settings.balancing,
                .regions = settings.regions,
                .zone = settings.zone,
                .self = settings.instance,
                .routers = {{.name = settings.instance, .zone = settings.zone}},
                .endpoints =
                    balancing::EndpointRegistry([this](const balancing::EndpointPtr& endpoint) {
                      Log(kEndpointRemoved, {{"endpoint", endpoint->record.name.value()},
                                             {"service", endpoint->record.service.value()},
                                             {"incarnation", endpoint->record.incarnation}});
                      m_context.pool.CloseIdle(*endpoint);
                    }),
                .pool = ConnectionPool(loop, clock),
                .endpoints_known = false,
                .confirmation = {},
                .configuration = {},
                .traffic_share = {},
                .request_costs = {},
                .has_admission_control = HasAdmissionControl(settings, adapter),
                .admission = {},
                .retry_budgets = {},
                .crashes = CrashDetector(loop,
                                         [this](const balancing::EndpointPtr& endpoint,
                                                std::vector<balancing::SuspectPrompt> prompts) {
                                           m_crash_reports.OnCrash(endpoint, std::move(prompts));
                                         }),
                .quarantine = {},
                .on_request_limit =
                    [this](const balancing::EndpointPtr& endpoint, std::optional<double> limit) {
                      m_limits.OnAnswer(endpoint, limit);
                    },
                .answer_memory = MemoryBudget(settings.memory_bytes / kAnswerMemoryDivisor)},
      m_adapter(adapter),
      m_settings(settings),
      m_on_stopped(std::move(on_stopped)),
      m_configuration_follower(m_context, adapter),
      m_endpoint_follower(m_context, adapter),
      m_evacuation_follower(m_context, adapter),
      m_writer(loop, clock, random, adapter.Codec(), metrics, {.address = settings.key_value}),
      m_crash_reports(m_context, adapter, m_writer),
      m_limits(m_context, adapter, m_writer),
      m_routers(m_context, adapter, m_writer),
      m_dispatcher({.endpoint_prefix = adapter.EndpointPrefix(),
                    .router_prefix = adapter.RouterPrefix(),
                    .evacuation_prefix = adapter.EvacuationPrefix(),
                    .configuration = m_configuration_follower,
                    .endpoints = m_endpoint_follower,
                    .evacuations = m_evacuation_follower,
                    .routers = {&m_writer, &m_crash_reports, &m_limits, &m_routers}}),
      m_callers(std::make_unique<CallerHost>(*this)),
      m_admin(std::make_unique<AdminHost>(*this)),
      m_tick(loop, [this] { Tick(); }),
      m_stop_timer(loop, [this] { OnStopTimer(); }) {
  const auto accept_admin = [this](uv_stream_t* listener) {
    m_admin->m_sessions.Accept(*m_admin, listener);
  };
  m_admin_listener = std::make_unique<net::TcpListener>(loop, settings.listen_admin, accept_admin);
  if (!settings.listen_metrics.empty()) {
    m_metrics_listener =
        std::make_unique<net::TcpListener>(loop, settings.listen_metrics, accept_admin);
  }
  m_caller_listener = std::make_unique<net::TcpListener>(
      loop, settings.listen_callers,
      [this](uv_stream_t* listener) { m_callers->m_sessions.Accept(*m_callers, listener); });
  m_feed = std::make_unique<PrefixFeed>(
      loop, clock, random, adapter.Codec(), metrics,
      FeedSettings{
          .name = "records",
          .address = settings.key_value,
          .prefix = CommonPrefix(CommonPrefix(adapter.ConfigurationKey(), adapter.EndpointPrefix()),
                                 CommonPrefix(adapter.RouterPrefix(), adapter.EvacuationPrefix())),
          .watch_time = FractionOf(settings.bounds.key_revocation, kWatchFraction),
          .pause_after_change = FractionOf(settings.bounds.endpoint_drain, kEndpointPauseFraction),
          .paused_prefixes = {std::string(adapter.EndpointPrefix()),
                              RouterDirectory::Prefix(adapter), RequestLimits::Prefix(adapter)}},
      m_dispatcher);
  m_tick.StartPeriodic(kTickInterval);
}

Forwarder::~Forwarder() = default;

bool Forwarder::IsReady() const {
  return !m_context.stop && m_context.configuration && m_context.endpoints_known &&
         m_context.IsConfirmed();
}

void Forwarder::Tick() {
  m_context.pool.CloseExpired();
  m_context.endpoints.RemoveExpired(m_context.clock.Now());
  m_crash_reports.Tick();
  m_limits.Tick();
  m_routers.Tick();
  UpdateGauges();
  const bool ready = IsReady();
  if (ready != std::exchange(m_was_ready, ready)) {
    Log(kReadinessChanged,
        {{"ready", ready ? 1 : 0},
         {"stopping", m_context.stop ? 1 : 0},
         {"configuration", m_context.configuration ? m_context.configuration->version : 0},
         {"endpoints", m_context.endpoints.Size()},
         {"confirmed_ms",
          m_context.confirmation.AgeMilliseconds(m_context.clock.BootNow()).value_or(-1)}});
  }
  CheckStopped();
}

void Forwarder::UpdateGauges() {
  MetricsRegistry& metrics = m_context.metrics;
  const auto set = [&metrics](std::string_view name, std::size_t value) {
    metrics.GetGauge(name).Set(static_cast<double>(value));
  };
  set("forward_ready", IsReady() ? 1 : 0);
  set("forward_idle_connections", m_context.pool.IdleCount());
  set("forward_sessions", m_callers->m_sessions.Size());
  set("forward_endpoints", m_context.endpoints.Size());
  set("forward_routers_estimate",
      static_cast<std::size_t>(m_context.traffic_share.EstimatedRouters()));
  set("forward_body_bytes", m_callers->BodyBytes());
  set("forward_answer_bytes", m_context.answer_memory.used());
  if (const auto age = m_context.confirmation.AgeMilliseconds(m_context.clock.BootNow())) {
    constexpr double kMillisecondsPerSecond = 1000;
    metrics.GetGauge("forward_confirmation_age_seconds")
        .Set(static_cast<double>(*age) / kMillisecondsPerSecond);
  }
}

void Forwarder::BeginStop() {
  if (m_context.stop) {
    return;
  }
  const SteadyTime now = m_context.clock.Now();
  m_context.stop = {.refuse_long_from = now + kListenTimeWhileStopping,
                    .end = now + m_context.bounds.grace - kStopMargin};
  Log(kForwarderStopping, {{"sessions", m_callers->m_sessions.Size()}});
  if (IsMutantEnabled("forwarder_stops_at_once")) {
    ForceStop();
    return;
  }
  m_stop_timer.Start(kListenTimeWhileStopping);
}

void Forwarder::OnStopTimer() {
  if (!m_caller_listener) {
    ForceStop();
    return;
  }
  const auto left = m_context.stop->end - m_context.clock.Now();
  if (m_caller_listener->HasPendingConnection() && left > kAcceptPollInterval) {
    m_stop_timer.Start(kAcceptPollInterval);
    return;
  }
  m_caller_listener.reset();
  m_callers->m_sessions.CloseIdle();
  m_stop_timer.Start(left);
}

void Forwarder::CheckStopped() {
  if (m_context.stop && !m_caller_listener && m_callers->IsEmpty()) {
    ForceStop();
  }
}

void Forwarder::ForceStop() {
  if (!std::exchange(m_stopped, true)) {
    Log(kForwarderStopped, {{"cut_sessions", m_callers->m_sessions.Size()}});
    m_on_stopped();
  }
}

std::string Forwarder::StateText() const {
  std::ostringstream out;
  const SteadyTime now = m_context.clock.Now();
  out << "ready " << IsReady() << "\nconfiguration "
      << (m_context.configuration ? m_context.configuration->version : 0) << '\n';
  if (m_context.configuration) {
    for (const auto& [name, spec] : m_context.configuration->services) {
      for (const balancing::EndpointPtr& endpoint : m_context.endpoints.Usable(name)) {
        out << "endpoint " << endpoint->record.name.value() << " service " << name << " address "
            << endpoint->record.address << " own " << endpoint->load.own() << " load "
            << endpoint->load.Requests(now) << " failure_rate " << endpoint->health.FailureRate(now)
            << " connections " << endpoint->connections << '\n';
      }
    }
  }
  return out.str();
}

}  // namespace wagtailwind::forward
