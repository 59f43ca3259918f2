#include "support/forwarder_fixture.h"

#include <sstream>
#include <utility>

#include "http/message.h"

namespace wagtailwind::testing {

namespace {

using namespace std::chrono_literals;

std::string ItemLine(const platform::KeyValueItem& item) {
  return item.key + "\t" + std::to_string(item.revision) + "\t" + (item.deleted ? "1" : "0") +
         "\t" + item.value + "\n";
}

platform::WatchPage DecodePage(std::string_view body) {
  std::istringstream lines{std::string(body)};
  platform::WatchPage page;
  std::string line;
  if (!std::getline(lines, line)) {
    throw platform::MalformedKeyValueAnswer("empty");
  }
  page.revision = std::stoull(line);
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    std::string revision;
    std::string deleted;
    platform::KeyValueItem item;
    std::getline(fields, item.key, '\t');
    std::getline(fields, revision, '\t');
    std::getline(fields, deleted, '\t');
    std::getline(fields, item.value);
    item.revision = std::stoull(revision);
    item.deleted = deleted == "1";
    page.changes.push_back(std::move(item));
  }
  return page;
}

}  // namespace

FakeDeployment::FakeDeployment() {
  m_names.attempt_id = "Attempt";
  m_names.deadline = "Wait";
  m_names.api_key = "Secret";
  m_names.organisation = "Organisation";
  m_names.expected_endpoint = "Only";
  m_names.not_run = "Refused";
  m_names.signature = "Signed";
  m_names.load = "Load";
  m_names.request_limit = "Limit";
  m_names.leaving = "Leaving";
  m_names.priority = "Urgency";
  m_names.prompt_parts = "Parts";
  m_names.token_counts = "Tokens";
  m_names.fetch_from = "Fetch";
  m_names.model = "Model";
  m_names.reserved = {"Reserved"};
  m_names.readiness_path = "/ready";
}

std::shared_ptr<const forward::RoutingConfiguration> FakeDeployment::DecodeConfiguration(
    std::string_view value) const {
  const auto found = configurations.find(value);
  if (found == configurations.end()) {
    throw forward::MalformedConfiguration("no such configuration");
  }
  return found->second;
}

balancing::EndpointRecord FakeDeployment::DecodeEndpoint(std::string_view name,
                                                         std::string_view value) const {
  std::istringstream fields{std::string(value)};
  std::string service;
  std::string state;
  balancing::EndpointRecord record;
  record.name = EndpointName(std::string(name));
  if (!(fields >> service >> record.address >> state >> record.incarnation)) {
    throw forward::MalformedEndpointEntry("fields are missing");
  }
  std::string zone;
  std::int64_t cold_ms = 0;
  if (fields >> zone) {
    record.zone = AvailabilityZoneName(zone);
    fields >> cold_ms;
    record.cold_time = std::chrono::milliseconds(cold_ms);
  }
  record.service = ServiceName(service);
  record.draining = state == "draining";
  record.slots = 8;
  return record;
}

std::string FakeDeployment::RangeRequest(std::string_view prefix,
                                         std::string_view after_key) const {
  return "GET /range?prefix=" + std::string(prefix) + "&after=" + std::string(after_key) +
         " HTTP/1.1\r\nHost: s\r\n\r\n";
}

std::string FakeDeployment::WatchRequest(std::string_view prefix, platform::Revision after,
                                         std::chrono::milliseconds wait) const {
  return "GET /watch?prefix=" + std::string(prefix) + "&after=" + std::to_string(after) +
         "&wait=" + std::to_string(wait.count()) + " HTTP/1.1\r\nHost: s\r\n\r\n";
}

std::string FakeDeployment::LeaseRequest(std::chrono::milliseconds lifetime) const {
  return "POST /lease HTTP/1.1\r\nHost: s\r\nLifetime: " + std::to_string(lifetime.count()) +
         "\r\n\r\n";
}

std::string FakeDeployment::PutRequest(std::span<const platform::KeyValueWrite> writes,
                                       platform::LeaseId lease) const {
  std::string body;
  for (const platform::KeyValueWrite& write : writes) {
    body += write.key + " " + write.value + "\n";
  }
  return "POST /put HTTP/1.1\r\nHost: s\r\nLease: " + std::to_string(lease) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<platform::Era> FakeDeployment::DecodeEra(
    const std::vector<http::Header>& headers) const {
  const std::string_view era = http::FindHeader(headers, "Era");
  return era.empty() ? std::nullopt : std::optional<platform::Era>(std::stoull(std::string(era)));
}

platform::LeaseId FakeDeployment::DecodeLease(std::string_view body) const {
  return std::stoull(std::string(body));
}

std::vector<platform::KeyValueWrite> FakeDeployment::ParsePuts(const std::string& body) const {
  std::istringstream lines(body);
  std::vector<platform::KeyValueWrite> writes;
  platform::KeyValueWrite write;
  while (lines >> write.key && std::getline(lines >> std::ws, write.value)) {
    writes.push_back(write);
  }
  return writes;
}

std::string FakeDeployment::EncodeLease(platform::LeaseId lease) const {
  return std::to_string(lease);
}

platform::RangePage FakeDeployment::DecodeRange(std::string_view body) const {
  platform::WatchPage page = DecodePage(body);
  const bool has_more = body.substr(0, body.find('\n')).ends_with(" more");
  return {.items = std::move(page.changes), .has_more = has_more, .revision = page.revision};
}

platform::WatchPage FakeDeployment::DecodeWatch(std::string_view body) const {
  return DecodePage(body);
}

StoreCall FakeDeployment::ParseCall(const std::string& target) const {
  return ParseStoreCall(target, {.watch_path = "/watch",
                                 .lease_path = "/lease",
                                 .put_path = "/put",
                                 .prefix = "prefix",
                                 .after = "after",
                                 .wait = "wait"});
}

std::string FakeDeployment::EncodePage(StoreCall::Kind /*kind*/,
                                       const std::vector<platform::KeyValueItem>& items,
                                       platform::Revision revision, bool has_more) const {
  std::string body = std::to_string(revision) + (has_more ? " more\n" : "\n");
  for (const platform::KeyValueItem& item : items) {
    body += ItemLine(item);
  }
  return body;
}

/// \brief Connection of a caller that sends one request.
class ForwarderFixture::Caller final : public http1::ResponseObserver {
 public:
  Caller(net::EventLoop& loop, const std::string& address, std::string request, bool is_head)
      : m_connection(loop, address, 1s) {
    m_connection.Send(std::move(request), is_head, *this);
  }

  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override {
    answer->status = head.status;
    answer->headers = head.headers;
    return true;
  }
  void OnResponseBody(std::string_view part) override { answer->body.append(part); }
  void OnResponseEnd(bool) override { answer->complete = true; }
  void OnConnectionEnd(http1::ConnectionEnd, std::string_view) override { answer->broken = true; }

  std::shared_ptr<CallerAnswer> answer = std::make_shared<CallerAnswer>();

 private:
  http1::ClientConnection m_connection;
};

ForwarderFixture::ForwarderFixture() : store(loop, deployment) {}

ForwarderFixture::~ForwarderFixture() = default;

void ForwarderFixture::DropCallers() { m_callers.clear(); }

ScriptedServer& ForwarderFixture::AddEndpoint(const std::string& name,
                                              ScriptedServer::Handler handler) {
  ScriptedServer& server =
      *m_endpoints.emplace_back(std::make_unique<ScriptedServer>(loop, std::move(handler)));
  m_endpoint_names[name] = &server;
  store.Put("endpoint/" + name, "engine " + server.Address() + " ready 1");
  return server;
}

void ForwarderFixture::CrashEndpoint(const std::string& name) {
  const ScriptedServer* server = m_endpoint_names.at(name);
  loop.Post([this, server] {
    m_endpoints.remove_if([server](const auto& entry) { return entry.get() == server; });
  });
}

void ForwarderFixture::Configure(forward::Route route) {
  auto configuration = std::make_shared<forward::RoutingConfiguration>();
  configuration->version = ++m_version;
  configuration->has_organisations = true;
  configuration->AddKey("key-1", {.organisation = OrganisationName("first")});
  configuration->services["engine"] = service;
  configuration->AddRoute(std::move(route));
  const std::string name = "version-" + std::to_string(m_version);
  deployment.configurations[name] = std::move(configuration);
  store.Put("configuration", name);
}

void ForwarderFixture::Start() {
  settings.instance = InstanceName("router-" + std::to_string(++m_routers));
  settings.zone = AvailabilityZoneName("zone-1");
  settings.listen_callers = "127.0.0.1:0";
  settings.listen_admin = "127.0.0.1:0";
  settings.key_value = store.Address();
  forwarder = std::make_unique<forward::Forwarder>(loop, clock, random, metrics, settings,
                                                   deployment, [this] { stopped = true; });
  RunUntil([this] { return forwarder->IsReady(); });
}

std::shared_ptr<CallerAnswer> ForwarderFixture::Send(std::string_view headers,
                                                     std::string_view body,
                                                     std::string_view method) {
  return m_callers
      .emplace_back(std::make_unique<Caller>(loop, forwarder->CallerAddress(),
                                             RequestText(headers, body, method), method == "HEAD"))
      ->answer;
}

std::shared_ptr<CallerAnswer> ForwarderFixture::Call(std::string_view headers,
                                                     std::string_view body,
                                                     std::string_view method) {
  auto answer = Send(headers, body, method);
  RunUntil([&answer] { return answer->complete || answer->broken; });
  return answer;
}

bool ForwarderFixture::RunUntil(const std::function<bool()>& condition) {
  constexpr auto kTimeout = 5s;
  const SteadyTime end = clock.Now() + kTimeout;
  while (!condition() && clock.Now() < end) {
    loop.RunFor(2ms);
  }
  return condition();
}

std::string RequestText(std::string_view headers, std::string_view body, std::string_view method) {
  std::string request(method);
  request.append(" /r/x?q=1 HTTP/1.1\r\nHost: h.example\r\n");
  if (headers.find("Attempt:") == std::string_view::npos) {
    request.append("Attempt: a1\r\n");
  }
  if (headers.find("Secret:") == std::string_view::npos) {
    request.append("Secret: key-1\r\n");
  }
  request.append(headers);
  if (!body.empty()) {
    request.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  request.append("\r\n").append(body);
  return request;
}

SingleEndpoint::SingleEndpoint(forward::Route route, ScriptedServer::Handler handler)
    : endpoint(AddEndpoint("e1", std::move(handler))) {
  Configure(std::move(route));
  Start();
}

TwoEndpoints::TwoEndpoints(forward::Route route, const ScriptedServer::Handler& first,
                           const ScriptedServer::Handler& later) {
  const auto handler = [this, first, later](ScriptedServer::Connection& connection) {
    ++arrivals;
    arrivals == 1 ? first(connection) : later(connection);
  };
  AddEndpoint("e1", handler);
  AddEndpoint("e2", handler);
  Configure(std::move(route));
  Start();
}

void AnswerOk(ScriptedServer::Connection& connection) {
  connection.Write(HttpText(200, SignedHeaders(connection), "answer"));
}

std::string StreamHead(const ScriptedServer::Connection& connection) {
  return "HTTP/1.1 200 OK\r\n" + SignedHeaders(connection) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Event(int id) {
  return Chunk("id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n");
}

std::string SignedHeaders(const ScriptedServer::Connection& connection) {
  return "Signed: yes\r\nAttempt: " +
         std::string(http::FindHeader(connection.head.headers, "Attempt")) + "\r\n";
}

forward::Route TestRoute(forward::RequestKind kind, std::uint32_t attempts) {
  forward::Route route;
  route.name = "route";
  route.host = "h.example";
  route.prefix = "/r/";
  route.kind = kind;
  route.timeout = 2'000ms;
  route.objective = 100ms;
  route.max_pause = 300ms;
  route.max_attempts = attempts;
  route.services = {{.service = ServiceName("engine")}};
  return route;
}

}  // namespace wagtailwind::testing
