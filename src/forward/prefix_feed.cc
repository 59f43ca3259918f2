#include "forward/prefix_feed.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// The service answers in milliseconds; in a slow phase it takes three hundred.
constexpr std::chrono::milliseconds kAnswerTimeout = 700ms;
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;

// A waiting watch sends nothing, so only probes tell it from a connection that was cut without a
// trace. Found within about twice this time, a cut leaves endpoints unknown for less than three
// seconds.
constexpr std::chrono::milliseconds kPeerTimeout = 1'200ms;

// The first repetition is immediate, because a kept connection may have been dead for long. Later
// ones spread over a time that grows up to the last value, so that a fleet does not storm a service
// that returns.
constexpr std::chrono::milliseconds kFirstBackoff = 100ms;
constexpr std::chrono::milliseconds kMaxBackoff = 600ms;

// The service may answer a wait of zero as if none were given.
constexpr std::chrono::milliseconds kShortestWait = 1ms;

// Timers of the service count in milliseconds and may end this much too early.
constexpr std::chrono::milliseconds kTimerResolution = 2ms;

constexpr int kOk = 200;
constexpr int kGone = 410;

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
      m_timer(loop, [this] { m_calling ? Failed("no answer in time") : Call(); }) {
  CallAfter(0ms);
}

PrefixFeed::~PrefixFeed() = default;

void PrefixFeed::CallAfter(std::chrono::milliseconds delay) { m_timer.Start(delay); }

void PrefixFeed::Call() {
  if (!m_connection) {
    m_connection =
        std::make_unique<http1::ClientConnection>(m_loop, m_settings.address, kConnectTimeout);
    m_connection->SetPeerTimeout(kPeerTimeout);
  }
  m_calling = true;
  m_status = 0;
  m_body.clear();
  m_sent_at = m_clock.BootNow();
  m_call_began = m_clock.Now();
  m_wait = 0ms;
  std::string request;
  if (m_phase == Phase::kRange) {
    if (m_items.empty()) {
      m_snapshot_sent_at = m_sent_at;
    }
    request = m_codec.RangeRequest(m_settings.prefix, m_items.empty() ? "" : m_items.back().key);
  } else {
    m_wait = std::max(m_next_wait, kShortestWait);
    request = m_codec.WatchRequest(m_settings.prefix, m_after, m_wait);
  }
  m_timer.Start(m_wait + kAnswerTimeout);
  m_connection->Send(std::move(request), false, *this);
}

bool PrefixFeed::OnResponseHead(http1::MessageHead head) {
  m_status = head.status;
  return true;
}

void PrefixFeed::OnResponseBody(std::string_view part) { m_body.append(part); }

void PrefixFeed::OnResponseEnd(bool reusable) {
  m_calling = false;
  m_timer.Cancel();
  if (reusable) {
    m_connection->SetIdleObserver(this);
  } else {
    m_connection.reset();
  }
  if (m_status == kGone && m_phase == Phase::kWatch) {
    Succeeded();
    Resynchronise();
    return;
  }
  if (m_status != kOk) {
    Failed("status " + std::to_string(m_status));
    return;
  }
  try {
    m_phase == Phase::kRange ? FinishRange() : FinishWatch();
  } catch (const platform::MalformedKeyValueAnswer& error) {
    Failed(error.what());
  }
}

void PrefixFeed::OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) {
  if (!m_calling) {
    m_connection.reset();
    return;
  }
  Failed(std::string(http1::ToText(end)) + ": " + std::string(detail));
}

void PrefixFeed::Count(std::string_view result) {
  m_metrics
      .GetCounter("forward_key_value_calls_total{feed=\"" + m_settings.name + "\",kind=\"" +
                  (m_phase == Phase::kRange ? "range" : "watch") + "\",result=\"" +
                  std::string(result) + "\"}")
      .Add();
}

void PrefixFeed::Succeeded() {
  Count("answered");
  m_failures = 0;
  if (m_lost) {
    m_lost = false;
    Log(kKeyValueRegained, {{"feed", m_settings.name}});
    m_listener.OnFeedRegained(m_last_failed);
  }
}

void PrefixFeed::Failed(std::string_view reason) {
  Count("failed");
  m_calling = false;
  m_connection.reset();
  m_next_wait = 0ms;
  // Pages of an interrupted read may be far apart in time.
  m_items.clear();
  m_last_failed = m_call_began;
  ++m_failures;
  if (m_failures == 1) {
    CallAfter(0ms);
    return;
  }
  if (!m_lost) {
    m_lost = true;
    Log(kKeyValueLost, {{"feed", m_settings.name}, {"reason", reason}});
    m_metrics.GetCounter("forward_key_value_lost_total{feed=\"" + m_settings.name + "\"}").Add();
    m_listener.OnFeedLost();
  }
  if (MutantIs("forwarder_gives_up_reading")) {
    return;
  }
  constexpr int kMaxDoublings = 8;
  const auto ceiling =
      std::min(kMaxBackoff, kFirstBackoff * (1 << std::min(m_failures - 2, kMaxDoublings)));
  CallAfter(ceiling / 2 + std::chrono::milliseconds(
                              m_random.Below(static_cast<std::uint64_t>(ceiling.count()) / 2 + 1)));
}

void PrefixFeed::FinishRange() {
  platform::RangePage page = m_codec.DecodeRange(m_body);
  if (m_items.empty()) {
    // Changes between the pages come again in the first watch.
    m_snapshot_revision = page.revision;
  }
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  Succeeded();
  if (page.has_more && !page.items.empty()) {
    CallAfter(0ms);
    return;
  }
  m_after = m_last_revision = m_snapshot_revision;
  m_phase = Phase::kWatch;
  m_next_wait = m_settings.watch_time;
  const std::vector<platform::KeyValueItem> items = std::exchange(m_items, {});
  m_listener.OnSnapshot(items, m_snapshot_sent_at);
  CallAfter(0ms);
}

void PrefixFeed::FinishWatch() {
  const platform::WatchPage page = m_codec.DecodeWatch(m_body);
  Succeeded();
  const BootTime held_at = HeldAt(page);
  m_next_wait = m_settings.watch_time;
  if (!page.changes.empty() && m_settings.pause_after_change == 0ms) {
    // The next watch ends when this one would have, so that the confirmation does not grow older.
    m_next_wait -= std::min(m_wait, std::chrono::duration_cast<std::chrono::milliseconds>(
                                        m_clock.Now() - m_call_began));
  }
  // A watch may have missed changes just before the service drops its history. Continuing from
  // where the watch before it ended shows them again, or the loss of the history.
  m_after = std::max(m_after, m_last_revision);
  m_last_revision = std::max(m_last_revision, page.revision);
  for (const platform::KeyValueItem& change : page.changes) {
    m_after = std::max(m_after, change.revision);
  }
  m_listener.OnChanges(page.changes, held_at);
  CallAfter(page.changes.empty() ? 0ms : m_settings.pause_after_change);
}

// The service ends a watch without a change only after its wait, counted from its arrival. An
// answer that comes sooner or later than that proves only what held when the watch was sent: it may
// have been cut short, or have lain unread while this process was suspended.
BootTime PrefixFeed::HeldAt(const platform::WatchPage& page) const noexcept {
  const auto waited = m_wait - kTimerResolution;
  const auto elapsed = m_clock.BootNow() - m_sent_at;
  const bool was_held = waited > 0ms && elapsed >= waited && elapsed <= m_wait + kAnswerTimeout;
  return page.changes.empty() && was_held ? m_sent_at + waited : m_sent_at;
}

void PrefixFeed::Resynchronise() {
  m_phase = Phase::kRange;
  m_items.clear();
  CallAfter(0ms);
}

}  // namespace wagtailwind::forward
