#include "store.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr double kHeartbeatMs = 1200;
constexpr double kEntryLifetimeMs = 3 * kHeartbeatMs;
constexpr double kCallTimeoutMs = 3'600'000;

/// Whether two entries of a replica differ in more than the number of their heartbeat.
bool DiffersInMoreThanSeq(const std::string& left, const std::string& right) {
  json a = json::parse(left, nullptr, false);
  json b = json::parse(right, nullptr, false);
  if (!a.is_object() || !b.is_object()) {
    return left != right;
  }
  a.erase("Seq");
  b.erase("Seq");
  return a != b;
}

std::string JsonResponse(int status, const json& document) {
  return MakeResponse(status, {{"Content-Type", "application/json"}}, document.dump());
}

}  // namespace

Store::Store() {
  m_listener = Listen(m_port);
  std::thread([this] { Accept(); }).detach();
  std::thread([this] { Expire(); }).detach();
}

Store::~Store() = default;

void Store::Accept() {
  while (true) {
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
      std::thread([this, descriptor] { Serve(descriptor); }).detach();
    }
  }
}

void Store::Expire() {
  while (true) {
    SleepMs(100);
    const std::lock_guard lock(m_mutex);
    if (m_mode != Mode::kUp) {
      for (auto& [key, item] : m_items) {
        item.last_beat = std::max(item.last_beat, NowMs());
      }
      continue;
    }
    std::vector<std::string> gone;
    for (const auto& [key, item] : m_items) {
      if (key.starts_with("servers/") && NowMs() - item.last_beat > kEntryLifetimeMs) {
        gone.push_back(key);
      } else if (item.lease != 0 && m_leases[item.lease] < NowMs()) {
        gone.push_back(key);
      }
    }
    for (const std::string& key : gone) {
      RemoveLocked(key);
    }
  }
}

void Store::SetMode(Mode mode) {
  const std::lock_guard lock(m_mutex);
  m_mode = mode;
  m_changed.notify_all();
}

void Store::PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
  const auto found = m_items.find(key);
  const bool is_beat = key.starts_with("servers/") && found != m_items.end() &&
                       !DiffersInMoreThanSeq(found->second.value, value);
  Item& item = m_items[key];
  item.last_beat = NowMs();
  if (is_beat) {
    return;
  }
  item.value = value;
  item.revision = ++m_revision;
  item.created = found == m_items.end() ? m_revision : item.created;
  item.lease = lease;
  m_history.push_back({.key = key, .value = value, .revision = m_revision});
  m_changed.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_history.push_back({.key = key, .value = {}, .revision = ++m_revision, .deleted = true});
    m_changed.notify_all();
  }
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  RemoveLocked(key);
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_items.find(key);
  return found == m_items.end() ? std::string() : found->second.value;
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void Store::Serve(int descriptor) {
  Connection connection(descriptor);
  Message call;
  while (connection.ReadHead(call, NowMs() + kCallTimeoutMs) == ReadResult::kData &&
         connection.ReadBody(call, NowMs() + kCallTimeoutMs) == ReadResult::kData) {
    const std::string answer = Answer(call, connection);
    if (answer.empty()) {
      if (m_mode == Mode::kSilent) {
        // A connection on which a response was lost returns nothing further.
        while (!connection.IsGone()) {
          SleepMs(50);
        }
        return;
      }
      connection.Reset();
      return;
    }
    if (!connection.Write(answer)) {
      return;
    }
  }
}

std::string Store::Answer(const Message& call, Connection& connection) {
  if (m_mode == Mode::kBusy) {
    return JsonResponse(503, json::object());
  }
  if (m_mode != Mode::kUp) {
    return {};
  }
  // The usual time of an answer.
  SleepMs(4);
  const std::string target = call.Target();
  if (target.starts_with("/api/kv-watch")) {
    return Watch(target, connection);
  }
  if (target.starts_with("/api/kv-range")) {
    return Range(target);
  }
  if (target == "/api/kv-txn") {
    return Transact(call);
  }
  if (target == "/api/kv-lease") {
    const std::lock_guard lock(m_mutex);
    const double lifetime = json::parse(call.body).at("TtlMs").get<double>();
    m_leases[++m_last_lease] = NowMs() + lifetime;
    return JsonResponse(200,
                        {{"Lease", m_last_lease}, {"TtlMs", static_cast<std::uint64_t>(lifetime)}});
  }
  return JsonResponse(404, json::object());
}

std::string Store::Range(const std::string& target) {
  constexpr std::size_t kPageItems = 500;
  const std::string prefix = QueryValue(target, "Prefix");
  const std::string after = QueryValue(target, "SinceRev");
  const std::lock_guard lock(m_mutex);
  json items = json::array();
  bool has_more = false;
  for (auto item = m_items.upper_bound(after); item != m_items.end(); ++item) {
    if (!item->first.starts_with(prefix)) {
      continue;
    }
    if (items.size() == kPageItems) {
      has_more = true;
      break;
    }
    items.push_back({{"Key", item->first},
                     {"Value", Base64Encode(item->second.value)},
                     {"Rev", item->second.revision},
                     {"Created", item->second.created},
                     {"Lease", item->second.lease}});
  }
  return JsonResponse(
      200, {{"Items", std::move(items)}, {"HasMore", has_more}, {"StoreRevision", m_revision}});
}

std::string Store::Watch(const std::string& target, Connection& connection) {
  const std::string prefix = QueryValue(target, "Prefix");
  const std::uint64_t since = std::stoull(QueryValue(target, "SinceRev"));
  const double end = NowMs() + std::stod(QueryValue(target, "WaitMs"));
  std::unique_lock lock(m_mutex);
  while (true) {
    if (m_mode == Mode::kBusy) {
      return JsonResponse(503, json::object());
    }
    if (m_mode != Mode::kUp || connection.IsGone()) {
      return {};
    }
    json events = json::array();
    for (const Change& change : m_history) {
      if (change.revision <= since || !change.key.starts_with(prefix)) {
        continue;
      }
      json event = {{"Key", change.key}, {"Rev", change.revision}};
      if (change.deleted) {
        event["Deleted"] = true;
      } else {
        event["Value"] = Base64Encode(change.value);
      }
      events.push_back(std::move(event));
    }
    const double left = end - NowMs();
    if (!events.empty() || left <= 0) {
      return JsonResponse(200, {{"events", std::move(events)}, {"StoreRevision", m_revision}});
    }
    m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(std::min(left, 100.0)));
  }
}

std::string Store::Transact(const Message& call) {
  const json document = json::parse(call.body);
  const bool is_replica = !call.Find("Replica").empty();
  const std::lock_guard lock(m_mutex);
  for (const json& condition : document.value("IfRev", json::array())) {
    const auto found = m_items.find(condition.at("Key").get<std::string>());
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (revision != condition.at("Rev").get<std::uint64_t>()) {
      return JsonResponse(412, {{"Items", json::array()}});
    }
  }
  for (const json& put : document.value("Puts", json::array())) {
    const std::string key = put.at("Key").get<std::string>();
    const auto lease = put.value("Lease", std::uint64_t{0});
    if ((key.starts_with("servers/") || key.starts_with("op/")) && !is_replica) {
      return JsonResponse(403, json::object());
    }
    if (lease != 0 && m_leases[lease] < NowMs()) {
      return JsonResponse(404, json::object());
    }
  }
  for (const json& put : document.value("Puts", json::array())) {
    PutLocked(put.at("Key").get<std::string>(), Base64Decode(put.at("Value").get<std::string>()),
              put.value("Lease", std::uint64_t{0}));
  }
  for (const json& key : document.value("Remove", json::array())) {
    RemoveLocked(key.get<std::string>());
  }
  return JsonResponse(200, {{"Rev", m_revision}});
}

}  // namespace review
