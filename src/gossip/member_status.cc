#include "gossip/member_status.h"

#include <tuple>

#include "core/hash.h"

namespace wagtailwind::gossip {

namespace {

// Among statuses with the same state number, the greater enumerator takes precedence.
static_assert(MemberState::kAlive < MemberState::kSuspect);
static_assert(MemberState::kSuspect < MemberState::kLeaving);
static_assert(MemberState::kLeaving < MemberState::kDead);

// Makes leaving final: a status that has left is at least kLeaving.
MemberStatus Normalise(MemberStatus status) noexcept {
  status.has_left = status.has_left || status.state == MemberState::kLeaving;
  if (status.has_left && status.state < MemberState::kLeaving) {
    status.state = MemberState::kLeaving;
  }
  return status;
}

}  // namespace

MemberStatus MergeStatus(const MemberStatus& a, const MemberStatus& b) noexcept {
  const MemberStatus first = Normalise(a);
  const MemberStatus second = Normalise(b);
  if (first.incarnation != second.incarnation) {
    return first.incarnation > second.incarnation ? first : second;
  }
  const bool first_wins =
      std::tuple(first.state_number, first.state) >= std::tuple(second.state_number, second.state);
  MemberStatus merged = first_wins ? first : second;
  merged.has_left = first.has_left || second.has_left;
  return Normalise(merged);
}

std::uint64_t MemberKey(const InstanceName& instance, Incarnation incarnation) noexcept {
  return StableHash(instance.value(), incarnation);
}

const char* StateName(MemberState state) noexcept {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

}  // namespace wagtailwind::gossip
