#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUE_SERVICE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUE_SERVICE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "platform/key_value_service.h"

namespace wagtailwind::testing {

/// \brief An in-memory key-value service with fault injection.
class FakeKeyValueService final : public platform::KeyValueService {
 public:
  /// \brief Makes every call throw KeyValueUnavailable, waiting watches included.
  void SetDown(bool down);
  /// \brief Makes the next calls throw KeyValueRateLimited.
  void LimitNextCalls(int count);
  /// \brief Makes the next reads throw KeyValueUnavailable.
  void FailNextReads(int count);
  /// \brief Makes the next swaps throw KeyValueOutcomeUnknown after they are applied.
  void LoseNextAnswers(int count);
  /// \brief Makes the next swaps throw KeyValueOutcomeUnknown without being applied.
  void LoseNextRequests(int count);
  /// \brief Makes Get() return the previous value of a key instead of the current one.
  void SetStaleReads(bool stale);
  /// \brief Sets a hook for the next swap. It runs without the lock, so that it can write itself.
  void BeforeNextSwap(std::function<void()> hook);
  /// \brief Ends a lease as if its time to live had passed, and removes its entries.
  void ExpireLease(platform::LeaseId lease);

  [[nodiscard]] std::uint64_t Reads() const;
  [[nodiscard]] std::uint64_t Swaps() const;
  /// \brief Waits until Watch() has been called this many times.
  void AwaitWatches(std::uint64_t count);

  [[nodiscard]] std::optional<platform::VersionedValue> Get(std::string_view key) override;
  [[nodiscard]] platform::SwapResult CompareAndSwap(std::string_view key,
                                                    platform::Revision expected,
                                                    std::string_view value,
                                                    platform::LeaseId lease) override;
  [[nodiscard]] std::optional<platform::VersionedValue> Watch(
      std::string_view key, platform::Revision after, std::chrono::milliseconds timeout) override;
  [[nodiscard]] platform::LeaseId GrantLease(std::chrono::milliseconds time_to_live) override;
  void KeepAlive(platform::LeaseId lease) override;
  void Revoke(platform::LeaseId lease) override;

 private:
  struct Entry {
    platform::VersionedValue present;
    platform::VersionedValue previous;
    platform::LeaseId lease = 0;
  };
  /// Throws the exception of the active fault, if any.
  void ThrowIfFaulty(bool read);
  void EndLease(platform::LeaseId lease);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry, std::less<>> m_entries;
  std::set<platform::LeaseId> m_leases;
  platform::Revision m_revision = 0;
  platform::LeaseId m_last_lease = 0;
  bool m_down = false;
  bool m_stale = false;
  int m_limited_calls = 0;
  int m_failing_reads = 0;
  int m_lost_answers = 0;
  int m_lost_requests = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_swaps = 0;
  std::uint64_t m_watches = 0;
  std::function<void()> m_before_swap;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUE_SERVICE_H_
