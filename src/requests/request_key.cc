#include <cctype>
#include <string>

#include "core/hash.h"
#include "requests/claim_log.h"

namespace wagtailwind::requests {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
// An hour below the retention of claims (24 h), so that a claim outlives the acceptance of its key.
constexpr std::chrono::hours kMaxKeyAge{23};
// How far the timestamp of a key may be in the future, for a caller's clock that is ahead.
constexpr std::chrono::minutes kMaxKeyClockSkew{5};

bool IsDashPosition(std::size_t position) noexcept {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

std::uint64_t HexValue(char digit) noexcept {
  return digit <= '9' ? static_cast<std::uint64_t>(digit - '0')
                      : static_cast<std::uint64_t>(digit - 'a' + 10);
}

}  // namespace

std::optional<RequestKey> ParseRequestKey(std::string_view text) {
  if (text.size() != kUuidLength) {
    return std::nullopt;
  }
  // Converts to lower case, because upper and lower case spellings of a UUID are the same key.
  RequestKey key;
  std::uint64_t milliseconds = 0;
  constexpr std::size_t kTimeDigits = 12;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char letter = static_cast<char>(std::tolower(static_cast<unsigned char>(text[i])));
    key.text.push_back(letter);
    if (IsDashPosition(i)) {
      if (letter != '-') {
        return std::nullopt;
      }
      continue;
    }
    if (std::isxdigit(static_cast<unsigned char>(letter)) == 0) {
      return std::nullopt;
    }
    if (digits++ < kTimeDigits) {
      milliseconds = milliseconds << 4U | HexValue(letter);
    }
  }
  constexpr std::string_view kVariants = "89ab";
  if (key.text[kVersionPosition] != '7' ||
      kVariants.find(key.text[kVariantPosition]) == std::string_view::npos) {
    return std::nullopt;
  }
  key.created = WallTime(std::chrono::milliseconds(milliseconds));
  return key;
}

bool IsWithinAcceptanceWindow(const RequestKey& key, WallTime now) noexcept {
  return key.created > now - kMaxKeyAge && key.created < now + kMaxKeyClockSkew;
}

std::uint32_t ClaimPartition(const OrganisationName& organisation, std::string_view key) noexcept {
  return static_cast<std::uint32_t>(StableHash(key, StableHash(organisation.value())) %
                                    kClaimPartitions);
}

std::uint64_t PartitionHash(const ServiceName& service, std::uint32_t partition) noexcept {
  return StableHash(service.value(), partition);
}

}  // namespace wagtailwind::requests
