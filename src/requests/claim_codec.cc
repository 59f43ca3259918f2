#include "requests/claim_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "absl/strings/escaping.h"
#include "requests/claims.capnp.h"

namespace wagtailwind::requests {

namespace {

// Splits 128 bits into the two 64-bit fields of the schema.
struct Halves {
  explicit Halves(const std::array<std::uint8_t, 16>& bytes) noexcept {
    std::memcpy(&high, bytes.data(), sizeof(high));
    std::memcpy(&low, bytes.data() + sizeof(high), sizeof(low));
  }

  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

std::array<std::uint8_t, 16> FromHalves(std::uint64_t high, std::uint64_t low) noexcept {
  std::array<std::uint8_t, 16> bytes{};
  std::memcpy(bytes.data(), &high, sizeof(high));
  std::memcpy(bytes.data() + sizeof(high), &low, sizeof(low));
  return bytes;
}

void WriteEntries(capnp::List<schema::ClaimEntry>::Builder list,
                  std::span<const ClaimEntry> entries) {
  for (unsigned int i = 0; i < entries.size(); ++i) {
    const ClaimEntry& entry = entries[i];
    const Halves key_hash(entry.key_hash);
    const Halves attempt(entry.attempt);
    list[i].setKeyHashHigh(key_hash.high);
    list[i].setKeyHashLow(key_hash.low);
    list[i].setAttemptHigh(attempt.high);
    list[i].setAttemptLow(attempt.low);
    list[i].setClaimedAt(entry.claimed_at);
    list[i].setAbandoned(entry.abandoned);
  }
}

std::vector<ClaimEntry> ReadEntries(capnp::List<schema::ClaimEntry>::Reader list) {
  std::vector<ClaimEntry> entries;
  entries.reserve(list.size());
  for (const schema::ClaimEntry::Reader entry : list) {
    entries.push_back({FromHalves(entry.getKeyHashHigh(), entry.getKeyHashLow()),
                       FromHalves(entry.getAttemptHigh(), entry.getAttemptLow()),
                       entry.getClaimedAt(), entry.getAbandoned()});
  }
  return entries;
}

// Encodes a message in base64, because a key-value service may store text only.
std::string EncodeMessage(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const char> chars = words.asChars();
  return absl::WebSafeBase64Escape(absl::string_view(chars.begin(), chars.size()));
}

// Decodes a message and returns what `function` reads from it; throws MalformedClaims.
template <typename Function>
auto Decode(std::string_view text, const Function& function) {
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes) ||
      bytes.size() % sizeof(capnp::word) != 0) {
    throw MalformedClaims("the value is not base64 of a whole number of 8-byte words");
  }
  kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader message(words);
    return function(message);
  } catch (const kj::Exception& error) {
    throw MalformedClaims(error.getDescription().cStr());
  }
}

}  // namespace

std::string EncodeHead(const ClaimHead& head) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::ClaimHead>();
  WriteEntries(root.initEntries(static_cast<unsigned int>(head.entries.size())), head.entries);
  auto segments = root.initSegments(static_cast<unsigned int>(head.segments.size()));
  for (unsigned int i = 0; i < head.segments.size(); ++i) {
    segments[i].setId(head.segments[i].id);
    segments[i].setEntryCount(head.segments[i].entry_count);
    segments[i].setNewestClaim(head.segments[i].newest_claim);
  }
  return EncodeMessage(message);
}

std::string EncodeSegment(std::span<const ClaimEntry> entries) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::ClaimSegment>();
  WriteEntries(root.initEntries(static_cast<unsigned int>(entries.size())), entries);
  return EncodeMessage(message);
}

ClaimHead DecodeHead(std::string_view text) {
  return Decode(text, [](capnp::MessageReader& message) {
    const auto root = message.getRoot<schema::ClaimHead>();
    ClaimHead head;
    head.entries = ReadEntries(root.getEntries());
    for (const schema::SegmentReference::Reader segment : root.getSegments()) {
      head.segments.push_back({segment.getId(), segment.getEntryCount(), segment.getNewestClaim()});
    }
    return head;
  });
}

std::vector<ClaimEntry> DecodeSegment(std::string_view text) {
  return Decode(text, [](capnp::MessageReader& message) {
    return ReadEntries(message.getRoot<schema::ClaimSegment>().getEntries());
  });
}

}  // namespace wagtailwind::requests
