#ifndef WAGTAILWIND_FORWARD_PREFIX_FEED_H_
#define WAGTAILWIND_FORWARD_PREFIX_FEED_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "platform/key_value_codec.h"

namespace wagtailwind::forward {

/// \brief Receives the items and changes that a feed reads. They include all changes that were made
/// before `valid_as_of`, also those that a restored service had lost.
class FeedListener {
 public:
  virtual ~FeedListener() = default;

  /// \brief Called with all items of the prefix after a full read.
  virtual void OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                          BootTime valid_as_of) = 0;

  /// \brief Called with the changes of a watch in order; empty if the watch ended without one.
  virtual void OnChanges(const std::vector<platform::KeyValueItem>& changes,
                         BootTime valid_as_of) = 0;

  /// \brief Called when the service does not answer.
  virtual void OnFeedLost() {}

  /// \brief Called when the service answers again, before the content of the response is reported.
  /// `last_failed` is the time at which the last failed call was sent: the service may have
  /// recovered at any time since then.
  virtual void OnFeedRegained(SteadyTime /*last_failed*/) {}

  /// \brief Called when the service has come back from an older copy, before the content of the
  /// response is reported: it may be older than what was reported before, and revisions that were
  /// reported before may belong to other writes.
  virtual void OnServiceRestored() {}
};

/// \brief Source and timing of a feed.
struct FeedSettings {
  /// Name of the feed in logs and metrics.
  std::string name;
  /// `ip:port` of the key-value service.
  std::string address;
  std::string prefix;
  /// Longest wait of a watch. While the service answers, the last confirmation is at most this time
  /// plus two round trips old.
  std::chrono::milliseconds watch_time{1'400};
  /// Pause after a watch that returned changes, so that one call returns several frequent writes.
  /// No pause follows a change of a key that begins with none of `paused_prefixes`. The next watch
  /// is shorter by the pause, so that confirmations get no older.
  std::chrono::milliseconds pause_after_change{0};
  std::vector<std::string> paused_prefixes{};
};

/// \brief Follows the keys with a prefix in the key-value service: a full read, then watches.
///
/// Dead connections are detected by TCP probes. The whole prefix is read again when the service has
/// dropped the history that a watch needs, or has come back from an older copy.
class PrefixFeed final : private http1::ResponseObserver {
 public:
  /// \brief All references must outlive the feed.
  PrefixFeed(net::EventLoop& loop, const Clock& clock, RandomSource& random,
             const platform::KeyValueCodec& codec, MetricsRegistry& metrics, FeedSettings settings,
             FeedListener& listener);
  ~PrefixFeed() override;

  PrefixFeed(const PrefixFeed&) = delete;
  PrefixFeed& operator=(const PrefixFeed&) = delete;

 private:
  enum class Phase : std::uint8_t { kRange, kWatch };

  /// Compares the era of an answer with that of the one before.
  void CheckEra(const http1::MessageHead& head);
  /// Sends the next range or watch request.
  void SendCall();
  void ScheduleCall(std::chrono::milliseconds delay);
  void CountCall(std::string_view result);
  void OnCallSucceeded();
  /// `is_refusal`: the service has answered that it did not perform the call.
  void OnCallFailed(std::string_view reason, bool is_refusal = false);
  void FinishRange();
  void FinishWatch();
  /// Whether the current call goes on from an answer of an earlier era.
  [[nodiscard]] bool ContinuesEarlierEra() const noexcept;
  /// Whether a watch response repeats changes that were known before the call, so that it is a late
  /// copy of an earlier response.
  [[nodiscard]] bool IsLateCopy(const platform::WatchPage& page) const noexcept;
  [[nodiscard]] std::chrono::milliseconds PauseAfter(const platform::WatchPage& page) const;
  /// Returns the time up to which a watch response proves the absence of further changes.
  [[nodiscard]] BootTime ValidAsOf(const platform::WatchPage& page) const noexcept;
  /// Returns the time up to which the listener knows all changes, after an answer that proves this
  /// up to `valid_as_of` for the current era of the service.
  [[nodiscard]] BootTime AcrossEras(BootTime valid_as_of) noexcept;
  void OnTimer();
  /// Reads the whole prefix again.
  void Resynchronise();

  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override;
  void OnResponseBody(std::string_view part) override;
  void OnResponseEnd(bool reusable) override;
  void OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) override;

  net::EventLoop& m_loop;
  const Clock& m_clock;
  RandomSource& m_random;
  const platform::KeyValueCodec& m_codec;
  MetricsRegistry& m_metrics;
  const FeedSettings m_settings;
  FeedListener& m_listener;

  std::unique_ptr<http1::ClientConnection> m_connection;
  net::Timer m_timer;
  bool m_call_in_progress = false;
  Phase m_phase = Phase::kRange;
  int m_status = 0;
  std::string m_body;
  /// Size of the body at the last restart of the timer.
  std::size_t m_counted_progress = 0;
  /// The response exceeds the limit; the rest of it is not read.
  bool m_is_too_large = false;
  BootTime m_sent_at{};
  /// Time at which the first call on the connection was sent.
  BootTime m_connection_used_since{};
  std::chrono::milliseconds m_wait{0};
  SteadyTime m_call_started_at{};
  SteadyTime m_last_failed_at{};

  std::vector<platform::KeyValueItem> m_items;
  BootTime m_snapshot_sent_at{};
  platform::Revision m_snapshot_revision = 0;
  platform::Revision m_watch_after = 0;
  /// Era of the last answer that named one.
  std::optional<platform::Era> m_era;
  /// The listener does not know yet that the service was restored.
  bool m_is_restored = false;
  /// Time from which a restored service contains again what it had lost.
  BootTime m_rewritten_at{};
  /// Time up to which the listener knows all changes.
  BootTime m_valid_as_of{};
  /// Revision of the service at the end of the last watch.
  platform::Revision m_last_revision = 0;
  /// Wait of the next watch; zero after an interruption, to confirm the known state at once.
  std::chrono::milliseconds m_next_wait{0};
  bool m_is_lost = false;
  int m_failures = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_PREFIX_FEED_H_
