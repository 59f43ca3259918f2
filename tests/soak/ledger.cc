#include "soak/ledger.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "soak/answer_text.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;
using forward::RequestKind;

// Time after the end of a fault from which on the promises with a time bound hold again.
constexpr std::chrono::milliseconds kContact = 3'000ms;

// Allowance for a busy machine, on which the processes of the soak run late. A hang is much longer.
constexpr std::chrono::milliseconds kLateness = 2'500ms;

// An endpoint notices at its next event that its caller has left.
constexpr std::chrono::milliseconds kCancelTime = 1'500ms;

constexpr int kOk = 200;

// Part of the requests after the last fault that must be served. A few meet endpoints about which
// routers have not learnt yet that they work again.
constexpr double kServedShare = 0.9;

[[nodiscard]] bool SaysNotRun(int status) noexcept {
  constexpr int kTimeout = 408;
  constexpr int kMisdirected = 421;
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
  const auto found = m_requests.find(attempt);
  if (found == m_requests.end()) {
    m_reported.push_back("foreign: " + run.endpoint +
                         " got a request that nobody sent: " + std::string(line));
    return;
  }
  Entry& entry = found->second;
  if (event == "refuse") {
    ++entry.refusals;
  } else if (event == "run") {
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

void Ledger::OnTroubleBegin(const Scope& scope, SteadyTime at) {
  m_troubles[scope].push_back({at, SteadyTime::max()});
}

void Ledger::OnTroubleEnd(const Scope& scope, SteadyTime at) {
  for (Trouble& trouble : m_troubles[scope]) {
    if (trouble.end == SteadyTime::max()) {
      trouble.end = at;
      return;
    }
  }
}

void Ledger::OnConfiguration(const std::string& service, SteadyTime at) {
  m_configured.push_back({at, service});
}

bool Ledger::IsCalm(const Scope& scope, SteadyTime from, SteadyTime to) const {
  const auto found = m_troubles.find(scope);
  return found == m_troubles.end() ||
         std::none_of(found->second.begin(), found->second.end(), [&](const Trouble& trouble) {
           return trouble.begin <= to && trouble.end >= from - kContact;
         });
}

bool Ledger::IsInTouch(std::size_t router, SteadyTime from, SteadyTime to) const {
  return IsCalm(kStore, from, to) && IsCalm(RouterScope(router), from, to) &&
         IsCalm(StopScope(router), from, to);
}

bool Ledger::IsAllCalm(SteadyTime from, SteadyTime to) const {
  return std::all_of(m_troubles.begin(), m_troubles.end(), [&](const auto& entry) {
    return entry.first.ends_with(kStopSuffix) || IsCalm(entry.first, from, to);
  });
}

// A success is whole, signed and the answer to this request; a stream has no gap and no repeat.
void Ledger::CheckAnswer(const Entry& entry, Violations& found) const {
  const SoakRequest& request = entry.request;
  // Checking all answers each second would hold up the proxies of the same process.
  if (request.status != kOk || entry.answer_checked) {
    return;
  }
  const std::size_t found_before = found.size();
  const std::string name = request.prefix + " " + request.attempt;
  if (!request.is_signed) {
    found.push_back("whole: a success without signature, " + name);
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
    found.push_back("order: the answer is not that of the request, " + name);
  } else if (request.complete && request.body.size() != expected.size()) {
    found.push_back("whole: a part of an answer looks complete, " + name);
  }
  entry.answer_checked = request.done && found.size() == found_before;
}

void Ledger::CheckRuns(const Entry& entry, Violations& found) const {
  const SoakRequest& request = entry.request;
  const std::string name = request.prefix + " " + request.attempt;
  if (request.kind == RequestKind::kNonIdempotent) {
    if (entry.runs.size() > 1) {
      found.push_back("once: a call that must not repeat ran " + std::to_string(entry.runs.size()) +
                      " times, " + name);
    }
    if (request.done && SaysNotRun(request.status) && !entry.runs.empty()) {
      found.push_back("not_run: status " + std::to_string(request.status) +
                      " for a call that has run, " + name);
    }
  }
  for (const EndpointRun& run : entry.runs) {
    if (run.saw_key || run.organisation != "soak" || !run.path.starts_with(request.prefix)) {
      found.push_back("foreign: an endpoint got a changed request, " + name);
    }
    const auto most = request.timeout + kLateness;
    if (run.deadline.empty() || std::stoll(run.deadline) > most.count()) {
      found.push_back("deadline: an endpoint got more time than is left, " + name);
    }
    const auto drained = m_draining.find(run.endpoint);
    if (drained != m_draining.end() && run.at > drained->second + m_bounds.endpoint_drain &&
        IsInTouch(request.router, drained->second, run.at) &&
        IsCalm(run.endpoint, drained->second, run.at)) {
      found.push_back("drain: " + run.endpoint + " got new work while draining, " + name);
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
    // The service of each configuration that may be in force when the request is routed.
    std::optional<std::string> newest;
    bool allowed = false;
    for (const Configured& configured : m_configured) {
      if (configured.at + m_bounds.configuration < request.sent) {
        newest = configured.service;
        allowed = false;
      } else if (configured.at <= run.at) {
        allowed = allowed || configured.service == ServiceOf(run.endpoint);
      }
    }
    allowed = allowed || !newest || *newest == ServiceOf(run.endpoint);
    if (!allowed && IsInTouch(request.router, request.sent - m_bounds.configuration, run.at)) {
      found.push_back("configuration: an old route was used, /move/ " + request.attempt);
    }
  }
}

// Each request ends, and none is cut while nothing is wrong.
void Ledger::CheckEnd(const Entry& entry, SteadyTime now, Violations& found) const {
  const SoakRequest& request = entry.request;
  if (request.left) {
    return;
  }
  const std::string name = request.prefix + " " + request.attempt;
  const SteadyTime end = request.done.value_or(now);
  if (end > request.sent + request.timeout + kLateness &&
      IsCalm(RouterScope(request.router), request.sent, end) &&
      IsCalm(StopScope(request.router), request.sent, end)) {
    found.push_back("timeout: no answer at the timeout of the route, " + name);
  }
  if (request.done && !request.complete && !entry.runs.empty() &&
      IsAllCalm(request.sent, *request.done)) {
    found.push_back("cut: a request was cut though nothing was wrong, " + name);
  }
}

void Ledger::CheckAbandoned(SteadyTime now, Violations& found) const {
  std::size_t abandoned = 0;
  std::size_t worked_on = 0;
  for (const auto& [attempt, entry] : m_requests) {
    const SoakRequest& request = entry.request;
    if (!request.left || entry.runs.empty() || now < *request.done + kCancelTime + kLateness ||
        !IsInTouch(request.router, request.sent, *request.done + kCancelTime) ||
        !IsCalm(entry.runs.back().endpoint, request.sent, *request.done + kCancelTime)) {
      continue;
    }
    const EndpointRun& run = entry.runs.back();
    ++abandoned;
    worked_on += run.end.empty() || run.ended > *request.done + kCancelTime ? 1U : 0U;
  }
  constexpr std::size_t kFew = 3;
  if (worked_on > kFew && worked_on * 4 > abandoned) {
    found.push_back("abandoned: endpoints went on with " + std::to_string(worked_on) + " of " +
                    std::to_string(abandoned) + " streams whose callers had left");
  }
}

// Repeats are counted in the window in which their request was sent.
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
    const double most = m_bounds.retry_ratio * static_cast<double>(counts.requests) +
                        static_cast<double>(m_bounds.retry_slack);
    if (static_cast<double>(counts.repeats) > most) {
      found.push_back("retries: " + std::to_string(counts.repeats) + " repeats for " +
                      std::to_string(counts.requests) + " requests of " + window.first);
    }
  }
}

void Ledger::CheckServed(Violations& found) const {
  std::size_t asked = 0;
  std::size_t served = 0;
  for (const auto& [attempt, entry] : m_requests) {
    const SoakRequest& request = entry.request;
    // Requests without an end are the matter of another check.
    if (m_healed && request.sent > *m_healed + kContact && request.done && !request.left &&
        !m_revoked.contains(request.api_key)) {
      ++asked;
      served += request.complete && request.status == kOk ? 1U : 0U;
    }
  }
  if (m_healed &&
      (asked == 0 || static_cast<double>(served) < kServedShare * static_cast<double>(asked))) {
    found.push_back("recovery: " + std::to_string(served) + " of " + std::to_string(asked) +
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
