#include "soak/ledger.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "soak/answer_text.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;
using forward::RequestKind;

// Time after the end of a fault during which the invariants with a time bound aren't checked.
constexpr std::chrono::milliseconds kFaultRecoveryTime = 3'000ms;

// Tolerance for scheduling delays on a busy machine. A hang is much longer.
constexpr std::chrono::milliseconds kSchedulingTolerance = 2'500ms;

// An endpoint detects a closed connection only when it sends its next event.
constexpr std::chrono::milliseconds kCancellationDelay = 1'500ms;

// Memory of the smallest instance.
constexpr double kMaxMegabytes = 112;

// Time after its key was written from which no request may reach an evacuated zone.
constexpr std::chrono::milliseconds kEvacuationTime = 5'000ms;

// Time until routers learn from the entry of a new process that it is cold: a watch and its pause.
constexpr std::chrono::milliseconds kColdNoticeTime = 1'500ms;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

// Minimum share of the requests after the last fault that must succeed. A few fail because a router
// doesn't yet know that an endpoint has recovered.
constexpr double kMinServedShare = 0.9;

[[nodiscard]] bool StatusMeansNotRun(int status) noexcept {
  constexpr int kTimeout = 408;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

std::string ServiceOf(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.find('-'));
}

}  // namespace

SoakRequest& Ledger::Begin(SoakRequest request) {
  std::string attempt = request.attempt;
  return m_requests.insert_or_assign(std::move(attempt), Entry{.request = std::move(request)})
      .first->second.request;
}

void Ledger::AddEndpointLine(std::string_view line) {
  std::istringstream fields{std::string(line)};
  std::int64_t nanoseconds = 0;
  EndpointRun run;
  std::string event;
  std::string attempt;
  fields >> nanoseconds >> run.endpoint >> event >> attempt;
  run.at = SteadyTime(std::chrono::nanoseconds(nanoseconds));
  if (event == "start") {
    m_processes[run.endpoint] = {.started = run.at, .is_cold = attempt == "cold"};
    return;
  }
  const auto found = m_requests.find(attempt);
  if (found == m_requests.end()) {
    m_reported.push_back("foreign: " + run.endpoint +
                         " received a request that no caller sent: " + std::string(line));
    return;
  }
  Entry& entry = found->second;
  std::vector<Announcement>& announcements = m_processes[run.endpoint].announcements;
  if (event == "refuse") {
    ++entry.refusals;
    int status = 0;
    std::int64_t pause_ms = 0;
    fields >> status >> pause_ms;
    if (status != kMisdirected) {
      CheckArrival(entry.request, run.endpoint, run.at);
    }
    if (pause_ms > 0) {
      announcements.push_back(
          {&entry.request, run.at, run.at + std::chrono::milliseconds(pause_ms)});
    }
  } else if (event == "leave") {
    announcements.push_back({&entry.request, run.at, SteadyTime::max()});
  } else if (event == "run") {
    CheckArrival(entry.request, run.endpoint, run.at);
    std::string key;
    fields >> run.path >> run.organisation >> key >> run.deadline;
    run.saw_key = key == "key";
    entry.runs.push_back(std::move(run));
  } else {
    const auto open =
        std::find_if(entry.runs.rbegin(), entry.runs.rend(), [&run](const EndpointRun& other) {
          return other.endpoint == run.endpoint && other.end.empty();
        });
    if (open != entry.runs.rend()) {
      open->end = event;
      open->ended = run.at;
    }
  }
}

void Ledger::CheckArrival(const SoakRequest& request, const std::string& endpoint, SteadyTime at) {
  const std::string name = request.prefix + " " + request.attempt;
  std::vector<Announcement>& announcements = m_processes[endpoint].announcements;
  // A router may have given up one answer before its head arrived, but not each of them.
  constexpr int kCertainlyRead = 2;
  int leaving = 0;
  int paused = 0;
  for (const Announcement& answer : announcements) {
    const bool counts = answer.request->router == request.router && !answer.request->disconnected &&
                        at > answer.at + kSchedulingTolerance && at < answer.until &&
                        HadNoFault(RouterScope(request.router), answer.at, at) &&
                        HadNoFault(StopScope(request.router), answer.at, at) &&
                        HadNoFault(endpoint, answer.at, at);
    if (counts) {
      ++(answer.until == SteadyTime::max() ? leaving : paused);
    }
  }
  if (leaving >= kCertainlyRead) {
    m_reported.push_back("leaving: " + endpoint +
                         " received a new request after it had announced that it leaves, " + name);
  }
  if (paused >= kCertainlyRead) {
    m_reported.push_back("pause: " + endpoint +
                         " received a new request in a time for which it wanted none, " + name);
  }
  for (const FaultPeriod& evacuation : m_evacuations[m_zones[endpoint]]) {
    if (at > evacuation.begin + kEvacuationTime && at < evacuation.end &&
        RouterHadNoFault(request.router, evacuation.begin, at) &&
        HadNoFault(endpoint, evacuation.begin, at)) {
      std::string report = "evacuated: ";
      m_reported.push_back(report.append(endpoint)
                               .append(" received a new request while its zone was evacuated, ")
                               .append(name));
    }
  }
  CheckCold(request, endpoint, at);
}

// Routers that could not learn of the process are not counted.
void Ledger::CheckCold(const SoakRequest& request, const std::string& endpoint, SteadyTime at) {
  Process& process = m_processes[endpoint];
  if (!process.is_cold || at < process.started + kColdNoticeTime ||
      at > process.started + kColdTime || !HadNoFault(HeldScope(endpoint), process.started, at) ||
      !RouterHadNoFault(request.router, process.started, at)) {
    return;
  }
  std::erase_if(process.recent, [at](SteadyTime time) { return time <= at - 1s; });
  process.recent.push_back(at);
  const double limit = kColdRate * m_bounds.cold_factor + m_bounds.cold_slack;
  if (static_cast<double>(process.recent.size()) > limit) {
    m_reported.push_back("cold: " + endpoint + " received " +
                         std::to_string(process.recent.size()) +
                         " requests within a second while it was cold");
  }
}

void Ledger::OnFaultBegin(const Scope& scope, SteadyTime at) {
  m_fault_periods[scope].push_back({at, SteadyTime::max()});
}

void Ledger::OnFaultEnd(const Scope& scope, SteadyTime at) {
  for (FaultPeriod& period : m_fault_periods[scope]) {
    if (period.end == SteadyTime::max()) {
      period.end = at;
      return;
    }
  }
}

void Ledger::OnConfiguration(const std::string& service, SteadyTime at) {
  m_configuration_changes.push_back({at, service});
}

bool Ledger::HadNoFault(const Scope& scope, SteadyTime from, SteadyTime to) const {
  const auto found = m_fault_periods.find(scope);
  return found == m_fault_periods.end() ||
         std::none_of(found->second.begin(), found->second.end(), [&](const FaultPeriod& period) {
           return period.begin <= to && period.end >= from - kFaultRecoveryTime;
         });
}

bool Ledger::RouterHadNoFault(std::size_t router, SteadyTime from, SteadyTime to) const {
  return HadNoFault(kStore, from, to) && HadNoFault(RouterScope(router), from, to) &&
         HadNoFault(StopScope(router), from, to);
}

bool Ledger::HadNoUnplannedFault(const Entry& entry) const {
  const SoakRequest& request = entry.request;
  const auto had_no_fault = [&](const Scope& scope) {
    return HadNoFault(scope, request.sent, *request.ended);
  };
  return had_no_fault(RouterScope(request.router)) &&
         std::all_of(entry.runs.begin(), entry.runs.end(),
                     [&](const EndpointRun& run) { return had_no_fault(run.endpoint); });
}

// Checks that a successful answer is complete, signed and belongs to this request, and that a
// stream has no gaps and no duplicate events.
void Ledger::CheckAnswer(const Entry& entry, Violations& found) const {
  const SoakRequest& request = entry.request;
  // Each answer is checked once: checking all of them every second would delay the proxies, which
  // run in this process.
  if (request.status != kOk || entry.answer_checked) {
    return;
  }
  const std::size_t found_before = found.size();
  const std::string name = request.prefix + " " + request.attempt;
  if (!request.is_signed) {
    found.push_back("whole: a successful answer without a signature, " + name);
  }
  std::string expected;
  if (request.kind == RequestKind::kStream) {
    for (std::size_t i = 1; i <= request.size; ++i) {
      expected += StreamEvent(request.attempt, i);
    }
  } else {
    expected = CallBody(request.attempt, request.size);
  }
  if (!expected.starts_with(request.body)) {
    found.push_back("order: the answer does not match the request, " + name);
  } else if (request.complete && request.body.size() != expected.size()) {
    found.push_back("whole: a truncated answer was reported as complete, " + name);
  }
  entry.answer_checked = request.ended && found.size() == found_before;
}

void Ledger::CheckRuns(const Entry& entry, Violations& found) const {
  const SoakRequest& request = entry.request;
  const std::string name = request.prefix + " " + request.attempt;
  if (request.kind == RequestKind::kNonIdempotent) {
    if (entry.runs.size() > 1) {
      found.push_back("once: a non-idempotent call ran " + std::to_string(entry.runs.size()) +
                      " times, " + name);
    }
    if (request.ended && StatusMeansNotRun(request.status) && !entry.runs.empty()) {
      found.push_back("not_run: status " + std::to_string(request.status) +
                      " for a call that ran, " + name);
    }
  }
  for (const EndpointRun& run : entry.runs) {
    if (run.saw_key || run.organisation != "soak" || !run.path.starts_with(request.prefix)) {
      found.push_back("foreign: an endpoint received a modified request, " + name);
    }
    const auto limit = request.timeout + kSchedulingTolerance;
    if (run.deadline.empty() || std::stoll(run.deadline) > limit.count()) {
      found.push_back("deadline: an endpoint received a deadline beyond the timeout, " + name);
    }
    const auto drained = m_draining.find(run.endpoint);
    if (drained != m_draining.end() && run.at > drained->second + m_bounds.endpoint_drain &&
        RouterHadNoFault(request.router, drained->second, run.at) &&
        HadNoFault(run.endpoint, drained->second, run.at)) {
      found.push_back("drain: " + run.endpoint + " received a new request while draining, " + name);
    }
  }
  const auto revoked = m_revoked.find(request.api_key);
  if (revoked != m_revoked.end() && request.sent > revoked->second + m_bounds.key_revocation &&
      !entry.runs.empty()) {
    found.push_back("keys: a request with a revoked key ran, " + name);
  }
}

void Ledger::CheckConfiguration(const Entry& entry, Violations& found) const {
  const SoakRequest& request = entry.request;
  if (request.prefix != "/move/") {
    return;
  }
  for (const EndpointRun& run : entry.runs) {
    // A request may be routed by the newest configuration older than the propagation bound, or by
    // any later one.
    std::optional<std::string> newest;
    bool allowed = false;
    for (const ConfigurationChange& change : m_configuration_changes) {
      if (change.at + m_bounds.configuration < request.sent) {
        newest = change.service;
        allowed = false;
      } else if (change.at <= run.at) {
        allowed = allowed || change.service == ServiceOf(run.endpoint);
      }
    }
    allowed = allowed || !newest || *newest == ServiceOf(run.endpoint);
    if (!allowed &&
        RouterHadNoFault(request.router, request.sent - m_bounds.configuration, run.at)) {
      found.push_back("configuration: an outdated route was used, /move/ " + request.attempt);
    }
  }
}

// Checks that each request ends in time, and that none is interrupted without a fault. Faults of
// routers and endpoints that the request didn't use, and of the key-value service, are no excuse.
void Ledger::CheckEnd(const Entry& entry, SteadyTime now, Violations& found) const {
  const SoakRequest& request = entry.request;
  if (request.disconnected) {
    return;
  }
  const std::string name = request.prefix + " " + request.attempt;
  const SteadyTime end = request.ended.value_or(now);
  if (end > request.sent + request.timeout + kSchedulingTolerance &&
      HadNoFault(RouterScope(request.router), request.sent, end) &&
      HadNoFault(StopScope(request.router), request.sent, end)) {
    found.push_back("timeout: no answer within the timeout of the route, " + name);
  }
  if (request.ended && !request.complete && !entry.runs.empty() && HadNoUnplannedFault(entry)) {
    found.push_back("cut: a request was interrupted without a fault, " + name);
  }
}

void Ledger::CheckAbandoned(SteadyTime now, Violations& found) const {
  std::size_t abandoned = 0;
  std::size_t still_running = 0;
  for (const auto& [attempt, entry] : m_requests) {
    const SoakRequest& request = entry.request;
    if (!request.disconnected || entry.runs.empty() ||
        now < *request.ended + kCancellationDelay + kSchedulingTolerance ||
        !RouterHadNoFault(request.router, request.sent, *request.ended + kCancellationDelay) ||
        !HadNoFault(entry.runs.back().endpoint, request.sent,
                    *request.ended + kCancellationDelay)) {
      continue;
    }
    const EndpointRun& run = entry.runs.back();
    ++abandoned;
    still_running += run.end.empty() || run.ended > *request.ended + kCancellationDelay ? 1U : 0U;
  }
  constexpr std::size_t kToleratedCount = 3;
  if (still_running > kToleratedCount && still_running * 4 > abandoned) {
    found.push_back("abandoned: endpoints continued " + std::to_string(still_running) + " of " +
                    std::to_string(abandoned) + " streams after their callers had disconnected");
  }
}

// Counts repeats in the time window in which the request was sent.
void Ledger::CheckRetries(Violations& found) const {
  constexpr std::chrono::seconds kWindow = 10s;
  struct Counts {
    std::size_t requests = 0;
    std::size_t repeats = 0;
  };
  std::map<std::pair<std::string, std::int64_t>, Counts> windows;
  for (const auto& [attempt, entry] : m_requests) {
    if (entry.runs.empty()) {
      continue;
    }
    Counts& counts = windows[{ServiceOf(entry.runs.front().endpoint),
                              entry.request.sent.time_since_epoch() / kWindow}];
    ++counts.requests;
    counts.repeats += entry.runs.size() + entry.refusals - 1;
  }
  for (const auto& [window, counts] : windows) {
    const double limit = m_bounds.retry_ratio * static_cast<double>(counts.requests) +
                         static_cast<double>(m_bounds.retry_slack);
    if (static_cast<double>(counts.repeats) > limit) {
      found.push_back("retries: " + std::to_string(counts.repeats) + " repeats for " +
                      std::to_string(counts.requests) + " requests of " + window.first);
    }
  }
}

void Ledger::CheckServed(Violations& found) const {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& [attempt, entry] : m_requests) {
    const SoakRequest& request = entry.request;
    // CheckEnd() reports the requests that never end.
    if (m_last_fault_end && request.sent > *m_last_fault_end + kFaultRecoveryTime &&
        request.ended && !request.disconnected && !m_revoked.contains(request.api_key)) {
      ++sent;
      served += request.complete && request.status == kOk ? 1U : 0U;
    }
  }
  if (m_last_fault_end &&
      (sent == 0 || static_cast<double>(served) < kMinServedShare * static_cast<double>(sent))) {
    found.push_back("recovery: " + std::to_string(served) + " of " + std::to_string(sent) +
                    " requests were served after the last fault");
  }
}

std::vector<std::string> Ledger::Check(SteadyTime now, bool at_end) const {
  Violations found = m_reported;
  for (const auto& [attempt, entry] : m_requests) {
    CheckAnswer(entry, found);
    CheckRuns(entry, found);
    CheckConfiguration(entry, found);
    CheckEnd(entry, now, found);
  }
  CheckAbandoned(now, found);
  if (at_end) {
    CheckRetries(found);
    CheckServed(found);
  }
  return found;
}

void Ledger::OnMemory(const Scope& router, double bytes) {
  constexpr double kBytesPerMegabyte = 1e6;
  if (bytes > kMaxMegabytes * kBytesPerMegabyte) {
    m_reported.push_back("memory: " + router + " holds " +
                         std::to_string(bytes / kBytesPerMegabyte) + " MB");
  }
}

std::size_t Ledger::RunCount() const noexcept {
  std::size_t count = 0;
  for (const auto& [attempt, entry] : m_requests) {
    count += entry.runs.size();
  }
  return count;
}

std::map<int, std::size_t> Ledger::Statuses() const {
  std::map<int, std::size_t> statuses;
  for (const auto& [attempt, entry] : m_requests) {
    ++statuses[entry.request.complete ? entry.request.status : 0];
  }
  return statuses;
}

}  // namespace wagtailwind::soak
