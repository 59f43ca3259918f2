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

/// \brief A key-value service in memory whose faults a test sets.
class FakeKeyValueService final : public platform::KeyValueService {
 public:
  /// \brief Every call throws KeyValueUnavailable; waiting watches end.
  void SetDown(bool down);
  /// \brief The next calls throw KeyValueRateLimited.
  void LimitNextCalls(int count);
  /// \brief The next reads throw KeyValueUnavailable.
  void FailNextReads(int count);
  /// \brief The next swaps are made, and throw KeyValueOutcomeUnknown.
  void LoseNextAnswers(int count);
  /// \brief The next swaps are not made, and throw KeyValueOutcomeUnknown.
  void LoseNextRequests(int count);
  /// \brief Get() returns the value before the last one.
  void SetStaleReads(bool stale);
  /// \brief Runs before the next swap, without a lock, so that it may itself write.
  void BeforeNextSwap(std::function<void()> hook);
  /// \brief Ends a lease as if its time had passed.
  void ExpireLease(platform::LeaseId lease);

  [[nodiscard]] std::uint64_t Reads() const;
  [[nodiscard]] std::uint64_t Swaps() const;
  /// \brief Waits until this many watches have been called.
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
  void CheckReachable(bool read);
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
