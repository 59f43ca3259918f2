#ifndef WAGTAILWIND_GOSSIP_MEMBER_CODEC_H_
#define WAGTAILWIND_GOSSIP_MEMBER_CODEC_H_

#include <optional>

#include "gossip/member.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::gossip {

/// \brief Writes a member into a message.
void EncodeMember(const Member& member, rpc::schema::MemberRecord::Builder record);

/// \brief Reads a member; returns nullopt if a field has an invalid value.
[[nodiscard]] std::optional<Member> DecodeMember(rpc::schema::MemberRecord::Reader record);

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_CODEC_H_
