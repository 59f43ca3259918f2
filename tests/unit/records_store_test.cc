#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <optional>

#include "records/configuration_store.h"
#include "records/configuration_watcher.h"
#include "records/initial_load.h"
#include "records/watch_schedule.h"
#include "support/fake_clock.h"
#include "support/fake_key_value_service.h"
#include "support/record_samples.h"

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind::testing;  // NOLINT(google-build-using-namespace)
using wagtailwind::InstanceName;
using wagtailwind::MetricsRegistry;
using wagtailwind::SeededRandomSource;
using wagtailwind::SteadyTime;
using wagtailwind::SystemClock;
using wagtailwind::records::ConfigurationStore;
using wagtailwind::records::ConfigurationVersion;
using wagtailwind::records::ConfigurationWatcher;
using wagtailwind::records::InitialLoad;
using wagtailwind::records::WatchSchedule;

// The serialized documents of versions 1 to `count`, and the delta to each of them from its
// predecessor.
struct Versions {
  std::vector<std::string> documents;
  std::vector<std::string> deltas;

  explicit Versions(int count) {
    FakeKeyValueService service;
    FakeClock clock;
    MetricsRegistry metrics;
    ConfigurationStore store(clock, metrics);
    for (int i = 0; i < count; ++i) {
      (void)Make(service, {PutOf("service", "s" + std::to_string(i % 3), "{}")});
      documents.push_back(service.Get("config")->value);
      store.TryApplyDocument(documents.back());
      deltas.push_back(store.ChangeAfter(static_cast<ConfigurationVersion>(i), 100'000).value());
    }
  }
};

struct StoreFixture {
  FakeClock clock;
  MetricsRegistry metrics;
  ConfigurationStore store{clock, metrics};
};

}  // namespace

// Guards against a return to an older configuration. Tries all orders in which four documents and
// the deltas between them can arrive.
Test(records_store, the_version_never_falls_in_any_order_of_offers) {
  const Versions versions(4);
  std::vector<int> order(versions.documents.size() + versions.deltas.size());
  std::iota(order.begin(), order.end(), 0);
  do {
    StoreFixture fixture;
    ConfigurationVersion before = 0;
    for (const int offer : order) {
      const auto index = static_cast<std::size_t>(offer / 2);
      const bool taken = offer % 2 == 0 ? fixture.store.TryApplyDocument(versions.documents[index])
                                        : fixture.store.TryApplyChange(versions.deltas[index]);
      const ConfigurationVersion after = fixture.store.Digest().version;
      cr_assert(taken ? after > before : after == before);
      cr_assert_eq(fixture.store.Current()->version, after);
      before = after;
    }
    cr_assert_eq(before, versions.documents.size());
    cr_assert_eq(fixture.store.Document(), versions.documents.back());
  } while (std::next_permutation(order.begin(), order.end()));
}

Test(records_store, malformed_offers_change_nothing) {
  StoreFixture fixture;
  for (const char* text : {"", "{", "[]", "{}", "null", R"({"format":2,"version":9})",
                           R"({"format":1,"version":"9","records":[],"recent_changes":[]})",
                           R"({"format":1,"version":-1,"records":[],"recent_changes":[]})",
                           R"({"format":1,"version":1.5,"records":[],"recent_changes":[]})"}) {
    cr_assert_not(fixture.store.TryApplyDocument(text));
    cr_assert_not(fixture.store.TryApplyChange(text));
  }
  cr_assert_eq(fixture.store.Digest().version, 0U);
  cr_assert(fixture.store.Document().empty());
}

// Guards against an unreadable record that blocks all other records of its version.
Test(records_store, a_record_that_is_not_understood_does_not_hold_back_the_version) {
  StoreFixture fixture;
  wagtailwind::records::Document document{3, {}, {}};
  document.records.push_back({"service", "bad", 1, 3, "x", "not json"});
  document.records.push_back({"service", "good", 1, 3, "x", "{}"});
  cr_assert(fixture.store.TryApplyDocument(ToText(document)));
  cr_assert_eq(fixture.store.Current()->services.size(), 1U);
}

// Guards against unbounded growth of the stored deltas, and against a delta that is larger than the
// requested maximum, such as one that does not fit in a datagram.
Test(records_store, the_last_256_deltas_are_kept) {
  const Versions versions(260);
  StoreFixture fixture;
  for (const std::string& document : versions.documents) {
    cr_assert(fixture.store.TryApplyDocument(document));
  }
  cr_assert_not(fixture.store.ChangeAfter(3, 10'000).has_value());
  cr_assert(fixture.store.ChangeAfter(4, 10'000).has_value());
  cr_assert_not(fixture.store.ChangeAfter(259, 10).has_value());
  cr_assert_not(fixture.store.ChangeAfter(260, 10'000).has_value());
}

// Guards against a confirmation age that is too low: one that does not grow with time, or that is
// carried over to another version.
Test(records_store, ages_add_up_and_hold_for_one_version_only) {
  const Versions versions(2);
  StoreFixture fixture;
  fixture.store.Confirm(0, 0ms);
  cr_assert_not(fixture.store.ConfirmationAge().has_value());
  fixture.store.TryApplyDocument(versions.documents[0]);
  fixture.store.Confirm(2, 0ms);
  cr_assert_not(fixture.store.ConfirmationAge().has_value());
  fixture.store.Confirm(1, 300ms);
  fixture.clock.Advance(200ms);
  cr_assert(fixture.store.ConfirmationAge() == 500ms);
  fixture.store.Confirm(1, 900ms);
  cr_assert(fixture.store.ConfirmationAge() == 500ms);
  fixture.store.Confirm(1, 100ms);
  cr_assert(fixture.store.Digest().confirmation_age == 100ms);
  fixture.store.TryApplyChange(versions.deltas[1]);
  cr_assert_not(fixture.store.ConfirmationAge().has_value());
}

// Guards against a watcher that misses changes, or that keeps an old version after an outage of the
// platform.
Test(records_watcher, follows_the_platform_through_an_outage) {
  FakeKeyValueService service;
  SystemClock clock;
  MetricsRegistry metrics;
  SeededRandomSource random(1);
  ConfigurationStore store(clock, metrics);
  ConfigurationWatcher watcher(
      service, store, [] { return true; }, clock, random, metrics);
  const auto await_confirmed = [&](ConfigurationVersion version) {
    while (store.Digest().version != version || !store.ConfirmationAge()) {
      std::this_thread::yield();
    }
  };
  service.AwaitWatches(1);
  StoreBasics(service);
  await_confirmed(1);
  service.SetDown(true);
  service.AwaitWatches(4);
  service.SetDown(false);
  (void)Make(service, {PutOf("service", "s", "{}")});
  await_confirmed(2);
  service.SetStaleReads(true);
  (void)Make(service, {PutOf("service", "t", "{}")});
  cr_assert_geq(store.Digest().version, 2U);
}

// Guards against overload of the platform by 440 processes that read continuously or all at once.
Test(records_watcher, others_read_only_when_stale_and_spread_over_a_minute) {
  SeededRandomSource random(1);
  const SteadyTime start{1h};
  std::vector<SteadyTime> reads;
  for (int process = 0; process < 100; ++process) {
    WatchSchedule schedule(random);
    SteadyTime now = start;
    cr_assert(schedule.Next(now, true, std::nullopt).action == WatchSchedule::Action::kWatch);
    cr_assert(schedule.Next(now, false, 29s).action == WatchSchedule::Action::kWait);
    WatchSchedule::Step step = schedule.Next(now, false, 31s);
    while (step.action == WatchSchedule::Action::kWait) {
      now += step.wait;
      step = schedule.Next(now, false, 31s);
    }
    reads.push_back(now);
    cr_assert(schedule.Next(now, false, 31s).action == WatchSchedule::Action::kWait);
  }
  const auto [first, last] = std::ranges::minmax(reads);
  cr_assert_geq((last - first) / 1s, 40);
  cr_assert_leq((last - start) / 1s, 61);
}

// Guards against all watchers calling the platform at once at the end of an outage.
Test(records_watcher, failures_back_off_with_jitter_up_to_four_seconds) {
  SeededRandomSource random(1);
  WatchSchedule schedule(random);
  SteadyTime now{1h};
  std::chrono::milliseconds longest{};
  for (int i = 0; i < 100; ++i) {
    schedule.OnFailure(now);
    const SteadyTime failed = now;
    WatchSchedule::Step step = schedule.Next(now, true, std::nullopt);
    cr_assert(step.action == WatchSchedule::Action::kWait);
    while (step.action == WatchSchedule::Action::kWait) {
      now += step.wait;
      step = schedule.Next(now, true, std::nullopt);
    }
    longest = std::max(longest, std::chrono::ceil<std::chrono::milliseconds>(now - failed));
  }
  cr_assert(longest > 2s && longest <= 4s);
  schedule.OnSuccess();
  schedule.OnFailure(now);
  cr_assert_leq(schedule.Next(now, true, std::nullopt).wait / 1ms, 250);
}

// Guards against a router that starts with a configuration older than an accepted change.
Test(records_initial_load, the_platform_comes_first_and_peers_only_after_seven_seconds) {
  const SteadyTime start{1h};
  InitialLoad load(start);
  load.SetReachablePeers(5);
  load.PeerAnswered(InstanceName("a"), 3);
  load.PeerAnswered(InstanceName("b"), 5);
  cr_assert(load.Decide(start + 10s).source == InitialLoad::Source::kNone);
  load.PeerAnswered(InstanceName("c"), 4);
  load.PeerAnswered(InstanceName("b"), 2);
  cr_assert(load.Decide(start + 6s).source == InitialLoad::Source::kNone);
  const InitialLoad::Decision decision = load.Decide(start + 7s);
  cr_assert(decision.source == InitialLoad::Source::kPeer && decision.version == 5 &&
            decision.peer.value() == "b");
  load.PlatformAnswered(5);
  cr_assert(load.Decide(start).source == InitialLoad::Source::kPlatform);
}

// Guards against a process that starts from a stale read of the platform, with a lower version than
// its peers have.
Test(records_initial_load, a_stale_answer_of_the_platform_gives_way_to_the_peers) {
  const SteadyTime start{1h};
  InitialLoad load(start);
  load.PlatformAnswered(6);
  cr_assert(load.Decide(start + 1s).source == InitialLoad::Source::kNone);
  load.SetReachablePeers(2);
  load.PeerAnswered(InstanceName("a"), 7);
  cr_assert(load.Decide(start + 2s).source == InitialLoad::Source::kNone);
  load.PeerAnswered(InstanceName("b"), 6);
  cr_assert_eq(load.Decide(start + 2s).version, 7U);
  load.PlatformAnswered(7);
  load.PlatformAnswered(6);
  cr_assert(load.Decide(start + 2s).source == InitialLoad::Source::kPlatform);
}

// Guards against a process that never starts because it is the first of the fleet or its peers
// don't respond.
Test(records_initial_load, the_platform_suffices_after_three_seconds) {
  const SteadyTime start{1h};
  InitialLoad load(start);
  load.SetReachablePeers(4);
  load.PlatformAnswered(6);
  cr_assert(load.Decide(start + 2s).source == InitialLoad::Source::kNone);
  const InitialLoad::Decision decision = load.Decide(start + 3s);
  cr_assert(decision.source == InitialLoad::Source::kPlatform && decision.version == 6);
}

Test(records_initial_load, few_reachable_peers_suffice_and_none_does_not) {
  const SteadyTime start{1h};
  InitialLoad load(start);
  cr_assert(load.Decide(start + 1h).source == InitialLoad::Source::kNone);
  load.SetReachablePeers(1);
  load.PeerAnswered(InstanceName("a"), 0);
  load.PlatformAnswered(0);
  cr_assert(load.Decide(start + 1h).source == InitialLoad::Source::kNone);
  load.PeerAnswered(InstanceName("a"), 2);
  cr_assert_eq(load.Decide(start + 1h).version, 2U);
}
