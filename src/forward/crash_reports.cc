#include "forward/crash_reports.h"

#include <algorithm>
#include <utility>

#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// The requests of a crashed endpoint notice it within some milliseconds; one report covers them.
constexpr std::chrono::milliseconds kCollectTime = 20ms;

// A report of prompts that only waited is needed only if no router had a prompt that the endpoint
// had begun to answer. Such a report arrives within this time.
constexpr std::chrono::milliseconds kMinWaitingDelay = 200ms;
constexpr std::chrono::milliseconds kMaxWaitingDelay = 400ms;

// Reports of one router: enough to identify several prompts, and few calls when many endpoints
// crash for another reason.
constexpr double kMaxPermits = 8;
constexpr double kPermitsPerSecond = 0.5;

constexpr std::string_view kFolder = "crashes/";

}  // namespace

CrashReports::CrashReports(ForwardContext& context, const DeploymentAdapter& adapter,
                           RecordWriter& writer)
    : m_context(context),
      m_prefix(std::string(adapter.RouterPrefix()) + std::string(kFolder)),
      m_writer(writer),
      m_permits(kMaxPermits) {}

CrashReports::~CrashReports() = default;

void CrashReports::OnCrash(const balancing::EndpointPtr& endpoint,
                           std::vector<balancing::SuspectPrompt> prompts) {
  const SteadyTime now = m_context.clock.Now();
  endpoint->health.OnFailure(balancing::AttemptFailure::kNotConnected, now);
  m_context.OnUnreachable(*endpoint);
  m_context.metrics.GetCounter("forward_crashed_prompts_total").Add(prompts.size());
  const std::size_t lost = prompts.size();
  balancing::CrashReport report{
      .endpoint = endpoint->record.name,
      .incarnation = endpoint->record.incarnation,
      .prompts = m_context.quarantine.FindSuspects(std::move(prompts), now)};
  Log(kEndpointCrashed, {{"endpoint", report.endpoint.value()},
                         {"incarnation", report.incarnation},
                         {"lost", lost},
                         {"suspects", report.prompts.size()},
                         {"answering", balancing::AnyAnswering(report.prompts) ? 1 : 0}});
  if (report.prompts.empty()) {
    return;
  }
  m_context.quarantine.Add(report, now);
  LogChanges();
  Schedule(report);
}

void CrashReports::Schedule(const balancing::CrashReport& report) {
  const auto known =
      std::find_if(m_pending.begin(), m_pending.end(), [&report](const Pending& pending) {
        return pending.report.endpoint == report.endpoint &&
               pending.report.incarnation == report.incarnation;
      });
  const auto pending = known == m_pending.end() ? m_pending.emplace(m_pending.end()) : known;
  if (known == m_pending.end()) {
    pending->report = report;
    pending->timer =
        std::make_unique<net::Timer>(m_context.loop, [this, pending] { Publish(pending); });
  } else {
    auto& prompts = pending->report.prompts;
    prompts.insert(prompts.end(), report.prompts.begin(), report.prompts.end());
  }
  if (balancing::AnyAnswering(report.prompts)) {
    pending->timer->Start(kCollectTime);
  } else if (known == m_pending.end()) {
    constexpr auto kSpread =
        static_cast<std::uint64_t>((kMaxWaitingDelay - kMinWaitingDelay).count());
    pending->timer->Start(kMinWaitingDelay +
                          std::chrono::milliseconds(m_context.random.NextBelow(kSpread)));
  }
}

void CrashReports::Publish(std::list<Pending>::iterator pending) {
  balancing::CrashReport report = std::move(pending->report);
  m_pending.erase(pending);
  if (balancing::AnyAnswering(report.prompts)) {
    std::erase_if(report.prompts,
                  [](const balancing::SuspectPrompt& prompt) { return !prompt.answering; });
  } else if (m_context.quarantine.HasAnsweringSuspect(report)) {
    return;
  }
  if (!TakePermit()) {
    Log(kRecordDropped, {{"key", CrashReportKey(report, m_context.self)}, {"waiting", 0}});
    return;
  }
  m_writer.Put(m_prefix + CrashReportKey(report, m_context.self), EncodeCrashReport(report));
}

bool CrashReports::TakePermit() {
  const SteadyTime now = m_context.clock.Now();
  const std::chrono::duration<double> elapsed = now - std::exchange(m_permits_at, now);
  m_permits = std::min(kMaxPermits, m_permits + elapsed.count() * kPermitsPerSecond);
  if (m_permits < 1) {
    return false;
  }
  m_permits -= 1;
  return true;
}

void CrashReports::LogChanges() {
  const std::vector<balancing::QuarantinedParts>& current = m_context.quarantine.Quarantined();
  const auto log_missing = [](const std::vector<balancing::QuarantinedParts>& from,
                              const std::vector<balancing::QuarantinedParts>& in,
                              const LogEvent& event) {
    for (const balancing::QuarantinedParts& entry : from) {
      const bool is_known =
          std::any_of(in.begin(), in.end(), [&entry](const balancing::QuarantinedParts& other) {
            return other.parts == entry.parts;
          });
      if (!is_known) {
        Log(event, {{"parts", ToText(entry.parts)}, {"crashes", entry.crashes}});
      }
    }
  };
  log_missing(m_logged, current, kPromptReleased);
  log_missing(current, m_logged, kPromptQuarantined);
  m_logged = current;
}

void CrashReports::Tick() {
  m_context.quarantine.RemoveExpired(m_context.clock.Now());
  LogChanges();
  m_context.metrics.GetGauge("forward_quarantined_prompts")
      .Set(static_cast<double>(m_context.quarantine.Quarantined().size()));
}

void CrashReports::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                              BootTime valid_as_of) {
  OnChanges(items, valid_as_of);
}

void CrashReports::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                             BootTime /*valid_as_of*/) {
  for (const platform::KeyValueItem& change : changes) {
    // A report that expires at the service still counts here for the quarantine time.
    if (change.deleted || !change.key.starts_with(m_prefix)) {
      continue;
    }
    try {
      m_context.quarantine.Add(DecodeCrashReport(change.value), m_context.clock.Now());
    } catch (const MalformedCrashReport& error) {
      Log(kCrashReportIgnored,
          {{"key", change.key}, {"revision", change.revision}, {"error", error.what()}});
    }
  }
  LogChanges();
}

}  // namespace wagtailwind::forward
