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

/// \brief A claim or the release of a claim that is queued for the next commit.
struct PendingClaim {
  KeyHash key_hash{};
  RequestId attempt{};
  /// Releases the claim of this attempt instead of claiming.
  bool abandon = false;
  std::function<void(ClaimResult)> done;
};

/// \brief Attempts whose claims this process has released. The oldest are evicted above a maximum;
/// their claims then stay taken, which is safe.
class AbandonedAttempts {
 public:
  void Add(const RequestId& attempt);
  [[nodiscard]] bool Contains(const RequestId& attempt) const;

 private:
  absl::flat_hash_set<RequestId> m_attempts;
  /// Oldest first.
  std::deque<RequestId> m_order;
};

/// \brief Reads and commits the log of one claim partition, with an in-memory copy of the head and
/// its segments. Not thread-safe.
class ClaimPartitionLog {
 public:
  ClaimPartitionLog(std::string key, platform::KeyValueService& key_values, const Clock& clock);

  /// \brief Commits a batch with one compare-and-swap of the head, or several if another agent
  /// writes at the same time. Returns the result of each claim. Does not throw; a failed commit
  /// gives kUnavailable for each claim.
  [[nodiscard]] std::vector<ClaimResult> Commit(std::span<const PendingClaim> batch);

 private:
  [[nodiscard]] std::vector<ClaimResult> CommitOrThrow(std::span<const PendingClaim> batch);
  /// Reads the head and all segments into memory.
  void Load();
  void CacheClaim(const ClaimEntry& entry);
  [[nodiscard]] bool IsReusable(const ClaimEntry& entry) const;
  /// Sets the result of each claim and returns the entries to write.
  [[nodiscard]] std::vector<ClaimEntry> NewEntries(std::span<const PendingClaim> batch,
                                                   std::vector<ClaimResult>& results) const;
  /// Adds entries to the head; false if the head was changed by another agent or the outcome is
  /// unknown.
  [[nodiscard]] bool Write(std::span<const ClaimEntry> entries);
  /// Moves the head's entries to a segment, merged with older segments of the same size class.
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
