#include <chrono>
#include <string>
#include <string_view>

#include "core/random_source.h"
#include "gossip/byte_budget.h"
#include "gossip/datagram.h"
#include "support/gossip_cluster.h"

// Included last, because Criterion's macro Test conflicts with a name in Abseil's headers.
#include <criterion/criterion.h>

namespace {

using wagtailwind::gossip::Datagram;
using wagtailwind::gossip::DecodeDatagram;
using wagtailwind::gossip::EncodeDatagram;
using wagtailwind::testing::GossipCluster;

std::optional<Datagram> Decode(std::string_view bytes) {
  return DecodeDatagram(std::as_bytes(std::span(bytes)));
}

Datagram Sample(GossipCluster& cluster) {
  Datagram datagram;
  datagram.sender = cluster.NameOf(1);
  datagram.sender_incarnation = cluster.Table(1).Self().incarnation;
  datagram.kind = wagtailwind::gossip::DatagramKind::kProbeRequest;
  datagram.target = cluster.NameOf(2);
  datagram.configuration = {7, std::chrono::milliseconds(1234)};
  datagram.change = "change";
  datagram.members = {cluster.Table(3).Self()};
  datagram.statuses = {{99, wagtailwind::gossip::MemberState::kSuspect, 4}};
  datagram.loads = {{5, 123'456, std::chrono::milliseconds(77)}};
  datagram.pools = {{1, 2, 3, 4, std::chrono::milliseconds(5)}};
  datagram.introduce = true;
  return datagram;
}

}  // namespace

// Guards against fields that are lost in encoding or decoding.
Test(gossip_datagram, a_datagram_round_trips_through_its_encoding) {
  GossipCluster cluster({.nodes = 8, .zones = 2});
  const Datagram sent = Sample(cluster);
  const std::optional<Datagram> got = Decode(EncodeDatagram(sent));
  cr_assert(got.has_value());
  cr_assert(got->sender == sent.sender && got->target == sent.target && got->kind == sent.kind);
  cr_assert_eq(got->change, "change");
  cr_assert_eq(got->configuration.confirmation_age->count(), 1234);
  cr_assert(got->members.front().endpoint == sent.members.front().endpoint);
  cr_assert_eq(got->statuses.front().state_number, 4);
  // Within one part in 2,000.
  cr_assert_leq(123'456 - got->loads.front().work_tokens, 64);
  cr_assert_eq(got->loads.front().age.count(), 77);
  cr_assert_eq(got->pools.front().capacity, 4);
  cr_assert(got->introduce && !got->pull_configuration);
}

// Guards against corrupt datagrams that are accepted, crash the process or are not counted.
Test(gossip_datagram, truncated_and_flipped_bytes_are_dropped_and_counted) {
  GossipCluster cluster({.nodes = 8, .zones = 2});
  const std::string bytes = EncodeDatagram(Sample(cluster));
  std::uint64_t injected = 0;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cluster.Inject(0, bytes.substr(0, size));
    ++injected;
  }
  wagtailwind::SeededRandomSource random(20);
  for (int i = 0; i < 2000; ++i) {
    std::string flipped = bytes;
    flipped[random.NextBelow(flipped.size())] ^= static_cast<char>(1U << random.NextBelow(8));
    cluster.Inject(0, flipped);
    ++injected;
  }
  cluster.Inject(0, bytes + std::string(1400, 'x'));
  ++injected;
  const auto& malformed =
      cluster.Metrics(0).GetCounter("gossip_dropped_total{reason=\"malformed\"}");
  cr_assert_eq(malformed.value(), injected);
}

// Guards against malicious messages with a valid checksum that make the receiver throw or read out
// of bounds.
Test(gossip_datagram, corrupt_messages_with_a_valid_checksum_never_throw) {
  GossipCluster cluster({.nodes = 8, .zones = 2});
  const std::string packed = EncodeDatagram(Sample(cluster)).substr(4);
  wagtailwind::SeededRandomSource random(21);
  for (std::size_t size = 0; size < packed.size(); ++size) {
    cluster.Inject(0, wagtailwind::gossip::detail::PrependChecksum(packed.substr(0, size)));
  }
  for (int i = 0; i < 20'000; ++i) {
    std::string flipped = packed;
    for (std::uint64_t flips = random.NextBelow(4); flips < 4; ++flips) {
      flipped[random.NextBelow(flipped.size())] ^= static_cast<char>(1U << random.NextBelow(8));
    }
    cluster.Inject(0, wagtailwind::gossip::detail::PrependChecksum(flipped));
  }
  cluster.Run(std::chrono::seconds(1));
  cr_assert(cluster.Table(0).Self().instance == cluster.NameOf(0));
}

// Guards against datagrams that change tables although their sender is unknown and sent no record
// of its own.
Test(gossip_datagram, data_of_an_unknown_sender_is_ignored) {
  GossipCluster cluster({.nodes = 8, .zones = 2});
  Datagram datagram = Sample(cluster);
  datagram.sender = wagtailwind::InstanceName("stranger");
  datagram.members.front().state = wagtailwind::gossip::MemberState::kDead;
  cluster.Inject(0, EncodeDatagram(datagram));
  cr_assert_eq(cluster.StateIn(0, 3), wagtailwind::gossip::MemberState::kAlive);
  cr_assert_eq(
      cluster.Metrics(0).GetCounter("gossip_dropped_total{reason=\"unknown_sender\"}").value(), 1);
}

// Guards against a budget that permits more bytes than its rate and burst.
Test(gossip_datagram, the_byte_budget_holds_for_any_pattern_of_sends) {
  wagtailwind::SeededRandomSource random(22);
  wagtailwind::testing::FakeClock clock;
  wagtailwind::gossip::ByteBudget budget(1500, 64 * 1024);
  const auto start = clock.Now();
  double sent = 0;
  for (int i = 0; i < 50'000; ++i) {
    clock.Advance(std::chrono::milliseconds(random.NextBelow(50)));
    const std::size_t bytes = 28 + random.NextBelow(1400);
    sent += budget.TrySpend(bytes, clock.Now()) ? static_cast<double>(bytes) : 0;
    const double seconds = std::chrono::duration<double>(clock.Now() - start).count();
    cr_assert_leq(sent, 1500 * seconds + 64 * 1024 + 1);
  }
}
