#ifndef WAGTAILWIND_REQUESTS_CLAIM_PARTITION_H_
#define WAGTAILWIND_REQUESTS_CLAIM_PARTITION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "core/clock.h"
#include "platform/key_value_service.h"
#include "requests/claim_codec.h"
#include "requests/claim_log.h"

namespace wagtailwind::requests::detail {

/// \brief A claim, or the release of one, that waits to be committed.
struct PendingClaim {
  KeyHash key_hash{};
  RequestId attempt{};
  /// Releases the claim of this attempt instead of claiming.
  bool abandon = false;
  std::function<void(ClaimResult)> done;
};

/// \brief Attempts whose claims were released by this process. Bounded; a claim that falls out
/// stays taken, which is safe.
class AbandonedAttempts {
 public:
  void Add(const RequestId& attempt);
  [[nodiscard]] bool Contains(const RequestId& attempt) const;

 private:
  absl::flat_hash_set<RequestId> m_attempts;
  std::deque<RequestId> m_order;
};

/// \brief The log of one claim partition: an in-memory copy of the head and its segments, and the
/// commit procedure. Used by one thread at a time.
class ClaimPartitionLog {
 public:
  ClaimPartitionLog(std::string key, platform::KeyValueService& key_values, const Clock& clock);

  /// \brief Commits a batch with one compare-and-swap (more if another agent wrote in between).
  /// Returns the result of each claim. Throws nothing.
  [[nodiscard]] std::vector<ClaimResult> Commit(std::span<const PendingClaim> batch);

 private:
  [[nodiscard]] std::vector<ClaimResult> CommitOrThrow(std::span<const PendingClaim> batch);
  void Load();
  void Remember(const ClaimEntry& entry);
  [[nodiscard]] bool IsReusable(const ClaimEntry& entry) const;
  [[nodiscard]] std::vector<ClaimEntry> NewEntries(std::span<const PendingClaim> batch,
                                                   std::vector<ClaimResult>& results) const;
  [[nodiscard]] bool Write(std::span<const ClaimEntry> entries);
  void Seal(ClaimHead& head);
  void DropExpiredSegments(ClaimHead& head) const;
  [[nodiscard]] std::vector<ClaimEntry> ReadSegment(std::uint64_t id) const;
  [[nodiscard]] std::string SegmentKey(std::uint64_t id) const;
  [[nodiscard]] std::uint32_t NowSeconds() const;

  const std::string m_key;
  platform::KeyValueService& m_key_values;
  const Clock& m_clock;
  bool m_loaded = false;
  platform::Revision m_revision = 0;
  ClaimHead m_head;
  absl::flat_hash_map<KeyHash, ClaimEntry> m_claims;
  AbandonedAttempts m_abandoned;
};

}  // namespace wagtailwind::requests::detail

#endif  // WAGTAILWIND_REQUESTS_CLAIM_PARTITION_H_
