#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/configuration_watchers.h"
#include "gossip/member_table.h"
#include "support/fake_clock.h"

// Included last, because Criterion's macro Test conflicts with a name in Abseil's headers.
#include <criterion/criterion.h>

namespace {

using wagtailwind::gossip::Member;
using wagtailwind::gossip::MemberKey;
using wagtailwind::gossip::MemberState;
using wagtailwind::gossip::MemberStatus;
using wagtailwind::gossip::MemberTable;
using wagtailwind::gossip::MergeStatus;

rc::Gen<MemberStatus> AnyStatus() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 4), rc::gen::inRange(0, 4),
                                     rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()),
                      [](const std::tuple<int, int, int, bool>& fields) {
                        const MemberStatus status{static_cast<std::uint64_t>(std::get<0>(fields)),
                                                  static_cast<std::uint32_t>(std::get<1>(fields)),
                                                  static_cast<MemberState>(std::get<2>(fields)),
                                                  std::get<3>(fields)};
                        // Tables contain only statuses that are the result of a merge.
                        return MergeStatus(status, status);
                      });
}

template <typename Property>
bool CheckProperty(const Property& property) {
  setenv("RC_PARAMS", "seed=1 max_success=500", 1);
  return rc::check(property);
}

Member MakeMember(const std::string& name, std::uint64_t incarnation) {
  Member member;
  member.instance = wagtailwind::InstanceName(name);
  member.zone = wagtailwind::AvailabilityZoneName("leicester");
  member.region = wagtailwind::RegionName("midlands");
  member.incarnation = incarnation;
  member.rpc_address = "10.0.0.1:1";
  member.gossip_address = "10.0.0.1:2";
  return member;
}

}  // namespace

namespace rc {
template <>
struct Arbitrary<MemberStatus> {
  static Gen<MemberStatus> arbitrary() { return AnyStatus(); }
};
}  // namespace rc

// Guards against tables that differ permanently because gossip arrived in a different order or
// twice.
Test(gossip_member, merging_is_commutative_associative_and_idempotent) {
  cr_assert(CheckProperty([](const MemberStatus& a, const MemberStatus& b, const MemberStatus& c) {
    RC_ASSERT(MergeStatus(a, b) == MergeStatus(b, a));
    RC_ASSERT(MergeStatus(MergeStatus(a, b), c) == MergeStatus(a, MergeStatus(b, c)));
    RC_ASSERT(MergeStatus(a, a) == a);
  }));
}

// Guards against records of a predecessor that replace its successor's, and against leaving members
// that return to alive and receive new work.
Test(gossip_member, the_higher_incarnation_wins_and_leaving_is_final) {
  cr_assert(CheckProperty([](const MemberStatus& a, const MemberStatus& b) {
    const MemberStatus merged = MergeStatus(a, b);
    RC_ASSERT(merged.incarnation == std::max(a.incarnation, b.incarnation));
    if (a.incarnation == b.incarnation) {
      RC_ASSERT(merged.state_number == std::max(a.state_number, b.state_number));
      RC_ASSERT(!(a.has_left || b.has_left) || merged.state >= MemberState::kLeaving);
    }
  }));
}

// Guards against processes that pull from each other although their tables agree on the members.
Test(gossip_member, digests_depend_on_content_and_not_on_order) {
  cr_assert(CheckProperty([](const std::vector<MemberStatus>& updates) {
    const wagtailwind::testing::FakeClock clock;
    MemberTable forward(MakeMember("self", 9), clock);
    MemberTable backward(MakeMember("self", 9), clock);
    const auto record = [](std::size_t index, const MemberStatus& status) {
      Member member = MakeMember("peer-" + std::to_string(index % 2), status.incarnation);
      member.state = status.state;
      member.state_number = status.state_number;
      return member;
    };
    for (std::size_t i = 0; i < updates.size(); ++i) {
      forward.Merge(record(i, updates[i]));
      backward.Merge(record(updates.size() - 1 - i, updates[updates.size() - 1 - i]));
    }
    RC_ASSERT(forward.Digest() == backward.Digest());
  }));
}

// Guards against old gossip that marks a dead member as alive, and against a refutation that fails
// to do so.
Test(gossip_member, a_tombstone_ignores_old_gossip_and_expires) {
  wagtailwind::testing::FakeClock clock;
  MemberTable table(MakeMember("self", 1), clock);
  const Member peer = MakeMember("peer", 5);
  table.Merge(peer);
  table.MergeState(MemberKey(peer.instance, 5), MemberState::kDead, 0);
  cr_assert_not(table.Merge(peer).has_value());
  cr_assert_not(table.Merge(MakeMember("peer", 4)).has_value());
  cr_assert_eq(table.Members()->size(), 1);
  cr_assert(table.MergeState(MemberKey(peer.instance, 5), MemberState::kAlive, 1).has_value());
  cr_assert_eq(table.FlapCount(peer.instance, std::chrono::seconds(300)), 1);
  table.MergeState(MemberKey(peer.instance, 5), MemberState::kDead, 1);
  cr_assert_eq(table.RemoveExpired(), 0);
  clock.Advance(MemberTable::kTombstoneRetention + std::chrono::seconds(1));
  cr_assert_eq(table.RemoveExpired(), 1);
  cr_assert_eq(table.FlapCount(peer.instance, std::chrono::seconds(300)), 0);
}

// Guards against a live process that accepts a report of its own failure, and against a process
// that refutes reports about its successor.
Test(gossip_member, a_process_refutes_for_its_own_incarnation_only) {
  const wagtailwind::testing::FakeClock clock;
  MemberTable table(MakeMember("self", 7), clock);
  Member claim = MakeMember("self", 7);
  claim.state = MemberState::kSuspect;
  claim.state_number = 3;
  cr_assert(table.Merge(claim)->refuted);
  cr_assert_eq(table.Self().state, MemberState::kAlive);
  cr_assert_eq(table.Self().state_number, 4);
  cr_assert_not(table.Merge(claim).has_value());
  cr_assert_not(table.Merge(MakeMember("self", 8)).has_value());
  cr_assert_eq(table.Self().incarnation, 7);
}

// Guards against zones in which no router, or every router, watches the configuration.
Test(gossip_member, three_live_routers_of_the_zone_watch_the_configuration) {
  std::vector<Member> members;
  members.reserve(10);
  for (int i = 0; i < 10; ++i) {
    members.push_back(MakeMember("router-" + std::to_string(i), 1));
  }
  members[0].role = wagtailwind::gossip::Role::kAgent;
  members[1].zone = wagtailwind::AvailabilityZoneName("derby");
  const wagtailwind::AvailabilityZoneName zone("leicester");
  const auto before = wagtailwind::gossip::ConfigurationWatchers(members, zone);
  cr_assert_eq(before.size(), 3);
  for (Member& member : members) {
    if (member.instance == before[0]) {
      member.state = MemberState::kLeaving;
    }
  }
  const auto after = wagtailwind::gossip::ConfigurationWatchers(members, zone);
  cr_assert_eq(after.size(), 3);
  cr_assert(after[0] == before[1] && after[1] == before[2]);
  cr_assert_not(wagtailwind::gossip::IsConfigurationWatcher(members, zone, members[0].instance));
}
