#ifndef WAGTAILWIND_FORWARD_PREFIX_FEED_H_
#define WAGTAILWIND_FORWARD_PREFIX_FEED_H_

#include <chrono>
#include <memory>
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

/// \brief Receives what a feed learns. `held_at` is a time at which what is known by then was the
/// newest.
class FeedListener {
 public:
  virtual ~FeedListener() = default;

  /// \brief All keys of the prefix.
  virtual void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime held_at) = 0;

  /// \brief Changes in order; none if the watch ended without one.
  virtual void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime held_at) = 0;

  /// \brief The service does not answer.
  virtual void OnFeedLost() {}

  /// \brief The service answers again. Comes before what the answer shows. `last_failed` is when
  /// the last call was sent that failed: the service may have returned at any time since then.
  virtual void OnFeedRegained(SteadyTime /*last_failed*/) {}
};

/// \brief Where and how a feed reads.
struct FeedSettings {
  /// Names the feed in logs and metrics.
  std::string name;
  /// `ip:port` of the key-value service.
  std::string address;
  std::string prefix;
  /// Longest wait of a watch. While the service answers, the last confirmation is at most this and
  /// two round trips old.
  std::chrono::milliseconds watch_time{1'400};
  /// Pause after a watch that brought changes, so that frequent writes share a call.
  std::chrono::milliseconds pause_after_change{0};
};

/// \brief Follows the keys with a prefix in the key-value service: a full read, then watches.
///
/// Connections that have gone silent are found by probes of the transport. Reads the whole prefix
/// again when the service has dropped the history that a watch needs.
class PrefixFeed final : private http1::ResponseObserver {
 public:
  /// \brief All references outlive the feed.
  PrefixFeed(net::EventLoop& loop, const Clock& clock, RandomSource& random,
             const platform::KeyValueCodec& codec, MetricsRegistry& metrics, FeedSettings settings,
             FeedListener& listener);
  ~PrefixFeed() override;

  PrefixFeed(const PrefixFeed&) = delete;
  PrefixFeed& operator=(const PrefixFeed&) = delete;

 private:
  enum class Phase : std::uint8_t { kRange, kWatch };

  void Call();
  void CallAfter(std::chrono::milliseconds delay);
  void Count(std::string_view result);
  void Succeeded();
  void Failed(std::string_view reason);
  void FinishRange();
  void FinishWatch();
  [[nodiscard]] BootTime HeldAt(const platform::WatchPage& page) const noexcept;
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
  bool m_calling = false;
  Phase m_phase = Phase::kRange;
  int m_status = 0;
  std::string m_body;
  BootTime m_sent_at{};
  std::chrono::milliseconds m_wait{0};
  SteadyTime m_call_began{};
  SteadyTime m_last_failed{};

  std::vector<platform::KeyValueItem> m_items;
  BootTime m_snapshot_sent_at{};
  platform::Revision m_snapshot_revision = 0;
  platform::Revision m_after = 0;
  /// Of the service at the end of the last watch.
  platform::Revision m_last_revision = 0;
  /// Wait of the next watch; zero after a gap, to confirm at once what is known.
  std::chrono::milliseconds m_next_wait{0};
  bool m_lost = false;
  int m_failures = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_PREFIX_FEED_H_
