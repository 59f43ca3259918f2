#include "requests/claim_partition.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <optional>
#include <utility>

#include "core/hash.h"
#include "core/mutant.h"
#include "requests/log_events.h"

namespace wagtailwind::requests::detail {

namespace {

constexpr std::size_t kMaxAbandonedAttempts = 10'000;
constexpr std::size_t kMaxHeadEntries = 128;
constexpr int kMaxCommitAttempts = 5;
constexpr std::uint32_t kRetentionSeconds = 24 * 3600;

// Segments of a size class are merged eight at a time, so that each entry is rewritten at most
// three times and a partition of 100,000 claims has about 25 segments. A value is limited to 1 MB;
// 20,000 entries can take 1.07 MB in base64, hence the lower maximum.
constexpr std::size_t kMergeFanIn = 8;
constexpr std::uint32_t kMaxSegmentEntries = 14'000;

std::uint32_t SizeClass(std::uint32_t entries) noexcept {
  std::uint32_t size_class = 0;
  for (std::uint32_t limit = kMaxHeadEntries; entries > limit; limit *= kMergeFanIn) {
    ++size_class;
  }
  return size_class;
}

/// Returns how many segments at the end of the list to merge with a new one; 0 for no merge.
std::size_t CountSegmentsToMerge(const std::vector<SegmentReference>& segments,
                                 std::uint32_t new_entries) {
  const std::uint32_t size_class = SizeClass(new_entries);
  std::uint32_t total = new_entries;
  std::size_t count = 0;
  for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
    if (SizeClass(segment->entry_count) > size_class ||
        total + segment->entry_count > kMaxSegmentEntries) {
      break;
    }
    total += segment->entry_count;
    ++count;
  }
  return count + 1 >= kMergeFanIn ? count : 0;
}

}  // namespace

void AbandonedAttempts::Add(const RequestId& attempt) {
  if (!m_attempts.insert(attempt).second) {
    return;
  }
  m_order.push_back(attempt);
  if (m_order.size() > kMaxAbandonedAttempts) {
    m_attempts.erase(m_order.front());
    m_order.pop_front();
  }
}

bool AbandonedAttempts::Contains(const RequestId& attempt) const {
  return m_attempts.contains(attempt);
}

ClaimPartitionLog::ClaimPartitionLog(std::string key, platform::KeyValueService& key_values,
                                     const Clock& clock)
    : m_key(std::move(key)), m_key_values(key_values), m_clock(clock) {}

std::vector<ClaimResult> ClaimPartitionLog::Commit(std::span<const PendingClaim> batch) {
  try {
    return CommitOrThrow(batch);
  } catch (const Error& error) {
    Log(kClaimCommitFailed, {{"key", m_key}, {"error", error.name()}, {"message", error.what()}});
    // The write may have taken effect. These attempts will never be sent, so this process may claim
    // their keys again; all other processes have to treat the keys as taken.
    m_loaded = false;
    for (const PendingClaim& pending : batch) {
      m_abandoned.Add(pending.attempt);
    }
    return std::vector<ClaimResult>(batch.size(), ClaimResult::kUnavailable);
  }
}

std::vector<ClaimResult> ClaimPartitionLog::CommitOrThrow(std::span<const PendingClaim> batch) {
  for (const PendingClaim& pending : batch) {
    if (pending.abandon) {
      m_abandoned.Add(pending.attempt);
    }
  }
  bool is_fresh = false;
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    if (!m_loaded) {
      Load();
      is_fresh = true;
    }
    std::vector<ClaimResult> results(batch.size(), ClaimResult::kTaken);
    const std::vector<ClaimEntry> entries = NewEntries(batch, results);
    // Another agent may have released a claim that is taken in this copy, so kTaken is returned
    // only after a read in this call. A successful compare-and-swap proves that the copy was
    // current.
    const bool may_be_stale = entries.empty() && !is_fresh &&
                              std::count(results.begin(), results.end(), ClaimResult::kTaken) > 0;
    if (!may_be_stale && (entries.empty() || Write(entries))) {
      return results;
    }
    m_loaded = false;
  }
  throw platform::KeyValueUnavailable("the claim log changed during each commit: " + m_key);
}

std::vector<ClaimEntry> ClaimPartitionLog::NewEntries(std::span<const PendingClaim> batch,
                                                      std::vector<ClaimResult>& results) const {
  std::vector<ClaimEntry> entries;
  absl::flat_hash_set<KeyHash> in_batch;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const PendingClaim& pending = batch[i];
    const auto found = m_claims.find(pending.key_hash);
    const bool is_own = found != m_claims.end() && found->second.attempt == pending.attempt;
    if (pending.abandon) {
      if (is_own && !found->second.abandoned) {
        entries.push_back({pending.key_hash, pending.attempt, found->second.claimed_at, true});
      }
      continue;
    }
    if (is_own && !found->second.abandoned) {
      // The claim is stored already, by a write whose answer was lost or that followed a failed
      // one.
      results[i] = ClaimResult::kClaimed;
      continue;
    }
    const bool is_free = found == m_claims.end() || IsReusable(found->second) ||
                         IsMutantEnabled("claims_ignore_taken_keys");
    if (is_free && in_batch.insert(pending.key_hash).second) {
      entries.push_back({pending.key_hash, pending.attempt, NowSeconds(), false});
      results[i] = ClaimResult::kClaimed;
    }
  }
  return entries;
}

bool ClaimPartitionLog::IsReusable(const ClaimEntry& entry) const {
  return entry.abandoned || m_abandoned.Contains(entry.attempt);
}

void ClaimPartitionLog::Load() {
  m_claims.clear();
  m_head = {};
  m_revision = 0;
  const std::optional<platform::VersionedValue> value = m_key_values.Get(m_key);
  if (value) {
    m_head = DecodeHead(value->value);
    m_revision = value->revision;
  }
  for (const SegmentReference& segment : m_head.segments) {
    for (const ClaimEntry& entry : ReadSegment(segment.id)) {
      CacheClaim(entry);
    }
  }
  for (const ClaimEntry& entry : m_head.entries) {
    CacheClaim(entry);
  }
  Log(kClaimsLoaded, {{"key", m_key}, {"claims", m_claims.size()}});
  m_loaded = true;
}

void ClaimPartitionLog::CacheClaim(const ClaimEntry& entry) { m_claims[entry.key_hash] = entry; }

bool ClaimPartitionLog::Write(std::span<const ClaimEntry> entries) {
  if (IsMutantEnabled("claims_without_commit")) {
    std::for_each(entries.begin(), entries.end(), [this](const auto& entry) { CacheClaim(entry); });
    return true;
  }
  ClaimHead head = m_head;
  if (head.entries.size() + entries.size() > kMaxHeadEntries && !head.entries.empty()) {
    Seal(head);
  }
  head.entries.insert(head.entries.end(), entries.begin(), entries.end());
  platform::SwapResult result;
  try {
    result = m_key_values.CompareAndSwap(m_key, m_revision, EncodeHead(head));
  } catch (const platform::KeyValueOutcomeUnknown&) {
    // The next iteration reads the head. Either it contains the entries, or the swap is repeated
    // with the same revision, so that at most one of the two writes takes effect.
    return false;
  }
  if (!result.swapped) {
    return false;
  }
  m_head = std::move(head);
  m_revision = result.revision;
  std::for_each(entries.begin(), entries.end(), [this](const auto& entry) { CacheClaim(entry); });
  return true;
}

void ClaimPartitionLog::Seal(ClaimHead& head) {
  DropExpiredSegments(head);
  std::vector<ClaimEntry> entries;
  const std::size_t merged =
      CountSegmentsToMerge(head.segments, static_cast<std::uint32_t>(head.entries.size()));
  const auto first_merged = std::prev(head.segments.end(), static_cast<std::ptrdiff_t>(merged));
  for (auto segment = first_merged; segment != head.segments.end(); ++segment) {
    const std::vector<ClaimEntry> older = ReadSegment(segment->id);
    entries.insert(entries.end(), older.begin(), older.end());
  }
  entries.insert(entries.end(), head.entries.begin(), head.entries.end());
  SegmentReference reference;
  reference.entry_count = static_cast<std::uint32_t>(entries.size());
  for (const ClaimEntry& entry : entries) {
    reference.newest_claim = std::max(reference.newest_claim, entry.claimed_at);
  }
  const std::string text = EncodeSegment(entries);
  // The id is a hash of the content, so that repeating a seal after a lost answer writes the same
  // segment.
  reference.id = StableHash(text);
  const platform::SwapResult written =
      m_key_values.CompareAndSwap(SegmentKey(reference.id), 0, text);
  if (!written.swapped && ReadSegment(reference.id) != entries) {
    throw MalformedClaims("two segments with the same id: " + SegmentKey(reference.id));
  }
  head.segments.erase(first_merged, head.segments.end());
  head.segments.push_back(reference);
  head.entries.clear();
}

void ClaimPartitionLog::DropExpiredSegments(ClaimHead& head) const {
  const std::uint32_t now = NowSeconds();
  std::erase_if(head.segments, [now](const SegmentReference& segment) {
    return segment.newest_claim + kRetentionSeconds < now;
  });
}

std::vector<ClaimEntry> ClaimPartitionLog::ReadSegment(std::uint64_t id) const {
  const std::optional<platform::VersionedValue> value = m_key_values.Get(SegmentKey(id));
  if (!value) {
    throw MalformedClaims("a segment is missing: " + SegmentKey(id));
  }
  return DecodeSegment(value->value);
}

std::string ClaimPartitionLog::SegmentKey(std::uint64_t id) const {
  return m_key + "/" + std::to_string(id);
}

std::uint32_t ClaimPartitionLog::NowSeconds() const {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(m_clock.WallNow().time_since_epoch())
          .count());
}

}  // namespace wagtailwind::requests::detail
