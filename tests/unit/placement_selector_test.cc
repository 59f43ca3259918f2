#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

#include "placement/candidate_selector.h"

namespace {

using wagtailwind::AvailabilityZoneName;
using wagtailwind::ChatId;
using wagtailwind::EndpointName;
using wagtailwind::ModelName;
using wagtailwind::OrganisationName;
using wagtailwind::RegionName;
using wagtailwind::SeededRandomSource;
using wagtailwind::ServiceName;
using wagtailwind::SteadyTime;
using wagtailwind::gossip::Member;
using wagtailwind::gossip::MemberState;
using wagtailwind::placement::CandidateSelector;
using wagtailwind::placement::MakeCandidateSelector;
using wagtailwind::placement::PlacementRequest;

constexpr SteadyTime kNow{std::chrono::hours(10)};
constexpr int kChats = 2000;

Member Engine(int number) {
  Member member;
  const std::string name = "e" + std::to_string(number);
  member.instance = wagtailwind::InstanceName(name);
  member.role = wagtailwind::gossip::Role::kAgent;
  member.zone = AvailabilityZoneName("zone-" + std::to_string(number % 4));
  member.region = RegionName("here");
  member.incarnation = 1;
  member.endpoint.emplace();
  member.endpoint->endpoint = EndpointName(name);
  member.endpoint->pool = ServiceName("pool");
  member.endpoint->capacity = 1000;
  member.endpoint->models = {ModelName("m")};
  return member;
}

std::vector<Member> Engines(int count) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(Engine(i));
  }
  return members;
}

PlacementRequest Chat(int number) {
  PlacementRequest request;
  request.organisation = OrganisationName("o");
  request.chat = ChatId("chat-" + std::to_string(number));
  request.pool = ServiceName("pool");
  request.model = ModelName("m");
  return request;
}

PlacementRequest Hinted(int number, const std::string& endpoint, std::uint64_t incarnation = 1) {
  PlacementRequest request = Chat(number);
  request.hint = EndpointName(endpoint);
  request.hint_incarnation = incarnation;
  return request;
}

struct Fixture {
  SeededRandomSource random{7};
  std::unique_ptr<CandidateSelector> selector =
      MakeCandidateSelector({AvailabilityZoneName("zone-0"), RegionName("here")}, random);

  [[nodiscard]] std::vector<std::string> Names(const PlacementRequest& request,
                                               const std::vector<Member>& members,
                                               SteadyTime now = kNow, std::size_t limit = 8) const {
    std::vector<std::string> names;
    for (const Member* member : selector->Select(request, members, now, limit)) {
      names.push_back(member->endpoint->endpoint.value());
    }
    return names;
  }

  [[nodiscard]] std::string First(const PlacementRequest& request,
                                  const std::vector<Member>& members, SteadyTime now = kNow) const {
    return Names(request, members, now, 1).front();
  }

  [[nodiscard]] double ShareOf(const std::string& endpoint, const std::vector<Member>& members,
                               SteadyTime now = kNow) const {
    int count = 0;
    for (int chat = 0; chat < kChats; ++chat) {
      count += First(Chat(chat), members, now) == endpoint ? 1 : 0;
    }
    return static_cast<double>(count) / kChats;
  }
};

}  // namespace

// Guards against a hint that is followed to an agent that can't serve the request: one that
// restarted, left, serves another model or another pool, or does not exist.
Test(placement_selector, only_a_valid_hint_goes_first) {
  const Fixture fixture;
  std::vector<Member> members = Engines(10);
  const std::string home = fixture.First(Chat(1), members);
  const std::string other = home == "e5" ? "e6" : "e5";
  Member& hinted = members[home == "e5" ? 6 : 5];
  cr_assert_eq(fixture.First(Hinted(1, other), members), other);
  cr_assert_eq(fixture.First(Hinted(1, other, 2), members), home);
  cr_assert_eq(fixture.First(Hinted(1, "forged"), members), home);
  hinted.state = MemberState::kSuspect;
  cr_assert_eq(fixture.First(Hinted(1, other), members), home);
  hinted.state = MemberState::kAlive;
  hinted.endpoint->models = {ModelName("another")};
  cr_assert_eq(fixture.First(Hinted(1, other), members), home);
  hinted.endpoint->models = {ModelName("m")};
  hinted.endpoint->pool = ServiceName("another");
  cr_assert_eq(fixture.First(Hinted(1, other), members), home);
}

// Guards against hints that send calls without a prefix to reuse to one agent.
Test(placement_selector, a_hint_without_a_chat_is_ignored) {
  const Fixture fixture;
  const std::vector<Member> members = Engines(40);
  int followed = 0;
  for (int i = 0; i < 100; ++i) {
    PlacementRequest request = Hinted(1, "e39");
    request.chat = ChatId();
    followed += fixture.First(request, members) == "e39" ? 1 : 0;
  }
  cr_assert_eq(followed, 0);
}

// Guards against new work at an endpoint that is leaving or dead.
Test(placement_selector, a_leaving_agent_is_never_selected) {
  const Fixture fixture;
  std::vector<Member> members = Engines(4);
  members[2].state = MemberState::kLeaving;
  members[3].state = MemberState::kDead;
  for (int chat = 0; chat < 50; ++chat) {
    for (const std::string& name : fixture.Names(Hinted(chat, "e2"), members)) {
      cr_assert(name == "e0" || name == "e1");
    }
  }
}

// Guards against a first attempt at an agent that has probably failed.
Test(placement_selector, suspect_agents_and_other_regions_come_last) {
  const Fixture fixture;
  std::vector<Member> members = Engines(6);
  members[0].region = RegionName("far");
  members[1].state = MemberState::kSuspect;
  for (int chat = 0; chat < 50; ++chat) {
    const std::vector<std::string> names = fixture.Names(Chat(chat), members);
    cr_assert_eq(names.size(), 6);
    cr_assert_eq(names[4], "e1");
    cr_assert_eq(names[5], "e0");
  }
}

// Guards against a zone preference that moves chats away from their prefixes, and against one that
// uses all attempts in a busy zone.
Test(placement_selector, same_zone_goes_first_only_without_a_chat) {
  const Fixture fixture;
  const std::vector<Member> members = Engines(80);
  PlacementRequest no_chat = Chat(0);
  no_chat.chat = ChatId();
  for (int i = 0; i < 50; ++i) {
    int same_zone = 0;
    for (const Member* member : fixture.selector->Select(no_chat, members, kNow, 8)) {
      same_zone += member->zone.value() == "zone-0" ? 1 : 0;
    }
    cr_assert_geq(same_zone, 4);
    cr_assert_lt(same_zone, 8);
    cr_assert_eq(fixture.selector->Select(no_chat, members, kNow, 1).front()->zone.value(),
                 "zone-0");
  }
  int chats_in_zone = 0;
  for (int chat = 0; chat < 400; ++chat) {
    const Member* first = fixture.selector->Select(Chat(chat), members, kNow, 1).front();
    chats_in_zone += first->zone.value() == "zone-0" ? 1 : 0;
  }
  cr_assert_lt(chats_in_zone, 160);
}

// Guards against an engine with an empty cache that gets its full share of chats at once, also when
// several engines join at the same time.
Test(placement_selector, joining_agents_take_chats_gradually) {
  const Fixture fixture;
  std::vector<Member> members = Engines(10);
  for (const int joining : {6, 7, 8, 9}) {
    members[static_cast<std::size_t>(joining)].first_seen = kNow;
  }
  cr_assert_lt(fixture.ShareOf("e9", members), 0.04);
  const double half_way = fixture.ShareOf("e9", members, kNow + std::chrono::seconds(60));
  cr_assert(half_way > 0.045 && half_way < 0.09);
  cr_assert_gt(fixture.ShareOf("e9", members, kNow + std::chrono::seconds(120)), 0.08);
}

// Guards against weights that ignore the capacity of an engine.
Test(placement_selector, chats_follow_capacity) {
  const Fixture fixture;
  std::vector<Member> members = Engines(4);
  members[0].endpoint->capacity = 3000;
  cr_assert_float_eq(fixture.ShareOf("e0", members), 0.5, 0.05);
}

// Guards against chats that move at each restart of an endpoint that fails repeatedly.
Test(placement_selector, a_flapping_agent_stays_at_a_low_weight) {
  const Fixture fixture;
  std::vector<Member> members = Engines(10);
  SteadyTime now = kNow;
  (void)fixture.First(Chat(0), members, now);
  for (int restart = 0; restart < 3; ++restart) {
    now += std::chrono::seconds(60);
    members[3].incarnation += 1;
    members[3].first_seen = now;
    (void)fixture.First(Chat(0), members, now);
  }
  cr_assert_lt(fixture.ShareOf("e3", members, now + std::chrono::minutes(9)), 0.04);
  cr_assert_gt(fixture.ShareOf("e3", members, now + std::chrono::minutes(11)), 0.06);
}

// Guards against damping after ordinary planned restarts.
Test(placement_selector, two_restarts_are_not_flapping) {
  const Fixture fixture;
  std::vector<Member> members = Engines(10);
  for (int restart = 0; restart < 3; ++restart) {
    members[3].incarnation += 1;
    (void)fixture.First(Chat(0), members, kNow);
  }
  cr_assert_gt(fixture.ShareOf("e3", members), 0.06);
}

// Guards against two owners of a claim partition: routers in different locations, and with
// different ages of members and different hints, have to select the same first agent.
Test(placement_selector, the_partition_alone_decides_for_calls_that_must_not_repeat) {
  const Fixture fixture;
  SeededRandomSource random(99);
  const auto elsewhere =
      MakeCandidateSelector({AvailabilityZoneName("zone-3"), RegionName("far")}, random);
  std::vector<Member> members = Engines(6);
  std::vector<Member> seen_elsewhere = members;
  for (Member& member : seen_elsewhere) {
    member.first_seen = kNow - std::chrono::seconds(static_cast<int>(member.incarnation));
  }
  for (std::uint64_t partition = 0; partition < 64; ++partition) {
    PlacementRequest here = Hinted(1, "e1");
    here.partition_hash = partition * 0x9E3779B97F4A7C15U;
    PlacementRequest there = Chat(2);
    there.partition_hash = here.partition_hash;
    cr_assert_eq(
        fixture.First(here, members),
        elsewhere->Select(there, seen_elsewhere, kNow, 1).front()->endpoint->endpoint.value());
  }
}

Test(placement_selector, selects_nothing_without_members_or_with_a_zero_limit) {
  const Fixture fixture;
  cr_assert(fixture.Names(Chat(1), {}).empty());
  cr_assert(fixture.Names(Chat(1), Engines(3), kNow, 0).empty());
}
