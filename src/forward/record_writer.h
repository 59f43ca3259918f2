#ifndef WAGTAILWIND_FORWARD_RECORD_WRITER_H_
#define WAGTAILWIND_FORWARD_RECORD_WRITER_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "forward/prefix_feed.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "platform/key_value_codec.h"

namespace wagtailwind::forward {

/// \brief Longest lifetime that the service accepts: few calls, and the records outlast an outage
/// of the service.
inline constexpr std::chrono::minutes kRecordLifetime{10};

/// \brief Service and lifetime of the records that a RecordWriter writes.
struct RecordWriterSettings {
  /// `ip:port` of the key-value service.
  std::string address;
  /// Time after which the service removes a record.
  std::chrono::milliseconds lifetime = kRecordLifetime;
};

/// \brief Writes records that expire, in order, and repeats failed writes until the service accepts
/// them. Records that are written within a short time expire together. When the service has come
/// back from an older copy, the last records are written again.
///
/// A write may take effect although it appeared to fail, so a repeated write must do no harm.
class RecordWriter final : public FeedListener, private http1::ResponseObserver {
 public:
  /// \brief All references must outlive the object.
  RecordWriter(net::EventLoop& loop, const Clock& clock, RandomSource& random,
               const platform::KeyValueCodec& codec, MetricsRegistry& metrics,
               RecordWriterSettings settings);
  ~RecordWriter() override;
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// \brief Writes a record. If too many wait, the oldest one is dropped with a log line.
  void Put(std::string key, std::string value);

  void OnSnapshot(const std::vector<platform::KeyValueItem>&, BootTime) override {}
  void OnChanges(const std::vector<platform::KeyValueItem>&, BootTime) override {}
  void OnServiceRestored() override;

  /// \brief Returns whether a write has not been accepted yet.
  [[nodiscard]] bool IsBusy() const noexcept { return !m_queue.empty(); }

 private:
  enum class Call : std::uint8_t { kLease, kPut };

  /// A record that the service has accepted.
  struct AcceptedWrite {
    platform::KeyValueWrite write;
    BootTime accepted_at{};
  };

  void SendCall();
  void FinishCall();
  /// Moves the records of a successful call from the queue to the accepted ones.
  void AcceptWrites();
  /// Forgets accepted records that a copy of the service contains.
  void RemoveOldWrites();
  void OnCallFailed(std::string_view reason);
  void OnTimer();
  void CountCall(std::string_view result);
  [[nodiscard]] bool HasLease() const;

  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override;
  void OnResponseBody(std::string_view part) override;
  void OnResponseEnd(bool reusable) override;
  void OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) override;

  net::EventLoop& m_loop;
  const Clock& m_clock;
  RandomSource& m_random;
  const platform::KeyValueCodec& m_codec;
  MetricsRegistry& m_metrics;
  const RecordWriterSettings m_settings;

  std::unique_ptr<http1::ClientConnection> m_connection;
  net::Timer m_timer;
  std::deque<platform::KeyValueWrite> m_queue;
  /// The oldest first, the last one of each key.
  std::deque<AcceptedWrite> m_accepted;
  /// Number of records at the front of the queue that the current call writes.
  std::size_t m_in_call = 0;
  bool m_call_in_progress = false;
  Call m_call = Call::kLease;
  int m_status = 0;
  std::string m_body;
  std::optional<platform::LeaseId> m_lease;
  /// Time at which the request for the lease was sent.
  BootTime m_lease_asked_at{};
  int m_failures = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RECORD_WRITER_H_
