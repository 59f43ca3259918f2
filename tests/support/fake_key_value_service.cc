#include "support/fake_key_value_service.h"

#include <utility>

namespace wagtailwind::testing {

using platform::KeyValueOutcomeUnknown;
using platform::KeyValueRateLimited;
using platform::KeyValueUnavailable;
using platform::LeaseExpired;
using platform::LeaseId;
using platform::Revision;
using platform::SwapResult;
using platform::VersionedValue;

void FakeKeyValueService::SetDown(bool down) {
  const std::lock_guard lock(m_mutex);
  m_down = down;
  m_changed.notify_all();
}

void FakeKeyValueService::LimitNextCalls(int count) {
  const std::lock_guard lock(m_mutex);
  m_limited_calls = count;
}

void FakeKeyValueService::FailNextReads(int count) {
  const std::lock_guard lock(m_mutex);
  m_failing_reads = count;
}

void FakeKeyValueService::LoseNextAnswers(int count) {
  const std::lock_guard lock(m_mutex);
  m_lost_answers = count;
}

void FakeKeyValueService::LoseNextRequests(int count) {
  const std::lock_guard lock(m_mutex);
  m_lost_requests = count;
}

void FakeKeyValueService::SetStaleReads(bool stale) {
  const std::lock_guard lock(m_mutex);
  m_stale = stale;
}

void FakeKeyValueService::BeforeNextSwap(std::function<void()> hook) {
  const std::lock_guard lock(m_mutex);
  m_before_swap = std::move(hook);
}

void FakeKeyValueService::ExpireLease(LeaseId lease) {
  const std::lock_guard lock(m_mutex);
  EndLease(lease);
}

std::uint64_t FakeKeyValueService::Reads() const {
  const std::lock_guard lock(m_mutex);
  return m_reads;
}

std::uint64_t FakeKeyValueService::Swaps() const {
  const std::lock_guard lock(m_mutex);
  return m_swaps;
}

void FakeKeyValueService::AwaitWatches(std::uint64_t count) {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [&] { return m_watches >= count; });
}

std::optional<VersionedValue> FakeKeyValueService::Get(std::string_view key) {
  const std::lock_guard lock(m_mutex);
  ++m_reads;
  ThrowIfFaulty(true);
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  return m_stale && entry.previous.revision > 0 ? entry.previous : entry.present;
}

SwapResult FakeKeyValueService::CompareAndSwap(std::string_view key, Revision expected,
                                               std::string_view value, LeaseId lease) {
  std::unique_lock lock(m_mutex);
  if (const std::function<void()> hook = std::exchange(m_before_swap, nullptr)) {
    lock.unlock();
    hook();
    lock.lock();
  }
  ++m_swaps;
  ThrowIfFaulty(false);
  if (m_lost_requests > 0) {
    --m_lost_requests;
    throw KeyValueOutcomeUnknown("request lost");
  }
  if (lease != 0 && !m_leases.contains(lease)) {
    throw LeaseExpired("lease ended");
  }
  const auto found = m_entries.find(key);
  const Revision present = found == m_entries.end() ? 0 : found->second.present.revision;
  SwapResult result{present == expected, present};
  if (result.swapped) {
    Entry& entry = m_entries[std::string(key)];
    result.revision = ++m_revision;
    entry.previous =
        std::exchange(entry.present, VersionedValue{std::string(value), result.revision});
    entry.lease = lease;
    m_changed.notify_all();
  }
  if (m_lost_answers > 0) {
    --m_lost_answers;
    throw KeyValueOutcomeUnknown("answer lost");
  }
  return result;
}

std::optional<VersionedValue> FakeKeyValueService::Watch(std::string_view key, Revision after,
                                                         std::chrono::milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  ++m_watches;
  m_changed.notify_all();
  ThrowIfFaulty(true);
  const auto has_newer = [&] {
    const auto found = m_entries.find(key);
    return found != m_entries.end() && found->second.present.revision > after;
  };
  m_changed.wait_for(lock, timeout, [&] { return m_down || has_newer(); });
  ThrowIfFaulty(true);
  if (!has_newer()) {
    return std::nullopt;
  }
  return m_entries.find(key)->second.present;
}

LeaseId FakeKeyValueService::GrantLease(std::chrono::milliseconds /*time_to_live*/) {
  const std::lock_guard lock(m_mutex);
  ThrowIfFaulty(false);
  m_leases.insert(++m_last_lease);
  return m_last_lease;
}

void FakeKeyValueService::KeepAlive(LeaseId lease) {
  const std::lock_guard lock(m_mutex);
  ThrowIfFaulty(false);
  if (!m_leases.contains(lease)) {
    throw LeaseExpired("lease ended");
  }
}

void FakeKeyValueService::Revoke(LeaseId lease) {
  const std::lock_guard lock(m_mutex);
  ThrowIfFaulty(false);
  EndLease(lease);
}

void FakeKeyValueService::ThrowIfFaulty(bool read) {
  if (m_down) {
    throw KeyValueUnavailable("down");
  }
  if (m_limited_calls > 0) {
    --m_limited_calls;
    throw KeyValueRateLimited("limited");
  }
  if (read && m_failing_reads > 0) {
    --m_failing_reads;
    throw KeyValueUnavailable("read failed");
  }
}

void FakeKeyValueService::EndLease(LeaseId lease) {
  std::erase_if(m_entries, [&](const auto& item) { return item.second.lease == lease; });
  m_leases.erase(lease);
}

}  // namespace wagtailwind::testing
