#include "support/lab.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kBacklog = 256;

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

int PollTimeout(Time deadline) {
  const auto left = std::chrono::ceil<Milliseconds>(deadline - Steady::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

/// Returns a listening socket on a free loopback port.
std::pair<int, std::uint16_t> Listen() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (listener < 0 || bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, kBacklog) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::cerr << "no loopback port can be listened on\n";
    Finish(kNotRun);
  }
  return {listener, ntohs(address.sin_port)};
}

std::uint16_t FreePort() {
  const auto [listener, port] = Listen();
  close(listener);
  return port;
}

std::string Decode64(std::string_view text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : text) {
    static constexpr std::string_view kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const std::size_t digit = kDigits.find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xffU));
    }
  }
  return bytes;
}

std::string Encode64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::size_t size = std::min<std::size_t>(3, bytes.size() - at);
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      bits = (bits << 8U) | (i < size ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text.push_back(i <= size ? kDigits[(bits >> (18U - 6U * i)) & 63U] : '=');
    }
  }
  return text;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16)));
      at += 2;
    } else {
      decoded.push_back(text[at]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view field = rest.substr(0, end);
    const std::size_t equals = std::min(field.find('='), field.size());
    query[std::string(field.substr(0, equals))] =
        DecodePercent(field.substr(std::min(equals + 1, field.size())));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return query;
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Record::Record(const std::string& path) : m_file(path) {}

Milliseconds Record::Age() const {
  return std::chrono::duration_cast<Milliseconds>(Steady::now() - m_start);
}

void Record::Write(std::string_view line) {
  const std::lock_guard lock(m_mutex);
  m_file << Age().count() << " ms  " << line << std::endl;
}

std::string_view Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return {};
}

int Message::Status() const {
  const std::size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

std::string Message::Method() const { return start_line.substr(0, start_line.find(' ')); }

std::string Message::Target() const {
  const std::size_t begin = std::min(start_line.find(' ') + 1, start_line.size());
  return start_line.substr(begin, start_line.rfind(' ') - begin);
}

Connection::Connection(Connection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)),
      m_buffer(std::move(other.m_buffer)),
      m_end(other.m_end),
      m_had_bytes(other.m_had_bytes) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  if (this != &other) {
    Close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    m_buffer = std::move(other.m_buffer);
    m_end = other.m_end;
    m_had_bytes = other.m_had_bytes;
  }
  return *this;
}

Connection Connection::Open(std::uint16_t port) {
  Connection connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(connection.m_descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    connection.Close();
    return connection;
  }
  const int on = 1;
  setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Send(std::string_view bytes, Time deadline) {
  while (!bytes.empty() && IsOpen()) {
    const ssize_t sent =
        send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      m_end = End::kReset;
      return false;
    }
    pollfd entry{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&entry, 1, PollTimeout(deadline)) == 0) {
      m_end = End::kTimedOut;
      return false;
    }
  }
  return IsOpen();
}

bool Connection::Fill(Time deadline) {
  if (!IsOpen()) {
    return false;
  }
  pollfd entry{.fd = m_descriptor, .events = POLLIN, .revents = 0};
  if (poll(&entry, 1, PollTimeout(deadline)) <= 0) {
    m_end = End::kTimedOut;
    return false;
  }
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    m_end = count == 0 ? End::kClosed : End::kReset;
    return false;
  }
  m_had_bytes = true;
  m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Connection::ReadUntil(std::string_view delimiter, Time deadline) {
  std::size_t at = m_buffer.find(delimiter);
  while (at == std::string::npos) {
    if (!Fill(deadline)) {
      return std::nullopt;
    }
    at = m_buffer.find(delimiter);
  }
  std::string text = m_buffer.substr(0, at);
  m_buffer.erase(0, at + delimiter.size());
  return text;
}

std::optional<std::string> Connection::ReadBytes(std::size_t count, Time deadline) {
  while (m_buffer.size() < count) {
    if (!Fill(deadline)) {
      return std::nullopt;
    }
  }
  std::string bytes = m_buffer.substr(0, count);
  m_buffer.erase(0, count);
  return bytes;
}

std::optional<Message> Connection::ReadHead(Time deadline) {
  const std::optional<std::string> text = ReadUntil("\r\n\r\n", deadline);
  if (!text) {
    return std::nullopt;
  }
  Message message;
  std::istringstream lines(*text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
  }
  return message;
}

bool Connection::ReadBody(Message& message, Time deadline) {
  if (const std::string_view length = message.Header("Content-Length"); !length.empty()) {
    auto body = ReadBytes(std::stoul(std::string(length)), deadline);
    message.body = body.value_or("");
    return body.has_value();
  }
  if (message.Header("Transfer-Encoding") != "chunked") {
    return true;
  }
  while (true) {
    const std::optional<std::string> size_text = ReadUntil("\r\n", deadline);
    if (!size_text) {
      return false;
    }
    char* end = nullptr;
    const std::size_t size = std::strtoul(size_text->c_str(), &end, 16);
    if (end == size_text->c_str()) {
      m_end = End::kMalformed;
      return false;
    }
    const std::optional<std::string> part = ReadBytes(size + 2, deadline);
    if (!part) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    message.body.append(*part, 0, size);
  }
}

bool Connection::HasPeerLeft(Time deadline) {
  while (IsOpen()) {
    pollfd entry{.fd = m_descriptor, .events = POLLIN | POLLRDHUP, .revents = 0};
    if (poll(&entry, 1, PollTimeout(deadline)) <= 0) {
      return false;
    }
    if ((entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      return true;
    }
    if (!Fill(deadline)) {
      return m_end != End::kTimedOut;
    }
  }
  return true;
}

void Connection::Close() noexcept {
  if (IsOpen()) {
    close(std::exchange(m_descriptor, -1));
  }
}

void Connection::Reset() noexcept {
  if (IsOpen()) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }
}

std::string_view ToText(Connection::End end) {
  switch (end) {
    case Connection::End::kNone:
      return "none";
    case Connection::End::kClosed:
      return "closed";
    case Connection::End::kReset:
      return "reset";
    case Connection::End::kTimedOut:
      return "timed out";
    case Connection::End::kMalformed:
      return "malformed";
  }
  return "unknown";
}

Server::Server(Handler handler) {
  const auto [listener, port] = Listen();
  m_port = port;
  std::thread([listener = listener, handler = std::move(handler)] {
    while (true) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([handler, accepted] { handler(Connection(accepted)); }).detach();
    }
  }).detach();
}

Store::Store() : m_server([this](Connection connection) { Serve(std::move(connection)); }) {}

void Store::Write(Item item) {
  item.revision = ++m_revision;
  const auto known = m_items.find(item.key);
  item.created = known == m_items.end() ? item.revision : known->second.created;
  if (item.deleted) {
    m_items.erase(item.key);
  } else {
    m_items[item.key] = item;
  }
  m_history.push_back(std::move(item));
  m_changed.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Write({.key = key, .value = value});
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  if (m_items.contains(key)) {
    Write({.key = key, .value = {}, .deleted = true});
  }
}

void Store::Serve(Connection connection) {
  while (true) {
    std::optional<Message> request = connection.ReadHead(Steady::now() + 60s);
    if (!request || !connection.ReadBody(*request, Steady::now() + 10s)) {
      return;
    }
    const auto [status, body] = Answer(*request);
    connection.Send("HTTP/1.1 " + std::to_string(status) +
                        " Store\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    Steady::now() + 10s);
  }
}

std::pair<int, std::string> Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  if (path == "/api/kv-range") {
    return Range(query);
  }
  if (path == "/api/kv-watch") {
    return Watch(query);
  }
  if (path == "/api/kv-txn") {
    return Transact(request.body);
  }
  if (path == "/api/kv-lease") {
    const std::lock_guard lock(m_mutex);
    const json asked = json::parse(request.body);
    return {200, json{{"Lease", ++m_last_lease}, {"TtlMs", asked["TtlMs"]}}.dump()};
  }
  return {404, "{}"};
}

std::pair<int, std::string> Store::Range(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(m_mutex);
  const auto field = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  const std::string prefix = field("Prefix");
  const std::string after = field("SinceRev");
  json items = json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back({{"Key", key},
                       {"Value", Encode64(item.value)},
                       {"Rev", item.revision},
                       {"Created", item.created},
                       {"Lease", item.lease}});
    }
  }
  return {200, json{{"Items", items}, {"HasMore", false}, {"StoreRevision", m_revision}}.dump()};
}

std::pair<int, std::string> Store::Watch(const std::map<std::string, std::string>& query) {
  const std::string prefix = query.at("Prefix");
  const std::uint64_t since = std::stoull(query.at("SinceRev"));
  const Time end = Steady::now() + Milliseconds(std::stoi(query.at("WaitMs")));
  std::unique_lock lock(m_mutex);
  while (true) {
    json events = json::array();
    for (const Item& item : m_history) {
      if (item.revision <= since || !item.key.starts_with(prefix)) {
        continue;
      }
      json event = {{"Key", item.key}, {"Rev", item.revision}};
      if (item.deleted) {
        event["Deleted"] = true;
      } else {
        event["Value"] = Encode64(item.value);
        event["Created"] = item.created;
        event["Lease"] = item.lease;
      }
      events.push_back(std::move(event));
    }
    if (!events.empty() || Steady::now() >= end) {
      return {200, json{{"events", events}, {"StoreRevision", m_revision}}.dump()};
    }
    m_changed.wait_until(lock, end);
  }
}

std::pair<int, std::string> Store::Transact(std::string_view body) {
  const std::lock_guard lock(m_mutex);
  for (const json& put : json::parse(body)["Puts"]) {
    Write({.key = put["Key"],
           .value = Decode64(put["Value"].get<std::string>()),
           .lease = put["Lease"]});
  }
  return {200, json{{"Rev", m_revision}}.dump()};
}

std::string EncodeConfiguration(std::uint64_t version, const std::string& host,
                                const std::vector<Route>& routes, const std::string& tenant,
                                const std::string& key) {
  json document = {{"Version", version},
                   {"Routes", json::array()},
                   {"Services", json::array()},
                   {"Limits",
                    {{"MaxHeaderBytes", 16384},
                     {"MaxBodyBytes", 4194304},
                     {"HeaderTimeoutMs", 3000},
                     {"IdleTimeoutMs", 15000}}},
                   {"Tenants", json::array({{{"Name", tenant}, {"ApiKeys", json::array({key})}}})}};
  std::map<std::string, bool> services;
  for (const Route& route : routes) {
    services[route.service] = services[route.service] || route.has_prompt;
    document["Routes"].push_back({{"Name", route.name},
                                  {"Host", host},
                                  {"Prefix", route.prefix},
                                  {"Kind", route.kind},
                                  {"TimeoutMs", route.timeout_ms},
                                  {"SloMs", route.objective_ms},
                                  {"Prio", 1},
                                  {"Service", route.service},
                                  {"Attempts", route.attempts},
                                  {"Public", false},
                                  {"Sticky", route.has_prompt},
                                  {"Resumable", route.resumable},
                                  {"ItlTargetMs", 300}});
  }
  for (const auto& [name, has_engine] : services) {
    json service = {{"Name", name},
                    {"HealthPath", "/healthz"},
                    {"MaxConns", 200},
                    {"Proto", "h1"},
                    {"Tls", false}};
    if (has_engine) {
      service["MaxConns"] = 460;
      service["Engine"] = {{"Slots", 32}, {"KvCapacity", 800525}};
    }
    document["Services"].push_back(std::move(service));
  }
  return document.dump();
}

std::string EncodeReplica(const std::string& service, const std::string& address,
                          const std::string& zone, int slots, std::int64_t born) {
  return json{{"Service", service}, {"Addr", address}, {"Zone", zone},
              {"Version", "v1"},    {"Slots", slots},  {"State", "ready"},
              {"ColdLeftMs", 0},    {"Seq", 1},        {"born", born}}
      .dump();
}

Forwarder::Forwarder(std::string program, const std::string& settings_template,
                     const std::string& folder, const std::string& name, const std::string& zone,
                     const std::string& store)
    : m_program(std::move(program)),
      m_name(name),
      m_settings(folder + "/" + name + ".yaml"),
      m_log(folder + "/" + name + ".log"),
      m_front(FreePort()),
      m_ready(FreePort()),
      m_metrics(FreePort()) {
  const std::string loopback = "127.0.0.1";
  const std::map<std::string, std::string> fields = {
      {"Node", name},
      {"Zone", zone},
      {"Ip", loopback},
      {"PortRange.0", std::to_string(m_metrics)},
      {"Listen.Front", loopback + ":" + std::to_string(m_front)},
      {"Listen.Ready", loopback + ":" + std::to_string(m_ready)},
      {"Infra.Addr", store},
      {"Limits.RamMb", "182"},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.ConfigMs", "2000"},
      {"Bounds.DrainMs", "2000"},
      {"Bounds.GraceS", "8"},
      {"Bounds.RetryRatio", "0.2"},
      {"Bounds.RetrySlack", "108"},
  };
  std::string text = ReadFile(settings_template);
  for (const auto& [field, value] : fields) {
    const std::string placeholder = "{{" + field + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  std::ofstream(m_settings) << text;
}

Forwarder::~Forwarder() {
  if (m_process > 0 && !PollEnd()) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
  }
}

void Forwarder::Start() {
  const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const std::array<const char*, 4> arguments = {m_program.c_str(), "--config", m_settings.c_str(),
                                                nullptr};
  m_process = fork();
  if (m_process == 0) {
    // The process must not outlive the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(m_program.c_str(), const_cast<char* const*>(arguments.data()));
    _exit(127);
  }
  close(log);
}

bool Forwarder::WaitUntilReady(Milliseconds limit) const {
  const Time end = Steady::now() + limit;
  do {
    Connection connection = Connection::Open(m_ready);
    if (connection.IsOpen() &&
        connection.Send("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", Steady::now() + 1s)) {
      const std::optional<Message> answer = connection.ReadHead(Steady::now() + 1s);
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(20ms, limit));
  } while (Steady::now() < end);
  return false;
}

void Forwarder::Signal(int signal) const { kill(m_process, signal); }

std::optional<int> Forwarder::PollEnd() {
  int status = 0;
  if (m_process > 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
    m_process = -1;
    return status;
  }
  return m_process > 0 ? std::nullopt : std::optional(status);
}

std::string Environment(const char* name, const std::string& fallback) {
  const char* const value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

void Finish(ExitCode code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(code);
}

}  // namespace review
