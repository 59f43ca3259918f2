#include "forward/record_writer.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/key_value_backoff.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// As for reads: the service answers in milliseconds; in a slow phase it takes 300 ms.
constexpr std::chrono::milliseconds kAnswerTimeout = 700ms;
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;

// Records share a lease for this time, so that a series of them costs one call for the lease.
constexpr std::chrono::seconds kLeaseShareTime{10};

// Records that wait for the service, and accepted ones that are kept. A router writes a few in a
// minute.
constexpr std::size_t kMaxQueue = 64;

// Time for which an accepted record is kept: the service may come back from a copy that is some
// seconds old, after a short outage.
constexpr std::chrono::seconds kMaxCopyAge{60};

// Writes in one call; the service accepts 32.
constexpr std::size_t kMaxWritesPerCall = 16;

// The answers contain a few numbers.
constexpr std::size_t kMaxAnswerBytes = 64U << 10U;

constexpr int kOk = 200;
constexpr int kNoSuchLease = 404;

}  // namespace

RecordWriter::RecordWriter(net::EventLoop& loop, const Clock& clock, RandomSource& random,
                           const platform::KeyValueCodec& codec, MetricsRegistry& metrics,
                           RecordWriterSettings settings)
    : m_loop(loop),
      m_clock(clock),
      m_random(random),
      m_codec(codec),
      m_metrics(metrics),
      m_settings(std::move(settings)),
      m_timer(loop, [this] { OnTimer(); }) {}

RecordWriter::~RecordWriter() = default;

void RecordWriter::Put(std::string key, std::string value) {
  if (m_queue.size() >= kMaxQueue) {
    const auto oldest = m_queue.begin() + static_cast<std::ptrdiff_t>(m_in_call);
    Log(kRecordDropped, {{"key", oldest->key}, {"waiting", m_queue.size()}});
    m_queue.erase(oldest);
  }
  m_queue.push_back({.key = std::move(key), .value = std::move(value)});
  if (!m_call_in_progress && m_failures == 0) {
    m_timer.Start(0ms);
  }
}

bool RecordWriter::HasLease() const {
  return m_lease &&
         m_clock.BootNow() - m_lease_asked_at <
             std::min<std::chrono::nanoseconds>(kLeaseShareTime, m_settings.lifetime / 2);
}

void RecordWriter::OnTimer() {
  if (m_call_in_progress) {
    OnCallFailed("no answer in time");
  } else if (!m_queue.empty()) {
    SendCall();
  }
}

void RecordWriter::SendCall() {
  if (!m_connection) {
    m_connection =
        std::make_unique<http1::ClientConnection>(m_loop, m_settings.address, kConnectTimeout);
  }
  m_call_in_progress = true;
  m_status = 0;
  m_body.clear();
  std::string request;
  if (HasLease()) {
    m_call = Call::kPut;
    m_in_call = std::min(m_queue.size(), kMaxWritesPerCall);
    const std::vector<platform::KeyValueWrite> writes(
        m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(m_in_call));
    request = m_codec.PutRequest(writes, *m_lease);
  } else {
    m_call = Call::kLease;
    m_lease_asked_at = m_clock.BootNow();
    request = m_codec.LeaseRequest(m_settings.lifetime);
  }
  m_timer.Start(kAnswerTimeout);
  m_connection->Send(std::move(request), false, *this);
}

bool RecordWriter::OnResponseHead(http1::MessageHead head) {
  m_status = head.status;
  return true;
}

void RecordWriter::OnResponseBody(std::string_view part) {
  if (m_body.size() + part.size() <= kMaxAnswerBytes) {
    m_body.append(part);
    return;
  }
  // The connection can't be closed while it reports bytes.
  m_connection->StopReading();
  m_timer.Start(0ms);
}

void RecordWriter::OnResponseEnd(bool reusable) {
  if (reusable) {
    m_connection->SetObserver(this);
  } else {
    m_connection.reset();
  }
  FinishCall();
}

void RecordWriter::FinishCall() {
  if (m_status == kNoSuchLease && m_call == Call::kPut) {
    m_lease.reset();
  }
  if (m_status != kOk) {
    OnCallFailed("status " + std::to_string(m_status));
    return;
  }
  if (m_call == Call::kLease) {
    try {
      m_lease = m_codec.DecodeLease(m_body);
    } catch (const platform::MalformedKeyValueAnswer& error) {
      OnCallFailed(error.what());
      return;
    }
  } else {
    AcceptWrites();
  }
  CountCall("answered");
  m_call_in_progress = false;
  m_in_call = 0;
  m_failures = 0;
  m_timer.Cancel();
  if (!m_queue.empty()) {
    m_timer.Start(0ms);
  }
}

void RecordWriter::AcceptWrites() {
  const BootTime now = m_clock.BootNow();
  for (; m_in_call > 0; --m_in_call) {
    std::erase_if(m_accepted, [this](const AcceptedWrite& accepted) {
      return accepted.write.key == m_queue.front().key;
    });
    m_accepted.push_back({.write = std::move(m_queue.front()), .accepted_at = now});
    m_queue.pop_front();
  }
  RemoveOldWrites();
}

void RecordWriter::RemoveOldWrites() {
  const BootTime now = m_clock.BootNow();
  while (!m_accepted.empty() &&
         (m_accepted.size() > kMaxQueue || now - m_accepted.front().accepted_at > kMaxCopyAge)) {
    m_accepted.pop_front();
  }
}

void RecordWriter::OnServiceRestored() {
  if (IsMutantEnabled("forwarder_forgets_accepted_records")) {
    return;
  }
  m_lease.reset();
  RemoveOldWrites();
  for (AcceptedWrite& accepted : std::exchange(m_accepted, {})) {
    const bool is_waiting = std::any_of(m_queue.begin(), m_queue.end(),
                                        [&accepted](const platform::KeyValueWrite& write) {
                                          return write.key == accepted.write.key;
                                        });
    if (!is_waiting) {
      Put(std::move(accepted.write.key), std::move(accepted.write.value));
    }
  }
}

void RecordWriter::OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) {
  if (!m_call_in_progress) {
    m_connection.reset();
    return;
  }
  OnCallFailed(std::string(http1::ToText(end)) + ": " + std::string(detail));
}

void RecordWriter::OnCallFailed(std::string_view reason) {
  CountCall("failed");
  if (m_failures == 0) {
    Log(kRecordWriteFailed, {{"key", m_queue.front().key},
                             {"call", m_call == Call::kLease ? "lease" : "put"},
                             {"reason", reason}});
  }
  m_call_in_progress = false;
  m_in_call = 0;
  // An answer that is still to come would be taken for that to the next call.
  m_connection.reset();
  m_timer.Start(KeyValueBackoff(m_random, m_failures++));
}

void RecordWriter::CountCall(std::string_view result) {
  m_metrics
      .GetCounter(std::string("forward_key_value_calls_total{feed=\"writer\",kind=\"") +
                  (m_call == Call::kLease ? "lease" : "put") + "\",result=\"" +
                  std::string(result) + "\"}")
      .Add();
}

}  // namespace wagtailwind::forward
