#include "forward/prefix_feed.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/key_value_backoff.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// The service answers in milliseconds; in a slow phase it takes 300 ms.
constexpr std::chrono::milliseconds kAnswerTimeout = 700ms;
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;

// A waiting watch transfers no data, so only TCP probes detect a connection that was dropped
// without a reset. The drop is detected within about twice this time, so that endpoints are unknown
// for less than three seconds.
constexpr std::chrono::milliseconds kPeerTimeout = 1'200ms;

// The timers of the service have millisecond resolution and may expire this much too early.
constexpr std::chrono::milliseconds kTimerResolution = 2ms;

// The service may treat a wait of zero as if none were given. A longer wait than the resolution of
// its timers tells a watch that was quiet from one that was cut short.
constexpr std::chrono::milliseconds kMinWait = 5ms;

// An answer that arrives slowly gets the time for an answer again after this many bytes: when all
// routers of a fleet read a long list, each answer takes long. Single bytes are no progress.
constexpr std::size_t kProgressBytes = 4U << 10U;

// A read of many pages starts again after this time, so that its first watch does not need history
// that the service may have dropped.
constexpr std::chrono::milliseconds kMaxReadTime = 15'000ms;

// Several versions of a configuration of the largest size. This much, and the records decoded from
// it, fit into the smallest instance.
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

// Time after a restore in which operators write again what the service has lost. A longer time
// would leave too little of the key revocation bound after an outage.
constexpr std::chrono::milliseconds kRewriteTime = 1'000ms;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

PrefixFeed::PrefixFeed(net::EventLoop& loop, const Clock& clock, RandomSource& random,
                       const platform::KeyValueCodec& codec, MetricsRegistry& metrics,
                       FeedSettings settings, FeedListener& listener)
    : m_loop(loop),
      m_clock(clock),
      m_random(random),
      m_codec(codec),
      m_metrics(metrics),
      m_settings(std::move(settings)),
      m_listener(listener),
      m_timer(loop, [this] { OnTimer(); }) {
  ScheduleCall(0ms);
}

PrefixFeed::~PrefixFeed() = default;

void PrefixFeed::OnTimer() {
  if (!m_call_in_progress) {
    SendCall();
    return;
  }
  if (m_is_too_large && m_phase == Phase::kWatch) {
    // A full read contains only the newest state of each key.
    m_phase = Phase::kRange;
  }
  OnCallFailed(m_is_too_large ? "answer exceeds the limit" : "no answer in time");
}

void PrefixFeed::ScheduleCall(std::chrono::milliseconds delay) { m_timer.Start(delay); }

void PrefixFeed::SendCall() {
  m_sent_at = m_clock.BootNow();
  if (!m_connection) {
    m_connection =
        std::make_unique<http1::ClientConnection>(m_loop, m_settings.address, kConnectTimeout);
    m_connection->SetPeerTimeout(kPeerTimeout);
    m_connection_used_since = m_sent_at;
  }
  m_call_in_progress = true;
  m_status = 0;
  m_body.clear();
  m_counted_progress = 0;
  m_is_too_large = false;
  m_call_started_at = m_clock.Now();
  m_wait = 0ms;
  std::string request;
  if (m_phase == Phase::kRange) {
    if (m_items.empty()) {
      m_snapshot_sent_at = m_sent_at;
    }
    request = m_codec.RangeRequest(m_settings.prefix, m_items.empty() ? "" : m_items.back().key);
  } else {
    m_wait = std::max(m_next_wait, kMinWait);
    if (m_sent_at < m_rewritten_at) {
      // The watch that ends after this time can confirm the known state.
      m_wait = std::min(m_wait, std::chrono::ceil<std::chrono::milliseconds>(m_rewritten_at -
                                                                             m_sent_at + kMinWait));
    }
    request = m_codec.WatchRequest(m_settings.prefix, m_watch_after, m_wait);
  }
  m_timer.Start(m_wait + kAnswerTimeout);
  m_connection->Send(std::move(request), false, *this);
}

bool PrefixFeed::OnResponseHead(http1::MessageHead head) {
  m_status = head.status;
  CheckEra(head);
  return true;
}

void PrefixFeed::CheckEra(const http1::MessageHead& head) {
  const std::optional<platform::Era> era = m_codec.DecodeEra(head.headers);
  if (!era) {
    return;
  }
  const std::optional<platform::Era> before = std::exchange(m_era, era);
  if (before && *before != *era) {
    m_is_restored = true;
    m_rewritten_at = m_clock.BootNow() + kRewriteTime;
    Log(kKeyValueRestored, {{"feed", m_settings.name},
                            {"era", *era},
                            {"before", *before},
                            {"status", m_status},
                            {"watch_after", m_watch_after}});
  }
}

void PrefixFeed::OnResponseBody(std::string_view part) {
  if (m_is_too_large) {
    return;
  }
  m_body.append(part);
  if (m_body.size() - m_counted_progress >= kProgressBytes) {
    m_counted_progress = m_body.size();
    m_timer.Start(kAnswerTimeout);
  }
  if (m_body.size() > kMaxAnswerBytes) {
    m_is_too_large = true;
    std::string().swap(m_body);
    // The connection can't be closed while it reports bytes.
    m_connection->StopReading();
    m_timer.Start(0ms);
  }
}

void PrefixFeed::OnResponseEnd(bool reusable) {
  m_call_in_progress = false;
  m_timer.Cancel();
  if (reusable) {
    m_connection->SetObserver(this);
  } else {
    m_connection.reset();
  }
  if (m_status == kGone && m_phase == Phase::kWatch) {
    OnCallSucceeded();
    Resynchronise();
    return;
  }
  if (m_status != kOk) {
    OnCallFailed("status " + std::to_string(m_status),
                 m_status == kTooManyRequests || m_status == kUnavailable);
    return;
  }
  if (ContinuesEarlierEra() && !IsMutantEnabled("forwarder_watches_across_eras")) {
    OnCallSucceeded();
    Resynchronise();
    return;
  }
  try {
    m_phase == Phase::kRange ? FinishRange() : FinishWatch();
  } catch (const platform::MalformedKeyValueAnswer& error) {
    OnCallFailed(error.what());
  }
}

void PrefixFeed::OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) {
  if (!m_call_in_progress) {
    m_connection.reset();
    return;
  }
  OnCallFailed(std::string(http1::ToText(end)) + ": " + std::string(detail));
}

void PrefixFeed::CountCall(std::string_view result) {
  m_metrics
      .GetCounter("forward_key_value_calls_total{feed=\"" + m_settings.name + "\",kind=\"" +
                  (m_phase == Phase::kRange ? "range" : "watch") + "\",result=\"" +
                  std::string(result) + "\"}")
      .Add();
}

void PrefixFeed::OnCallSucceeded() {
  CountCall("answered");
  m_failures = 0;
  if (m_is_lost) {
    m_is_lost = false;
    Log(kKeyValueRegained, {{"feed", m_settings.name}});
    m_listener.OnFeedRegained(m_last_failed_at);
  }
  if (std::exchange(m_is_restored, false)) {
    m_listener.OnServiceRestored();
  }
}

void PrefixFeed::OnCallFailed(std::string_view reason, bool is_refusal) {
  CountCall(is_refusal ? "refused" : "failed");
  m_call_in_progress = false;
  m_next_wait = 0ms;
  if (!is_refusal) {
    m_connection.reset();
  }
  // Pages that have been read stay, because all routers of a fleet read at the same time after a
  // power failure, and reading them again would multiply the calls that the service has refused.
  // The first watch reports what has changed since the first page, if the service still knows it.
  if (m_clock.BootNow() - m_snapshot_sent_at > kMaxReadTime) {
    m_items.clear();
  }
  m_last_failed_at = m_call_started_at;
  ++m_failures;
  if (m_failures == 1 && !is_refusal) {
    ScheduleCall(0ms);
    return;
  }
  if (m_failures > 1 && !m_is_lost) {
    m_is_lost = true;
    Log(kKeyValueLost, {{"feed", m_settings.name}, {"reason", reason}});
    m_metrics.GetCounter("forward_key_value_lost_total{feed=\"" + m_settings.name + "\"}").Add();
    m_listener.OnFeedLost();
  }
  if (IsMutantEnabled("forwarder_gives_up_reading")) {
    return;
  }
  // The first retry is immediate, because a kept-alive connection may have been dead for long.
  ScheduleCall(KeyValueBackoff(m_random, m_failures - 2));
}

void PrefixFeed::FinishRange() {
  platform::RangePage page = m_codec.DecodeRange(m_body);
  if (m_items.empty()) {
    // Changes that happen between the pages are reported by the first watch.
    m_snapshot_revision = page.revision;
  }
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  OnCallSucceeded();
  if (page.has_more && !page.items.empty()) {
    ScheduleCall(0ms);
    return;
  }
  m_watch_after = m_last_revision = m_snapshot_revision;
  m_phase = Phase::kWatch;
  m_next_wait = m_settings.watch_time;
  const std::vector<platform::KeyValueItem> items = std::exchange(m_items, {});
  Log(kKeyValueRead, {{"feed", m_settings.name},
                      {"era", m_era.value_or(0)},
                      {"revision", m_snapshot_revision},
                      {"items", items.size()}});
  m_listener.OnSnapshot(items, AcrossEras(m_snapshot_sent_at));
  ScheduleCall(0ms);
}

void PrefixFeed::FinishWatch() {
  const platform::WatchPage page = m_codec.DecodeWatch(m_body);
  if (IsLateCopy(page)) {
    OnCallFailed("late copy of an earlier answer");
    return;
  }
  OnCallSucceeded();
  const BootTime valid_as_of = ValidAsOf(page);
  m_next_wait = m_settings.watch_time;
  const std::chrono::milliseconds pause = PauseAfter(page);
  if (!page.changes.empty()) {
    // The next watch ends when this one would have ended, so that the confirmation gets no older.
    m_next_wait -=
        std::min(m_next_wait, pause + std::chrono::duration_cast<std::chrono::milliseconds>(
                                          m_clock.Now() - m_call_started_at));
  }
  // A watch may miss changes just before the service drops its history. Continuing from the end of
  // the previous watch reports them again, or reports that the history is gone.
  m_watch_after = std::max(m_watch_after, m_last_revision);
  m_last_revision = std::max(m_last_revision, page.revision);
  for (const platform::KeyValueItem& change : page.changes) {
    m_watch_after = std::max(m_watch_after, change.revision);
  }
  if (valid_as_of < m_sent_at) {
    // The response to this call may still follow, and would be taken for that to the next one.
    m_connection.reset();
  }
  m_listener.OnChanges(page.changes, AcrossEras(valid_as_of));
  ScheduleCall(pause);
}

std::chrono::milliseconds PrefixFeed::PauseAfter(const platform::WatchPage& page) const {
  const bool may_pause = std::all_of(
      page.changes.begin(), page.changes.end(), [this](const platform::KeyValueItem& change) {
        const auto& prefixes = m_settings.paused_prefixes;
        return std::any_of(prefixes.begin(), prefixes.end(), [&change](const std::string& prefix) {
          return change.key.starts_with(prefix);
        });
      });
  return may_pause && !page.changes.empty() ? m_settings.pause_after_change : 0ms;
}

// The revision of a watch, and the earlier pages of a read, belong to the era of the answers
// before. The service knows them as soon as it has given the revision to another write.
bool PrefixFeed::ContinuesEarlierEra() const noexcept {
  return m_is_restored && (m_phase == Phase::kWatch || !m_items.empty());
}

bool PrefixFeed::IsLateCopy(const platform::WatchPage& page) const noexcept {
  return std::any_of(
      page.changes.begin(), page.changes.end(),
      [this](const platform::KeyValueItem& change) { return change.revision <= m_watch_after; });
}

// The service ends a watch without a change only after its wait, counted from its arrival. A
// response that arrives earlier or later proves only the state at the time of sending: the watch
// may have been cut short, or the response may have been unread while this process was suspended.
// On a connection that has carried other calls, it may even be a late copy of an earlier response;
// it then proves only the state at the time of the connection's first call.
BootTime PrefixFeed::ValidAsOf(const platform::WatchPage& page) const noexcept {
  const auto waited = m_wait - kTimerResolution;
  const auto elapsed = m_clock.BootNow() - m_sent_at;
  const bool ran_full_wait =
      waited > 0ms && elapsed >= waited && elapsed <= m_wait + kAnswerTimeout;
  if (!page.changes.empty()) {
    return m_sent_at;
  }
  return ran_full_wait ? m_sent_at + waited : m_connection_used_since;
}

BootTime PrefixFeed::AcrossEras(BootTime valid_as_of) noexcept {
  if (valid_as_of >= m_rewritten_at || IsMutantEnabled("forwarder_trusts_restored_confirmations")) {
    m_valid_as_of = std::max(m_valid_as_of, valid_as_of);
  }
  return m_valid_as_of;
}

void PrefixFeed::Resynchronise() {
  m_phase = Phase::kRange;
  m_items.clear();
  ScheduleCall(0ms);
}

}  // namespace wagtailwind::forward
