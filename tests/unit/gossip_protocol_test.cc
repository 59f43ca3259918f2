#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "support/gossip_cluster.h"

// Included last, because Criterion's macro Test conflicts with a name in Abseil's headers.
#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wagtailwind::gossip::MemberState;
using wagtailwind::testing::GossipCluster;

// Returns whether node `of` has this state in the tables of all other live nodes.
bool AllSeeState(const GossipCluster& cluster, std::size_t of, MemberState state) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (i != of && cluster.IsAlive(i) && cluster.StateIn(i, of) != state) {
      return false;
    }
  }
  return true;
}

bool AllAlive(const GossipCluster& cluster) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (!AllSeeState(cluster, i, MemberState::kAlive)) {
      return false;
    }
  }
  return true;
}

bool AllHaveVersion(GossipCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.IsAlive(i) && cluster.Replica(i).Digest().version != version) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against a process that knows one other when it joins and never discovers the rest.
Test(gossip_protocol, nodes_that_know_one_seed_discover_all_others) {
  GossipCluster cluster({.nodes = 12, .zones = 3, .seed = 3, .full_membership = false});
  cr_assert(cluster.RunUntil([&] { return AllAlive(cluster); }, seconds(60)));
}

// Guards against failures that are not detected, and against a healthy node that is declared dead
// when datagrams are lost.
Test(gossip_protocol, a_killed_node_is_found_dead_and_datagram_loss_causes_no_false_deaths) {
  GossipCluster cluster({.nodes = 30, .zones = 3, .seed = 4, .loss = 0.05});
  cluster.Run(seconds(30));
  cluster.Kill(7);
  cr_assert(
      cluster.RunUntil([&] { return AllSeeState(cluster, 7, MemberState::kDead); }, seconds(20)));
  cluster.Run(seconds(60));
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cr_assert(i == 7 || !AllSeeState(cluster, i, MemberState::kDead));
    cr_assert_eq(cluster.Metrics(i).GetCounter("gossip_recoveries_total").value(), 0);
  }
}

// Guards against a paused process that stays dead in other tables after it resumes, and against
// false suspicions by the resumed process.
Test(gossip_protocol, a_paused_node_is_declared_dead_and_refutes_when_it_resumes) {
  GossipCluster cluster({.nodes = 12, .zones = 2, .seed = 5});
  cluster.Run(seconds(5));
  cluster.Pause(3);
  cr_assert(
      cluster.RunUntil([&] { return AllSeeState(cluster, 3, MemberState::kDead); }, seconds(20)));
  cluster.Resume(3);
  cr_assert(cluster.RunUntil([&] { return AllAlive(cluster); }, seconds(20)));
  cr_assert_gt(cluster.Table(3).Self().state_number, 0U);
  cr_assert_eq(cluster.Metrics(3).GetCounter("gossip_deaths_total").value(), 0);
}

// Guards against late gossip from a predecessor that replaces or changes its successor's record.
Test(gossip_protocol, a_restarted_node_replaces_its_predecessor_for_good) {
  GossipCluster cluster({.nodes = 8, .zones = 2, .seed = 6});
  const wagtailwind::gossip::Member predecessor = cluster.Table(2).Self();
  cluster.Run(seconds(5));
  cluster.Restart(2);
  const auto incarnation = cluster.Table(2).Self().incarnation;
  const auto replaced = [&] {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.Table(i).Find(cluster.NameOf(2))->incarnation != incarnation) {
        return false;
      }
    }
    return AllAlive(cluster);
  };
  cr_assert(cluster.RunUntil(replaced, seconds(30)));
  wagtailwind::gossip::Datagram late;
  late.sender = predecessor.instance;
  late.sender_incarnation = predecessor.incarnation;
  late.members = {predecessor};
  late.members.front().state_number = 100;
  cluster.Inject(0, EncodeDatagram(late));
  cluster.Run(seconds(10));
  cr_assert(replaced());
  cr_assert_eq(
      cluster.Metrics(0).GetCounter("gossip_dropped_total{reason=\"stale_sender\"}").value(), 1);
}

// Guards against a predecessor that resumes after its successor has started and never learns of a
// newer configuration, because all members drop its datagrams.
Test(gossip_protocol, a_probe_of_a_predecessor_is_acknowledged) {
  GossipCluster cluster({.nodes = 2, .zones = 1, .seed = 16});
  wagtailwind::gossip::Datagram probe;
  probe.kind = wagtailwind::gossip::DatagramKind::kProbe;
  probe.sender = cluster.Table(1).Self().instance;
  probe.sender_incarnation = cluster.Table(1).Self().incarnation;
  cluster.Run(seconds(5));
  cluster.Restart(1);
  cluster.Run(seconds(15));
  const auto& acknowledged = cluster.Metrics(0).GetCounter(
      "gossip_datagrams_total{direction=\"sent\",kind=\"acknowledgement\"}");
  const auto before = acknowledged.value();
  cluster.Inject(0, EncodeDatagram(probe));
  cr_assert_eq(acknowledged.value(), before + 1);
  cr_assert_eq(
      cluster.Metrics(0).GetCounter("gossip_dropped_total{reason=\"stale_sender\"}").value(), 1);
}

// Guards against changes that do not reach a node and against versions that decrease, when
// datagrams are lost and when changes are too large for a datagram.
Test(gossip_protocol, configuration_versions_reach_all_and_never_fall) {
  for (const std::size_t change_bytes : {std::size_t{300}, std::size_t{5000}}) {
    GossipCluster cluster({.nodes = 30, .zones = 3, .seed = 7, .loss = 0.1});
    std::vector<std::uint64_t> seen(cluster.size(), 0);
    for (std::uint64_t version = 1; version <= 12; ++version) {
      cluster.Replica(version % cluster.size()).Publish(version, change_bytes);
      cluster.Node(version % cluster.size()).NotifyConfigurationChanged();
      for (int step = 0; step < 20; ++step) {
        cluster.Run(milliseconds(20));
        for (std::size_t i = 0; i < cluster.size(); ++i) {
          const std::uint64_t current = cluster.Replica(i).Digest().version;
          cr_assert_geq(current, seen[i]);
          seen[i] = current;
        }
      }
    }
    cr_assert(cluster.RunUntil([&] { return AllHaveVersion(cluster, 12); }, seconds(10)));
  }
}

// Guards against confirmation ages that do not include the transit time.
Test(gossip_protocol, confirmation_ages_spread_and_keep_growing) {
  GossipCluster cluster({.nodes = 10, .zones = 2, .seed = 8});
  cluster.Replica(0).Publish(1, 300);
  const auto published = cluster.Time().Now();
  cluster.Run(seconds(10));
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const auto age = cluster.Replica(i).Digest().confirmation_age;
    cr_assert(age.has_value());
    const auto real = std::chrono::duration_cast<milliseconds>(cluster.Time().Now() - published);
    cr_assert_geq(age->count(), real.count());
  }
}

// Guards against the two sides of a network partition that do not merge after it heals, because
// each considers the other dead.
Test(gossip_protocol, zones_merge_after_a_partition_and_apply_the_newest_version) {
  GossipCluster cluster({.nodes = 16, .zones = 2, .seed = 9});
  cluster.Run(seconds(5));
  cluster.SetPartition(
      [&](std::size_t from, std::size_t to) { return cluster.ZoneOf(from) != cluster.ZoneOf(to); });
  cr_assert(
      cluster.RunUntil([&] { return cluster.StateIn(0, 1) == MemberState::kDead; }, seconds(60)));
  cluster.Run(seconds(120));
  cluster.Replica(0).Publish(5, 300);
  cluster.Run(seconds(10));
  cr_assert_eq(cluster.Replica(1).Digest().version, 0);
  cluster.SetPartition({});
  cr_assert(cluster.RunUntil([&] { return AllHaveVersion(cluster, 5); }, seconds(30)));
  cr_assert(cluster.RunUntil([&] { return AllAlive(cluster); }, seconds(120)));
}

// Guards against a leave that other members learn of only through failure detection.
Test(gossip_protocol, leaving_is_known_to_all_within_the_drain_delay) {
  GossipCluster cluster({.nodes = 30, .zones = 3, .seed = 10});
  cluster.Run(seconds(5));
  cluster.Node(4).Leave();
  cr_assert(
      cluster.RunUntil([&] { return AllSeeState(cluster, 4, MemberState::kLeaving); }, seconds(5)));
  cluster.Run(seconds(30));
  cr_assert(AllSeeState(cluster, 4, MemberState::kLeaving));
}

// Guards against a crash of a leaving member that is not detected, because a leaving member never
// has the state kSuspect.
Test(gossip_protocol, a_leaving_node_that_is_killed_is_found_dead) {
  GossipCluster cluster({.nodes = 12, .zones = 2, .seed = 11});
  cluster.Node(4).Leave();
  cluster.Run(seconds(5));
  cluster.Kill(4);
  cr_assert(
      cluster.RunUntil([&] { return AllSeeState(cluster, 4, MemberState::kDead); }, seconds(30)));
}

// Guards against load entries that are too old for the mean load, which ignores entries above 10 s.
Test(gossip_protocol, loads_of_the_zone_arrive_within_seconds) {
  GossipCluster cluster({.nodes = 160, .zones = 2, .seed = 12});
  cluster.Run(seconds(30));
  const std::vector<std::pair<std::uint32_t, milliseconds>> ages = cluster.Loads(0).Ages();
  // Three quarters of the zone's 80 nodes are agents.
  cr_assert_eq(ages.size(), 60);
  for (const auto& [hash, age] : ages) {
    cr_assert_lt(age.count(), 10'000);
  }
  cr_assert_eq(cluster.Loads(0).PoolSummaries(wagtailwind::ServiceName("pool-1")).size(), 1);
}

// Guards against control traffic that exceeds the budget, with and without frequent changes.
Test(gossip_protocol, sent_bytes_stay_within_the_budget) {
  wagtailwind::gossip::GossipSettings settings;
  settings.burst_bytes = 8 * 1024;
  settings.push_period = milliseconds(200);
  GossipCluster cluster({.nodes = 40, .zones = 2, .seed = 13, .gossip = settings});
  for (std::uint64_t version = 1; version <= 120; ++version) {
    cluster.Replica(0).Publish(version, 1100);
    cluster.Run(milliseconds(500));
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cr_assert_leq(cluster.SentBy(i).bytes, 60U * 1500U + settings.burst_bytes);
  }
  cr_assert(cluster.RunUntil([&] { return AllHaveVersion(cluster, 120); }, seconds(60)));
}

// Guards against a successor that never receives work because the list still shows its predecessor
// as leaving when it starts.
Test(gossip_protocol, the_list_does_not_mark_a_new_incarnation_as_leaving) {
  GossipCluster cluster({.nodes = 3, .zones = 1, .seed = 15});
  const std::vector<wagtailwind::platform::ListedInstance> list{
      {cluster.NameOf(2), wagtailwind::AvailabilityZoneName("zone-0"), "10.0.0.2:7000", true, {}}};
  for (int reading = 0; reading < 5; ++reading) {
    cluster.Node(0).UpdateInstanceList(list);
    cluster.Run(seconds(1));
  }
  cr_assert(AllAlive(cluster));
  cluster.Run(seconds(5));
  cluster.Node(0).UpdateInstanceList(list);
  cluster.Run(seconds(2));
  cr_assert(AllSeeState(cluster, 2, MemberState::kLeaving));
}

// Guards against the effects of an outdated list: it must not remove live members, and it marks a
// member as leaving only if two lists show the same incarnation as leaving.
Test(gossip_protocol, the_instance_list_brings_members_in_and_marks_leaving_ones) {
  GossipCluster cluster({.nodes = 4, .zones = 1, .seed = 14, .full_membership = false});
  cluster.Run(seconds(10));
  std::vector<wagtailwind::platform::ListedInstance> list{
      {cluster.NameOf(2), wagtailwind::AvailabilityZoneName("zone-0"), "10.0.0.2:7000", true, {}}};
  cluster.Node(0).UpdateInstanceList(list);
  cluster.Run(seconds(2));
  cr_assert(AllAlive(cluster));
  cluster.Node(0).UpdateInstanceList(list);
  cluster.Run(seconds(5));
  cr_assert(AllSeeState(cluster, 2, MemberState::kLeaving));
  cr_assert(AllSeeState(cluster, 1, MemberState::kAlive));
}
