#include "stand_ins/key_value_store.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/numbers.h"
#include "core/hash.h"

namespace wagtailwind::stand_ins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1'000'000;
// Limits the memory use of a long run.
constexpr std::size_t kMaxHistoryLines = 500'000;
constexpr std::string_view kValuePrefix = "/v1/values/";
constexpr std::string_view kWatchPrefix = "/v1/watch/";

std::uint64_t NumberParameter(const http::Request& request, std::string_view name) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(http::QueryParameter(request.query, name), &number) ? number : 0;
}

http::HandlerResult EmptyResponse(int status) { return {{status, {}, ""}, nullptr, false}; }

http::HandlerResult NumberHeaderResponse(int status, const char* header, std::uint64_t number,
                                         std::string body = "") {
  return {{status, {{header, std::to_string(number)}}, std::move(body)}, nullptr, false};
}

http::HandlerResult DroppedConnection() {
  http::HandlerResult result;
  result.drop_connection = true;
  return result;
}

}  // namespace

http::HandlerResult KeyValueStore::Handle(const http::Request& request) {
  if (request.path == "/control") {
    return Control(request);
  }
  if (request.path == "/stats") {
    return Stats();
  }
  Lock lock(m_mutex);
  if (request.path == "/history") {
    std::string lines;
    for (const std::string& line : m_history) {
      lines.append(line).push_back('\n');
    }
    return {{200, {}, lines}, nullptr, false};
  }
  if (const std::uint64_t delay = m_faults.slow_ms; delay > 0) {
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    lock.lock();
  }
  Call call;
  http::HandlerResult result = Execute(request, call, lock);
  call.answered = !result.drop_connection;
  call.status = result.response.status;
  Record(call);
  return result;
}

http::HandlerResult KeyValueStore::Execute(const http::Request& request, Call& call, Lock& lock) {
  EndExpiredLeases();
  call.write = request.method != "GET";
  if (request.path.starts_with(kWatchPrefix)) {
    call.kind = "watch";
    call.key = request.path.substr(kWatchPrefix.size());
  } else if (request.path.starts_with(kValuePrefix)) {
    call.kind = call.write ? "compare_and_swap" : "get";
    call.key = request.path.substr(kValuePrefix.size());
  } else if (request.path == "/v1/keep-alive") {
    call.kind = "keep_alive";
  } else if (request.path == "/v1/leases") {
    call.kind = request.method == "DELETE" ? "revoke" : "grant_lease";
  } else {
    call.kind = "unknown";
    return EmptyResponse(404);
  }
  if (m_faults.down) {
    return DroppedConnection();
  }
  if (call.write ? !TryConsumeRate(m_write_window, m_faults.writes_per_second)
                 : !TryConsumeRate(m_read_window, m_faults.reads_per_second)) {
    return EmptyResponse(429);
  }
  if (!call.write) {
    return call.kind == "watch" ? Watch(request, call, lock) : Get(call);
  }
  if (m_faults.drop_next_writes > 0) {
    --m_faults.drop_next_writes;
    return DroppedConnection();
  }
  http::HandlerResult result =
      call.kind == "compare_and_swap" ? Put(request, call) : ChangeLease(request, call);
  return ShouldDropAnswer() ? DroppedConnection() : result;
}

http::HandlerResult KeyValueStore::Get(Call& call) {
  const auto found = m_entries.find(call.key);
  if (found == m_entries.end()) {
    return EmptyResponse(404);
  }
  const Entry& entry = found->second;
  const bool stale = m_faults.stale_reads && entry.previous_revision > 0;
  call.revision = stale ? entry.previous_revision : entry.revision;
  return NumberHeaderResponse(200, "Revision", call.revision,
                              stale ? entry.previous_value : entry.value);
}

http::HandlerResult KeyValueStore::Watch(const http::Request& request, Call& call, Lock& lock) {
  call.expected = NumberParameter(request, "after");
  const auto has_newer = [&] {
    const auto found = m_entries.find(call.key);
    return found != m_entries.end() && found->second.revision > call.expected;
  };
  m_changed.wait_for(lock, std::chrono::milliseconds(NumberParameter(request, "timeout_ms")),
                     [&] { return m_faults.down || has_newer(); });
  if (m_faults.down) {
    return DroppedConnection();
  }
  if (!has_newer()) {
    return EmptyResponse(204);
  }
  const Entry& entry = m_entries[call.key];
  call.revision = entry.revision;
  return NumberHeaderResponse(200, "Revision", entry.revision, entry.value);
}

http::HandlerResult KeyValueStore::Put(const http::Request& request, Call& call) {
  call.expected = NumberParameter(request, "expected");
  call.value_hash = StableHash(request.body);
  if (request.body.size() > kMaxValueBytes) {
    return EmptyResponse(413);
  }
  const std::uint64_t lease = NumberParameter(request, "lease");
  if (lease != 0 && !m_leases.contains(lease)) {
    return EmptyResponse(410);
  }
  const auto found = m_entries.find(call.key);
  const std::uint64_t present = found == m_entries.end() ? 0 : found->second.revision;
  if (present != call.expected) {
    call.revision = present;
    return NumberHeaderResponse(409, "Revision", present);
  }
  Entry& entry = m_entries[call.key];
  entry.previous_value = std::exchange(entry.value, request.body);
  entry.previous_revision = std::exchange(entry.revision, ++m_revision);
  entry.lease = lease;
  call.applied = true;
  call.revision = entry.revision;
  m_changed.notify_all();
  return NumberHeaderResponse(200, "Revision", entry.revision);
}

http::HandlerResult KeyValueStore::ChangeLease(const http::Request& request, Call& call) {
  const Time now = std::chrono::steady_clock::now();
  if (call.kind == "grant_lease") {
    const std::chrono::milliseconds time_to_live(NumberParameter(request, "ttl_ms"));
    m_leases[++m_last_lease] = {time_to_live, now + time_to_live};
    call.applied = true;
    return NumberHeaderResponse(200, "Lease", m_last_lease);
  }
  const auto found = m_leases.find(NumberParameter(request, "lease"));
  if (found == m_leases.end()) {
    return EmptyResponse(410);
  }
  call.applied = true;
  if (call.kind == "keep_alive") {
    found->second.end = now + found->second.time_to_live;
  } else {
    EndLease(found->first);
  }
  return EmptyResponse(200);
}

bool KeyValueStore::TryConsumeRate(RateWindow& window, std::uint64_t limit) {
  const Time now = std::chrono::steady_clock::now();
  if (now - window.start >= std::chrono::seconds(1)) {
    window = {now, 0};
  }
  return limit == 0 || ++window.count <= limit;
}

bool KeyValueStore::ShouldDropAnswer() {
  ++m_writes;
  if (m_faults.lose_next_writes > 0) {
    --m_faults.lose_next_writes;
    return true;
  }
  return m_faults.lose_every_write > 0 && m_writes % m_faults.lose_every_write == 0;
}

void KeyValueStore::EndLease(std::uint64_t lease) {
  std::erase_if(m_entries, [&](const auto& item) { return item.second.lease == lease; });
  m_leases.erase(lease);
}

void KeyValueStore::EndExpiredLeases() {
  const Time now = std::chrono::steady_clock::now();
  for (auto item = m_leases.begin(); item != m_leases.end();) {
    const std::uint64_t lease = item->first;
    const bool ended = item->second.end <= now;
    ++item;
    if (ended) {
      EndLease(lease);
    }
  }
}

void KeyValueStore::Record(const Call& call) {
  ++m_counts[call.kind];
  const Json line{
      {"sequence", ++m_sequence},  {"kind", call.kind},         {"key", call.key},
      {"expected", call.expected}, {"revision", call.revision}, {"value_hash", call.value_hash},
      {"applied", call.applied},   {"answered", call.answered}, {"status", call.status}};
  m_history.push_back(line.dump());
  if (m_history.size() > kMaxHistoryLines) {
    m_history.pop_front();
  }
}

http::HandlerResult KeyValueStore::Control(const http::Request& request) {
  const Json body = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  m_faults.down = body.value("down", m_faults.down);
  m_faults.slow_ms = body.value("slow_ms", m_faults.slow_ms);
  m_faults.lose_next_writes = body.value("lose_next_writes", m_faults.lose_next_writes);
  m_faults.drop_next_writes = body.value("drop_next_writes", m_faults.drop_next_writes);
  m_faults.lose_every_write = body.value("lose_every_write", m_faults.lose_every_write);
  m_faults.stale_reads = body.value("stale_reads", m_faults.stale_reads);
  m_faults.writes_per_second = body.value("writes_per_second", m_faults.writes_per_second);
  m_faults.reads_per_second = body.value("reads_per_second", m_faults.reads_per_second);
  if (const std::uint64_t lease = body.value("expire_lease", std::uint64_t{0}); lease != 0) {
    EndLease(lease);
  }
  m_changed.notify_all();
  return {http::JsonResponse(200, "{}"), nullptr, false};
}

http::HandlerResult KeyValueStore::Stats() {
  const std::lock_guard lock(m_mutex);
  return {http::JsonResponse(200, Json(m_counts).dump()), nullptr, false};
}

}  // namespace wagtailwind::stand_ins
