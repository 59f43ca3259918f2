#include "soak/soak_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>

#include "support/process_usage.h"
#include "support/raw_connection.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;
using forward::RequestKind;
using histories::Fault;
using histories::FaultKind;

constexpr std::chrono::milliseconds kProgramStartTime = 1'000ms;
constexpr const char* kConfigurationKey = "op/config";
constexpr const char* kEndpointPrefix = "servers/";
// The service whose endpoints are cold after a start. Requests of the other one are refused less
// often, so that more of them are under way at planned stops.
constexpr const char* kColdService = "alpha";
constexpr const char* kEvacuationPrefix = "op/evacuate/";

// An endpoint's entry expires after three missed heartbeats of 1.2 s.
constexpr std::chrono::milliseconds kRegistrationExpiry = 3'600ms;

// A router reads the key-value service before it accepts requests.
constexpr std::chrono::milliseconds kStartupTime = 500ms;

// Time until callers know that a router is stopping.
constexpr std::chrono::milliseconds kStopNotice = 1'000ms;

// A draining endpoint runs until its streams have ended.
constexpr std::chrono::milliseconds kMinDrain = 6'500ms;
constexpr std::chrono::milliseconds kMaxDrain = 7'500ms;

// Time from an announcement to the entry that follows it.
constexpr std::chrono::milliseconds kEntryDelay = 1'000ms;

// Longer than the time from which no request may reach an evacuated zone.
constexpr std::chrono::milliseconds kMinEvacuation = 7'000ms;
constexpr std::chrono::milliseconds kMaxEvacuation = 9'000ms;

// Ages of the copies of the key-value service, and the time in which endpoints write their entries
// again after a restore.
constexpr std::chrono::milliseconds kCopyInterval = 500ms;
constexpr std::chrono::milliseconds kMaxCopyAge = 6'000ms;
constexpr std::chrono::milliseconds kRewriteTime = 1'500ms;

constexpr std::chrono::milliseconds kSlowStore = 300ms;
constexpr int kUnavailable = 503;

/// Returns the name of the availability zone of a router or endpoint.
std::string ZoneOf(std::size_t index) { return "zone-" + std::to_string(index % 2 + 1); }

forward::Route MakeRoute(const std::string& name, RequestKind kind,
                         std::chrono::milliseconds timeout, std::uint32_t attempts,
                         const std::string& service, bool resumable = false) {
  forward::Route route;
  route.name = name;
  route.host = "soak.example";
  route.prefix = "/" + name + "/";
  route.kind = kind;
  route.timeout = timeout;
  route.objective = 300ms;
  route.max_attempts = attempts;
  route.resumable = resumable;
  route.services = {{.service = ServiceName(service)}};
  return route;
}

/// Returns the first port of this run. It is below the system's ephemeral ports, because a client
/// could take such a port between its choice and the start of the router. Parallel runs start at
/// different ports.
std::uint16_t FirstPort() {
  constexpr int kLowest = 10'000;
  constexpr int kRuns = 350;
  constexpr int kPortsOfRun = 64;
  return static_cast<std::uint16_t>(kLowest + getpid() % kRuns * kPortsOfRun);
}

LinkFault LinkFaultOf(const std::string& name) {
  if (name == "delay") {
    return LinkFault::kDelay;
  }
  if (name == "reset") {
    return LinkFault::kReset;
  }
  if (name == "hold_up") {
    return LinkFault::kStallToServer;
  }
  return name == "hold_down" ? LinkFault::kStallToClient : LinkFault::kBlackhole;
}

/// Returns the scope of a router's fault. A planned stop has its own scope, because it suspends
/// fewer checks than an unplanned end.
Ledger::Scope RouterFaultScope(const std::string& fault_name, std::size_t router) {
  return fault_name == "stop" ? Ledger::StopScope(router) : Ledger::RouterScope(router);
}

/// Splits a fault kind such as `router_kill` into its scope and its fault name.
std::pair<std::string, std::string> SplitKind(const std::string& kind) {
  const std::size_t separator = kind.find('_');
  return {kind.substr(0, separator), kind.substr(separator + 1)};
}

}  // namespace

SoakFleet::SoakFleet(net::EventLoop& loop, RandomSource& random, Ledger& ledger,
                     SoakOptions options)
    : m_loop(loop),
      m_random(random),
      m_ledger(ledger),
      m_options(std::move(options)),
      m_store(loop, m_wire),
      m_next_port(FirstPort()) {
  m_configuration.routes = {
      MakeRoute("call", RequestKind::kNonIdempotent, 1'500ms, 3, "alpha"),
      MakeRoute("look", RequestKind::kIdempotent, 1'500ms, 3, "alpha"),
      MakeRoute("large", RequestKind::kIdempotent, 3'000ms, 3, "alpha"),
      MakeRoute("stream", RequestKind::kStream, 6'000ms, 3, "beta", true),
      MakeRoute("stream-once", RequestKind::kStream, 6'000ms, 1, "beta"),
      MakeRoute("move", RequestKind::kIdempotent, 1'500ms, 2, "alpha"),
  };
  m_configuration.cold_service = kColdService;
  m_configuration.cold_time = kColdTime;
  m_configuration.cold_rate = kColdRate;
  ChangeConfiguration();
  for (const char* service : {"alpha", "beta"}) {
    for (std::size_t i = 0; i < m_options.endpoints; ++i) {
      auto endpoint = std::make_unique<Endpoint>();
      endpoint->name = std::string(service) + "-" + std::to_string(i);
      endpoint->service = service;
      endpoint->zone = ZoneOf(i);
      endpoint->link = std::make_unique<LinkProxy>(loop);
      StartEndpoint(*endpoint);
      m_endpoints.push_back(std::move(endpoint));
    }
  }
  m_routers.resize(m_options.routers);
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    m_routers[i].store_link = std::make_unique<LinkProxy>(loop);
    m_routers[i].store_link->SetServer(m_store.Address());
    m_routers[i].settings_path = m_options.folder + "/router-" + std::to_string(i) + ".yaml";
    StartRouter(i);
  }
}

void SoakFleet::RunAfter(std::chrono::milliseconds delay, std::function<void()> function) {
  m_timers.emplace_back(m_loop, std::move(function)).Start(delay);
}

void SoakFleet::ReportFault(const std::string& scope, bool begins) {
  begins ? m_ledger.OnFaultBegin(scope, m_clock.Now()) : m_ledger.OnFaultEnd(scope, m_clock.Now());
}

std::string SoakFleet::FreeAddress() {
  while (true) {
    std::string address = "127.0.0.1:" + std::to_string(m_next_port++);
    try {
      const net::TcpListener probe(m_loop, address, [](uv_stream_t*) {});
      return address;
    } catch (const net::SocketFailed&) {
      // The port is in use; the next one is tried.
    }
  }
}

void SoakFleet::StartRouter(std::size_t index) {
  Router& router = m_routers[index];
  const settings::ForwarderBounds& bounds = m_options.bounds;
  router.address = FreeAddress();
  std::ofstream(router.settings_path)
      << "role: forwarder\ninstance:\n  name: router-" << index
      << "\n  availability_zone: " << ZoneOf(index)
      << "\n  memory: 128MiB\nlisten:\n  callers: " << router.address
      << "\n  admin: " << FreeAddress()
      << "\nplatform:\n  key_value: " << router.store_link->Address()
      << "\nbounds:\n  key_revocation: " << bounds.key_revocation.count()
      << "ms\n  configuration: " << bounds.configuration.count()
      << "ms\n  endpoint_drain: " << bounds.endpoint_drain.count()
      << "ms\n  grace: " << bounds.grace.count() << "ms\n  retry_ratio: " << bounds.retry_ratio
      << "\n  retry_slack: " << bounds.retry_slack << "\n  cold_factor: " << bounds.cold_factor
      << "\n  cold_slack: " << bounds.cold_slack << "\nlog:\n  level: info\n";
  const std::string log = m_options.folder + "/router-" + std::to_string(index) + ".log";
  std::string program = std::string(WAGTAILWIND_BINARY_DIR) + "/wagtailwind-forwarder";
  if (!m_options.mutant.empty()) {
    program += "_mutants";
  }
  router.process = std::make_unique<testing::ChildProcess>(
      std::vector<std::string>{program, "--config", router.settings_path}, log, log);
  router.started = m_clock.Now();
  router.terminating = false;
}

void SoakFleet::StartEndpoint(Endpoint& endpoint) {
  std::vector<std::string> command = {std::string(WAGTAILWIND_BINARY_DIR) + "/tests/soak_endpoint",
                                      "--name", endpoint.name, "--log",
                                      m_options.folder + "/endpoints.log"};
  // The first processes start before the traffic.
  if (endpoint.process && endpoint.service == kColdService) {
    command.emplace_back("--cold");
    endpoint.cold_until = m_clock.Now() + kColdTime;
  }
  endpoint.process = std::make_unique<testing::ChildProcess>(command);
  endpoint.address = endpoint.process->ReadLine();
  endpoint.link->SetServer(endpoint.address);
  endpoint.leaving = false;
  endpoint.draining = false;
  endpoint.terminating = false;
  endpoint.incarnation = ++m_last_incarnation;
  m_ledger.OnEndpointStarted(endpoint.name, endpoint.zone);
  PutEndpoint(endpoint);
}

void SoakFleet::PutEndpoint(const Endpoint& endpoint) {
  m_store.Put(kEndpointPrefix + endpoint.name,
              EncodeEndpoint(
                  {.service = endpoint.service,
                   .address = endpoint.link->Address(),
                   .incarnation = endpoint.incarnation,
                   .zone = endpoint.zone,
                   .draining = endpoint.draining,
                   .cold_time = std::chrono::ceil<std::chrono::milliseconds>(
                       std::max<SteadyTime::duration>(endpoint.cold_until - m_clock.Now(), 0ms))}));
}

void SoakFleet::PutOddEntry() {
  constexpr std::size_t kNestedLevels = 1'000;
  const std::string address = m_store.Address();
  const std::string values[] = {
      "no entry",
      std::string(kNestedLevels, '['),
      EncodeEndpoint({.service = "alpha", .address = "127.0.0.1:70000", .incarnation = 1}),
      EncodeEndpoint({.service = "alpha", .address = "127.0.0.1:0", .incarnation = 1}),
      EncodeEndpoint({.service = "alpha",
                      .address = address,
                      .incarnation = std::numeric_limits<std::uint64_t>::max()}),
  };
  const std::size_t odd = m_odd_entries++ % std::size(values);
  m_store.Put(kEndpointPrefix + std::string("odd-") + std::to_string(odd), values[odd]);
}

void SoakFleet::ChangeConfiguration() {
  if (m_store_faults > 0) {
    return;
  }
  const std::string old_key = "key-" + std::to_string(m_configuration.version);
  ++m_configuration.version;
  const std::string service = m_configuration.version % 2 == 0 ? "beta" : "alpha";
  m_configuration.routes.back().services = {{.service = ServiceName(service)}};
  m_configuration.api_keys = {"key-main", "key-" + std::to_string(m_configuration.version)};
  m_store.Put(kConfigurationKey, EncodeConfiguration(m_configuration));
  m_ledger.OnConfiguration(service, m_clock.Now());
  m_ledger.OnKeyRevoked(old_key, m_clock.Now());
}

std::optional<std::pair<std::size_t, std::string>> SoakFleet::PickRouter() {
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    if (m_routers[i].down == 0 && m_clock.Now() > m_routers[i].started + kStartupTime) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  const std::size_t index = open[m_random.NextBelow(open.size())];
  return std::pair(index, m_routers[index].address);
}

SoakRequest SoakFleet::NextRequest() {
  // Share of the requests that go to a route.
  struct Share {
    std::size_t route;
    std::uint64_t percent;
    std::size_t size;
  };
  constexpr Share kShares[] = {{0, 30, 20}, {1, 25, 20}, {2, 5, 20'000},
                               {3, 20, 30}, {4, 5, 30},  {5, 15, 20}};
  constexpr std::uint64_t kPercent = 100;
  constexpr std::uint64_t kOldKeyPercent = 15;
  std::uint64_t draw = m_random.NextBelow(kPercent);
  const Share* share = kShares;
  while (draw >= share->percent) {
    draw -= share->percent;
    ++share;
  }
  const forward::Route& route = m_configuration.routes[share->route];
  SoakRequest request;
  request.attempt = "s" + std::to_string(m_options.seed) + "r" + std::to_string(++m_requests);
  request.prefix = route.prefix;
  request.kind = route.kind;
  request.timeout = route.timeout;
  request.size = share->size;
  request.api_key = "key-main";
  if (m_random.NextBelow(kPercent) < kOldKeyPercent) {
    constexpr std::uint64_t kRecentVersions = 4;
    const std::uint64_t back = m_random.NextBelow(kRecentVersions);
    request.api_key =
        "key-" + std::to_string(m_configuration.version - std::min(back, m_configuration.version));
  }
  return request;
}

std::vector<FaultKind> SoakFleet::WithTargets(std::vector<FaultKind> kinds) const {
  for (FaultKind& kind : kinds) {
    const std::string scope = SplitKind(kind.name).first;
    if (scope == "router" || scope == "storelink") {
      kind.targets = m_routers.size();
    } else if (scope == "endpoint" || scope == "endpointlink") {
      kind.targets = m_endpoints.size();
    } else if (scope == "service") {
      kind.targets = 2;
    }
  }
  return kinds;
}

std::vector<FaultKind> SoakFleet::PlannedFaultKinds() const {
  return WithTargets(
      {{.name = "router_stop"},
       {.name = "router_reload"},
       {.name = "endpoint_drain", .weight = 2, .shortest = kMinDrain, .longest = kMaxDrain}});
}

std::vector<FaultKind> SoakFleet::EndlessFaultKinds() const {
  return WithTargets({{.name = "endpoint_endless", .shortest = 500ms, .longest = 3'000ms}});
}

std::vector<FaultKind> SoakFleet::RestoreFaultKinds() const {
  return {{.name = "store_restored", .shortest = 300ms, .longest = 2'000ms}};
}

std::vector<FaultKind> SoakFleet::LeavingFaultKinds() const {
  return WithTargets(
      {{.name = "endpoint_leave", .shortest = kMinDrain, .longest = kMaxDrain},
       {.name = "endpoint_unlisted", .weight = 3, .shortest = kMinDrain, .longest = kMaxDrain},
       {.name = "endpoint_named", .weight = 3, .shortest = 1'000ms, .longest = 3'000ms},
       {.name = "zone_evacuate",
        .weight = 2,
        .shortest = kMinEvacuation,
        .longest = kMaxEvacuation}});
}

std::vector<FaultKind> SoakFleet::FaultKinds() const {
  std::vector<FaultKind> kinds = {
      {.name = "router_kill", .shortest = 300ms, .longest = 2'000ms},
      {.name = "router_pause", .shortest = 200ms, .longest = 4'000ms},
      {.name = "router_stop", .weight = 2},
      {.name = "router_reload"},
      {.name = "endpoint_kill", .shortest = 500ms, .longest = 5'000ms},
      {.name = "endpoint_pause", .shortest = 300ms, .longest = 3'000ms},
      {.name = "endpoint_drain", .weight = 2, .shortest = kMinDrain, .longest = kMaxDrain},
  };
  for (const char* mode : {"fail", "lose", "truncate", "refuse", "hang"}) {
    kinds.push_back(
        {.name = std::string("endpoint_") + mode, .shortest = 500ms, .longest = 3'000ms});
  }
  for (const char* fault : {"delay", "reset", "hold_up", "hold_down", "silence"}) {
    kinds.push_back(
        {.name = std::string("endpointlink_") + fault, .shortest = 300ms, .longest = 3'000ms});
    kinds.push_back(
        {.name = std::string("storelink_") + fault, .shortest = 300ms, .longest = 9'000ms});
  }
  for (const char* mode : {"fail", "refuse"}) {
    kinds.push_back(
        {.name = std::string("service_") + mode, .shortest = 1'000ms, .longest = 3'000ms});
  }
  kinds.push_back({.name = "store_down", .shortest = 500ms, .longest = 4'000ms});
  kinds.push_back({.name = "store_silent", .shortest = 500ms, .longest = 9'000ms});
  kinds.push_back({.name = "store_slow", .shortest = 500ms, .longest = 4'000ms});
  kinds.push_back({.name = "store_history"});
  kinds.push_back({.name = "store_cut"});
  return WithTargets(std::move(kinds));
}

void SoakFleet::BeginRouterFault(const std::string& fault_name, std::size_t index) {
  Router& router = m_routers[index];
  if (fault_name == "reload") {
    // SIGHUP ends a process that hasn't installed its signal handler yet.
    if (m_clock.Now() > router.started + kStartupTime) {
      router.process->Signal(SIGHUP);
    }
    return;
  }
  ReportFault(RouterFaultScope(fault_name, index), true);
  if (fault_name == "stop") {
    router.terminating = true;
    router.process->Signal(SIGTERM);
    RunAfter(kStopNotice, [&router] { ++router.down; });
    return;
  }
  ++router.down;
  if (fault_name == "kill") {
    router.terminating = true;
    router.process->Signal(SIGKILL);
  } else {
    router.process->Signal(SIGSTOP);
  }
}

void SoakFleet::EndRouterFault(const std::string& fault_name, std::size_t index) {
  Router& router = m_routers[index];
  if (fault_name == "reload") {
    return;
  }
  if (fault_name == "pause") {
    router.process->Signal(SIGCONT);
    --router.down;
    ReportFault(Ledger::RouterScope(index), false);
    return;
  }
  if (router.terminating && !router.process->HasEnded()) {
    // A router stops only after its requests in flight have ended.
    RunAfter(100ms, [this, fault_name, index] { EndRouterFault(fault_name, index); });
    return;
  }
  // If two faults ended the same process, the first of them to be lifted restarts it.
  if (router.terminating) {
    StartRouter(index);
  }
  // A stop may end before the callback of BeginRouterFault() has incremented `down`.
  RunAfter(fault_name == "stop" ? kStopNotice : 0ms, [&router] { --router.down; });
  RunAfter(kStartupTime + kStopNotice,
           [this, fault_name, index] { ReportFault(RouterFaultScope(fault_name, index), false); });
}

void SoakFleet::SetMode(const Endpoint& endpoint, const std::string& mode) {
  if (endpoint.terminating) {
    return;
  }
  const testing::RawConnection control(endpoint.address);
  control.Write("POST /control?mode=" + mode +
                " HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n\r\n");
}

void SoakFleet::Drain(Endpoint& endpoint) {
  if (!endpoint.terminating) {
    endpoint.draining = true;
    PutEndpoint(endpoint);
    m_ledger.OnDraining(endpoint.name, m_clock.Now());
  }
}

void SoakFleet::Restart(Endpoint& endpoint) {
  ReportFault(endpoint.name, true);
  endpoint.process->Signal(SIGKILL);
  endpoint.process->Wait();
  StartEndpoint(endpoint);
  ReportFault(endpoint.name, false);
}

void SoakFleet::SetEvacuated(bool evacuated) {
  const int before = m_evacuations;
  m_evacuations += evacuated ? 1 : -1;
  // With both zones evacuated, nothing would be sent.
  const std::string zone = ZoneOf(m_options.seed);
  if (evacuated && before == 0) {
    m_store.Put(kEvacuationPrefix + zone, "{}");
    m_ledger.OnEvacuated(zone, m_clock.Now());
  } else if (!evacuated && before == 1) {
    m_ledger.OnRestored(zone, m_clock.Now());
    m_store.Delete(kEvacuationPrefix + zone);
  }
}

void SoakFleet::BeginEndpointFault(const std::string& fault_name, Endpoint& endpoint) {
  if (fault_name == "drain") {
    Drain(endpoint);
    return;
  }
  if (fault_name == "leave" || fault_name == "unlisted") {
    SetMode(endpoint, "leave");
    endpoint.leaving = !endpoint.terminating;
    if (fault_name == "leave") {
      RunAfter(kEntryDelay, [this, &endpoint, process = endpoint.incarnation] {
        if (endpoint.incarnation == process) {
          Drain(endpoint);
        }
      });
    }
    return;
  }
  if (fault_name == "named") {
    SetMode(endpoint, "pause");
    return;
  }
  ReportFault(endpoint.name, true);
  if (fault_name == "kill") {
    endpoint.terminating = true;
    endpoint.process->Signal(SIGKILL);
    RunAfter(kRegistrationExpiry, [this, &endpoint] {
      if (endpoint.terminating) {
        m_store.Delete(kEndpointPrefix + endpoint.name);
      }
    });
  } else if (fault_name == "pause") {
    ReportFault(Ledger::HeldScope(endpoint.name), true);
    endpoint.process->Signal(SIGSTOP);
  } else {
    SetMode(endpoint, fault_name);
  }
}

void SoakFleet::EndEndpointFault(const std::string& fault_name, Endpoint& endpoint) {
  if (fault_name == "drain" || fault_name == "leave" || fault_name == "unlisted") {
    if (fault_name == "drain" ? endpoint.draining : endpoint.leaving) {
      Restart(endpoint);
    }
    return;
  }
  if (fault_name == "named") {
    SetMode(endpoint, "");
    return;
  }
  if (fault_name == "kill") {
    if (endpoint.terminating) {
      endpoint.process->Wait();
      StartEndpoint(endpoint);
    }
  } else if (fault_name == "pause") {
    endpoint.process->Signal(SIGCONT);
    ReportFault(Ledger::HeldScope(endpoint.name), false);
  } else {
    SetMode(endpoint, "");
  }
  ReportFault(endpoint.name, false);
}

void SoakFleet::SetStoreFault(const std::string& fault_name, bool begins) {
  if (fault_name == "history") {
    m_store.DropHistory();
  } else if (fault_name == "cut") {
    m_store.CutWatchesShort();
  } else if (fault_name == "slow") {
    m_store.SetDelay(begins ? kSlowStore : 0ms);
  } else {
    m_store_faults += begins ? 1 : -1;
    if (!begins && fault_name == "restored") {
      RestoreStore();
    }
    if (begins) {
      m_store.SetFault(fault_name == "silent" ? -1 : kUnavailable);
    } else if (m_store_faults == 0) {
      m_store.SetFault(0);
    }
  }
  ReportFault(Ledger::kStore, begins);
}

void SoakFleet::TakeStoreCopy() {
  const SteadyTime now = m_clock.Now();
  if (m_copies.empty() || now - m_copies.back().first >= kCopyInterval) {
    m_copies.emplace_back(now, m_store.TakeCopy());
  }
  while (now - m_copies.front().first > kMaxCopyAge) {
    m_copies.pop_front();
  }
}

void SoakFleet::RestoreStore() {
  m_store.Restore(m_copies.front().second);
  m_store.Put(kConfigurationKey, EncodeConfiguration(m_configuration));
  const std::string zone_key = kEvacuationPrefix + ZoneOf(m_options.seed);
  m_evacuations > 0 ? m_store.Put(zone_key, "{}") : m_store.Delete(zone_key);
  for (const auto& endpoint : m_endpoints) {
    const auto delay = std::chrono::milliseconds(
        m_random.NextBelow(static_cast<std::uint64_t>(kRewriteTime.count())));
    RunAfter(endpoint->terminating ? kRegistrationExpiry : delay, [this, &entry = *endpoint] {
      entry.terminating ? m_store.Delete(kEndpointPrefix + entry.name) : PutEndpoint(entry);
    });
  }
}

void SoakFleet::SetLinkFault(LinkProxy& link, const std::string& scope,
                             const std::string& fault_name, bool begins) {
  link.SetFault(begins ? LinkFaultOf(fault_name) : LinkFault::kNone);
  ReportFault(scope, begins);
}

void SoakFleet::Apply(const Fault& fault, bool begins) {
  const auto [scope, fault_name] = SplitKind(fault.kind);
  const std::size_t target = fault.target;
  if (scope == "router") {
    begins ? BeginRouterFault(fault_name, target) : EndRouterFault(fault_name, target);
  } else if (scope == "endpoint" || scope == "service") {
    const std::size_t count = scope == "service" ? m_options.endpoints : 1;
    for (std::size_t i = target * count; i < (target + 1) * count; ++i) {
      begins ? BeginEndpointFault(fault_name, *m_endpoints[i])
             : EndEndpointFault(fault_name, *m_endpoints[i]);
    }
  } else if (scope == "zone") {
    SetEvacuated(begins);
  } else if (scope == "endpointlink") {
    ReportFault(Ledger::HeldScope(m_endpoints[target]->name), begins);
    SetLinkFault(*m_endpoints[target]->link, m_endpoints[target]->name, fault_name, begins);
  } else if (scope == "storelink") {
    SetLinkFault(*m_routers[target].store_link, Ledger::RouterScope(target), fault_name, begins);
  } else {
    SetStoreFault(fault_name, begins);
  }
}

void SoakFleet::Tick() {
  ReadEndpointLog();
  PutOddEntry();
  TakeStoreCopy();
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    // Until it runs its program, a new process has the memory of the soak.
    if (m_clock.Now() - m_routers[i].started > kProgramStartTime) {
      m_ledger.OnMemory(Ledger::RouterScope(i),
                        testing::ReadProcessUsage(m_routers[i].process->Id()).resident_bytes);
    }
    if (!m_routers[i].terminating && m_routers[i].process->HasEnded()) {
      m_ledger.OnUnexpectedExit(Ledger::RouterScope(i), m_routers[i].process->Wait());
      StartRouter(i);
    }
  }
}

void SoakFleet::ReadEndpointLog() {
  std::ifstream file(m_options.folder + "/endpoints.log");
  file.seekg(m_log_position);
  std::string line;
  while (std::getline(file, line) && !file.eof()) {
    m_ledger.AddEndpointLine(line);
    m_log_position += static_cast<std::streamoff>(line.size()) + 1;
  }
}

}  // namespace wagtailwind::soak
