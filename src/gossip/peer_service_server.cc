#include "gossip/peer_service_server.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "gossip/member_codec.h"

namespace wagtailwind::gossip {

namespace {

constexpr std::uint32_t kNeverConfirmed = 0xffffffffU;

}  // namespace

kj::Promise<void> PeerServiceServer::members(MembersContext context) {
  const std::vector<Member> members = m_members.AllMembers();
  auto records = context.getResults().initMembers(static_cast<unsigned>(members.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    EncodeMember(members[i], records[i]);
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerServiceServer::configuration(ConfigurationContext context) {
  // The digest is read first, because a document that is newer than the digest is harmless, but the
  // confirmation must not be for a newer version than the document's.
  const records::ReplicaDigest digest = m_configuration.Digest();
  auto results = context.getResults();
  results.setVersion(digest.version);
  results.setConfirmationAgeMs(kNeverConfirmed);
  if (digest.confirmation_age.has_value()) {
    results.setConfirmationAgeMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(digest.confirmation_age->count(), 0, kNeverConfirmed - 1)));
  }
  if (digest.version > context.getParams().getAfterVersion()) {
    const std::string document = m_configuration.Document();
    results.setDocument(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(document.data()), document.size()));
  }
  return kj::READY_NOW;
}

}  // namespace wagtailwind::gossip
