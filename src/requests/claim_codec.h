#ifndef WAGTAILWIND_REQUESTS_CLAIM_CODEC_H_
#define WAGTAILWIND_REQUESTS_CLAIM_CODEC_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/ids.h"

namespace wagtailwind::requests {

namespace detail {
struct MalformedClaimsTag {
  static constexpr const char* kName = "malformed_claims";
};
}  // namespace detail

/// \brief Thrown if a value of the claim log can't be decoded or its segments are inconsistent.
using MalformedClaims = wagtailwind::detail::NamedError<detail::MalformedClaimsTag>;

/// \brief 128-bit hash of organisation and request key.
using KeyHash = std::array<std::uint8_t, 16>;

/// \brief One claim of a key.
struct ClaimEntry {
  KeyHash key_hash{};
  RequestId attempt{};
  /// Seconds since the Unix epoch.
  std::uint32_t claimed_at = 0;
  /// The claimant will never send the call, so the key may be claimed again.
  bool abandoned = false;

  friend bool operator==(const ClaimEntry&, const ClaimEntry&) = default;
};

/// \brief Refers to a sealed segment of a partition's log.
struct SegmentReference {
  /// Hash of the encoded segment.
  std::uint64_t id = 0;
  std::uint32_t entry_count = 0;
  /// Latest claim time in the segment, in seconds since the Unix epoch.
  std::uint32_t newest_claim = 0;

  friend bool operator==(const SegmentReference&, const SegmentReference&) = default;
};

/// \brief Head of a partition's log: the newest claims and the references to sealed segments.
struct ClaimHead {
  std::vector<ClaimEntry> entries;
  std::vector<SegmentReference> segments;
};

[[nodiscard]] std::string EncodeHead(const ClaimHead& head);
[[nodiscard]] std::string EncodeSegment(std::span<const ClaimEntry> entries);

/// \brief Decodes a head; throws MalformedClaims.
[[nodiscard]] ClaimHead DecodeHead(std::string_view text);

/// \brief Decodes a segment; throws MalformedClaims.
[[nodiscard]] std::vector<ClaimEntry> DecodeSegment(std::string_view text);

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_CLAIM_CODEC_H_
