#ifndef WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_
#define WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_

#include <cstdint>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief Known state of a member. The fields are in the order of precedence in a merge.
struct MemberStatus {
  Incarnation incarnation = 0;
  std::uint32_t state_number = 0;
  MemberState state = MemberState::kAlive;
  /// Whether the incarnation was ever seen leaving.
  bool has_left = false;

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// \brief Merges two statuses; commutative, associative and idempotent.
[[nodiscard]] MemberStatus MergeStatus(const MemberStatus& a, const MemberStatus& b) noexcept;

/// \brief Returns a hash that identifies an incarnation of an instance in status reports.
[[nodiscard]] std::uint64_t MemberKey(const InstanceName& instance,
                                      Incarnation incarnation) noexcept;

/// \brief Returns the name of a state, as used in the state dump and in metrics.
[[nodiscard]] const char* StateName(MemberState state) noexcept;

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_
