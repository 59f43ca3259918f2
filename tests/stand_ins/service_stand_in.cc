#include "stand_ins/service_stand_in.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "core/hash.h"

namespace wagtailwind::stand_ins {

namespace {

using nlohmann::json;

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

http::HandlerResult JsonAnswer(int status, const json& document) {
  return {http::JsonResponse(status, document.dump()), nullptr, false};
}

bool IsOnceOnly(const http::Request& request) {
  return request.method == "POST" &&
         (request.path == "/pickups" || request.path == "/bookings" || request.path == "/deposits");
}

json HeadersOf(const http::Request& request) {
  json headers = json::object();
  for (const http::Header& header : request.headers) {
    headers[header.name] = header.value;
  }
  return headers;
}

// Decrements the number of pending faults. Returns false if none is pending.
bool ConsumeFault(int& count) {
  if (count <= 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace

http::HandlerResult ServiceStandIn::Handle(const http::Request& request) {
  try {
    if (request.path == "/control") {
      return Control(request);
    }
    if (request.path == "/history") {
      return History();
    }
    if (IsOnceOnly(request)) {
      return HandleCall(request, false);
    }
    if (request.method == "GET" && request.path.starts_with("/status/")) {
      return HandleCall(request, true);
    }
    return JsonAnswer(404, {{"error", "unknown path"}});
  } catch (const json::exception& error) {
    return JsonAnswer(400, {{"error", error.what()}});
  }
}

ServiceStandIn::CallFaults ServiceStandIn::ConsumeFaults(bool repeatable) {
  const auto not_frozen = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return !m_faults.freeze; };
  const absl::MutexLock lock(&m_mutex, absl::Condition(&not_frozen));
  CallFaults faults;
  if (ConsumeFault(m_faults.fail_next)) {
    faults.status = m_faults.fail_status;
  }
  if (ConsumeFault(m_faults.delay_next)) {
    faults.delay_before = m_faults.delay_before;
    faults.delay_after = m_faults.delay_after;
  }
  // Cuts only calls that must not be repeated, because only for these does the unknown outcome
  // matter.
  faults.cut = !repeatable && ConsumeFault(m_faults.cut_next);
  return faults;
}

ServiceStandIn::Execution ServiceStandIn::Execute(const http::Request& request, bool repeatable) {
  Execution execution;
  execution.method = request.method;
  execution.path = request.path;
  execution.key = http::FindHeader(request.headers, "Wagtailwind-Request-Key");
  execution.body_hash = absl::StrCat(absl::Hex(StableHash(request.body), absl::kZeroPad16));
  execution.repeatable = repeatable;
  execution.start_ms = NowMs();
  const absl::MutexLock lock(&m_mutex);
  execution.number = m_history.size() + 1;
  execution.end_ms = NowMs();
  m_history_file.Append(HistoryLine(execution));
  m_history.push_back(execution);
  return execution;
}

http::HandlerResult ServiceStandIn::HandleCall(const http::Request& request, bool repeatable) {
  const CallFaults faults = ConsumeFaults(repeatable);
  std::this_thread::sleep_for(faults.delay_before);
  if (faults.status != 0) {
    return JsonAnswer(faults.status, {{"error", "failure set by control"}});
  }
  const Execution execution = Execute(request, repeatable);
  std::this_thread::sleep_for(faults.delay_after);
  if (faults.cut) {
    return {{}, nullptr, true};
  }
  return JsonAnswer(200, {{"service", m_name},
                          {"confirmation", absl::StrCat(m_name, "-", execution.number)},
                          {"path", execution.path},
                          {"query", request.query},
                          {"headers", HeadersOf(request)},
                          {"key", execution.key},
                          {"body_hash", execution.body_hash}});
}

http::HandlerResult ServiceStandIn::Control(const http::Request& request) {
  const json control = json::parse(request.body);
  const absl::MutexLock lock(&m_mutex);
  m_faults.fail_next = control.value("fail_next", m_faults.fail_next);
  m_faults.fail_status = control.value("fail_status", m_faults.fail_status);
  m_faults.cut_next = control.value("cut_next", m_faults.cut_next);
  m_faults.delay_next = control.value("delay_next", m_faults.delay_next);
  m_faults.delay_before = std::chrono::milliseconds(
      control.value("delay_before_ms", std::int64_t{m_faults.delay_before.count()}));
  m_faults.delay_after = std::chrono::milliseconds(
      control.value("delay_after_ms", std::int64_t{m_faults.delay_after.count()}));
  m_faults.freeze = control.value("freeze", m_faults.freeze);
  return JsonAnswer(200, {{"ok", true}});
}

std::string ServiceStandIn::HistoryLine(const Execution& execution) const {
  const json line = {{"service", m_name},
                     {"number", execution.number},
                     {"method", execution.method},
                     {"path", execution.path},
                     {"key", execution.key},
                     {"body_hash", execution.body_hash},
                     {"repeatable", execution.repeatable},
                     {"start_ms", execution.start_ms},
                     {"end_ms", execution.end_ms}};
  return line.dump() + "\n";
}

http::HandlerResult ServiceStandIn::History() {
  std::string lines;
  const absl::MutexLock lock(&m_mutex);
  for (const Execution& execution : m_history) {
    lines += HistoryLine(execution);
  }
  return {{200, {{"Content-Type", "application/jsonl"}}, lines}, nullptr, false};
}

}  // namespace wagtailwind::stand_ins
