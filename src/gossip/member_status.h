#ifndef WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_
#define WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_

#include <cstdint>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief What is known of the state of a member, in the order in which states replace each other.
struct MemberStatus {
  Incarnation incarnation = 0;
  std::uint32_t state_number = 0;
  MemberState state = MemberState::kAlive;
  /// The incarnation was once seen leaving.
  bool has_left = false;

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// \brief The status that results from two; commutative, associative and idempotent.
[[nodiscard]] MemberStatus MergeStatus(const MemberStatus& a, const MemberStatus& b) noexcept;

/// \brief Identifies an incarnation of an instance in short messages.
[[nodiscard]] std::uint64_t MemberKey(const InstanceName& instance,
                                      Incarnation incarnation) noexcept;

/// \brief Text of a state, as in the state dump.
[[nodiscard]] const char* StateName(MemberState state) noexcept;

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_STATUS_H_
