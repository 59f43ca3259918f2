#include <memory>
#include <string>
#include <vector>

#include "forward/prefix_feed.h"
#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using testing::FakeDeployment;
using testing::FakeStore;

struct Listener final : forward::FeedListener {
  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override {
    if (++snapshots == 1) {
      first_items = items.size();
    }
    last_items = items.size();
    confirmed_at = valid_as_of;
  }
  void OnChanges(const std::vector<platform::KeyValueItem>& changes,
                 BootTime valid_as_of) override {
    for (const platform::KeyValueItem& change : changes) {
      keys.push_back((change.deleted ? "-" : "+") + change.key);
    }
    if (changes.empty()) {
      ++quiet_watches;
      quiet_confirmations.push_back(valid_as_of);
    }
    confirmed_at = valid_as_of;
  }
  void OnFeedLost() override { ++lost; }
  void OnFeedRegained(SteadyTime last_failed) override {
    ++regained;
    failed_at = last_failed;
  }

  void OnServiceRestored() override { ++restored; }

  int snapshots = 0;
  std::size_t first_items = 0;
  std::size_t last_items = 0;
  std::vector<std::string> keys;
  int quiet_watches = 0;
  /// What each watch without changes confirmed.
  std::vector<BootTime> quiet_confirmations;
  int lost = 0;
  int regained = 0;
  int restored = 0;
  SteadyTime failed_at{};
  BootTime confirmed_at{};
};

struct Fixture {
  net::EventLoop loop;
  testing::ShiftedClock clock;
  SeededRandomSource random{3};
  MetricsRegistry metrics;
  FakeDeployment deployment;
  FakeStore store{loop, deployment};
  Listener listener;
  std::unique_ptr<forward::PrefixFeed> feed;

  void Start() {
    feed = std::make_unique<forward::PrefixFeed>(
        loop, clock, random, deployment, metrics,
        forward::FeedSettings{.name = "test", .address = store.Address(), .prefix = "endpoint/"},
        listener);
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (int i = 0; i < 2'000 && !condition(); ++i) {
      loop.RunFor(2ms);
    }
    return condition();
  }
};

}  // namespace

// Guards against missing changes between the first read and the watch, and against reporting
// changes of other prefixes.
Test(prefix_feed, reports_a_snapshot_and_then_each_change) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
  cr_assert_eq(fixture.listener.last_items, 1);
  fixture.store.Put("other/x", "1");
  fixture.store.Put("endpoint/b", "1");
  fixture.store.Delete("endpoint/a");
  cr_assert(fixture.RunUntil([&] { return fixture.listener.keys.size() >= 2; }));
  cr_assert_eq(fixture.listener.keys[0], std::string("+endpoint/b"));
  cr_assert_eq(fixture.listener.keys[1], std::string("-endpoint/a"));
}

// Guards against a feed that stays outdated after the service has dropped its history.
Test(prefix_feed, reads_everything_again_when_the_history_is_gone) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
  fixture.store.SetFault(503);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  fixture.store.Put("endpoint/b", "1");
  fixture.store.DropHistory();
  const SteadyTime returned_at = fixture.clock.Now();
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 2; }));
  cr_assert_eq(fixture.listener.last_items, 2);
  cr_assert_eq(fixture.listener.regained, 1);
  cr_assert(fixture.listener.failed_at <= returned_at);
}

// Guards against changes that are missed after the service has come back from an older copy: a
// watch that goes on from a revision of the lost history reports only what the new one has after it
// (CONFIG).
Test(prefix_feed, reads_everything_again_when_the_service_was_restored) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
  const FakeStore::Copy copy = fixture.store.TakeCopy();
  fixture.store.Put("endpoint/lost", "1");
  cr_assert(fixture.RunUntil([&] { return fixture.listener.keys.size() == 1; }));
  fixture.store.SetFault(503);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  fixture.store.Restore(copy);
  fixture.store.Put("endpoint/b", "1");
  fixture.store.Put("endpoint/c", "1");
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 2; }));
  cr_assert_eq(fixture.listener.last_items, 3);
  cr_assert_eq(fixture.listener.restored, 1);
}

// Guards against a list that is put together from pages of two histories.
Test(prefix_feed, begins_a_read_of_many_pages_again_when_the_service_was_restored) {
  Fixture fixture;
  for (int i = 11; i < 40; ++i) {
    fixture.store.Put("endpoint/" + std::to_string(i), "1");
  }
  const FakeStore::Copy copy = fixture.store.TakeCopy();
  fixture.store.Put("endpoint/10", "1");
  fixture.store.SetPageSize(10);
  fixture.store.RefuseOnce(1, 503);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/range"] == 2; }));
  fixture.store.Restore(copy);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots >= 1; }));
  cr_assert_eq(fixture.listener.first_items, 29);
}

// Guards against accepting a key for longer than allowed: the copy from which the service has come
// back may lack the configuration that revokes it, until the operators have written it again.
Test(prefix_feed, confirms_nothing_by_a_copy_that_may_lack_changes) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches == 1; }));
  const BootTime before = fixture.listener.confirmed_at;
  fixture.store.SetFault(503);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  fixture.store.Restore(fixture.store.TakeCopy());
  const BootTime restored = fixture.clock.BootNow();
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 2; }));
  cr_assert(fixture.listener.confirmed_at == before);
  fixture.store.Put("endpoint/b", "1");
  cr_assert(fixture.RunUntil([&] { return fixture.listener.keys.size() == 1; }));
  cr_assert(fixture.listener.confirmed_at == before);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.confirmed_at > before; }));
  cr_assert(fixture.listener.confirmed_at >= restored + 1s);
  cr_assert(fixture.clock.BootNow() < restored + 2s);
}

// Guards against waiting forever for a service that neither responds nor closes, as when a
// connection was dropped without a reset.
Test(prefix_feed, gives_up_a_silent_call_and_recovers) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.store.SetFault(-1);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
}

// Guards against dating a confirmation at the arrival of a response with changes: the service may
// have stored others after it wrote the response.
Test(prefix_feed, confirms_from_the_time_of_sending) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
  const BootTime before_change = fixture.clock.BootNow();
  fixture.loop.RunFor(100ms);
  fixture.store.Put("endpoint/a", "1");
  cr_assert(fixture.RunUntil([&] { return !fixture.listener.keys.empty(); }));
  cr_assert(fixture.listener.confirmed_at < before_change + 50ms);
}

// Guards against refusing keys too early after losing contact: a watch that ran its full wait
// without a change proves the state at its end.
Test(prefix_feed, confirms_up_to_the_end_of_a_quiet_watch) {
  Fixture fixture;
  const BootTime before = fixture.clock.BootNow();
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches == 1; }));
  constexpr auto kResolution = 5ms;
  cr_assert(fixture.listener.confirmed_at >=
            before + forward::FeedSettings{}.watch_time - kResolution);
}

// Guards against accepting revoked keys for longer than allowed: a response that stayed unread
// while the process was suspended proves nothing about that time.
Test(prefix_feed, confirms_nothing_of_the_time_of_a_suspension) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  const BootTime before = fixture.clock.BootNow();
  fixture.clock.Suspend(10s);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches == 1; }));
  cr_assert(fixture.listener.confirmed_at <= before);
}

// Guards against the same failure when the service ends a watch before its wait is over.
Test(prefix_feed, confirms_nothing_by_a_watch_that_was_cut_short) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  const BootTime before = fixture.clock.BootNow();
  fixture.store.CutWatchesShort();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches == 1; }));
  cr_assert(fixture.listener.confirmed_at <= before);
}

// Load: endpoints of a large fleet join and leave several times a second. Guards against one call
// of the service for each of their changes, against a configuration that waits for the pause, and
// against confirmations that get older by it.
Test(prefix_feed, pauses_after_changes_of_endpoints_only) {
  Fixture fixture;
  fixture.feed = std::make_unique<forward::PrefixFeed>(
      fixture.loop, fixture.clock, fixture.random, fixture.deployment, fixture.metrics,
      forward::FeedSettings{.name = "test",
                            .address = fixture.store.Address(),
                            .prefix = "",
                            .pause_after_change = 500ms,
                            .paused_prefixes = {"endpoint/"}},
      fixture.listener);
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  for (int i = 0; i < 20; ++i) {
    fixture.store.Put("endpoint/" + std::to_string(i), "1");
    fixture.loop.RunFor(50ms);
  }
  cr_assert_leq(fixture.store.calls["/watch"], 4);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.keys.size() == 20; }));
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 4; }));
  cr_assert_leq(fixture.store.last_wait, forward::FeedSettings{}.watch_time - 500ms);
  fixture.store.Put("configuration", "1");
  cr_assert(fixture.RunUntil([&] { return fixture.listener.keys.size() == 21; }));
  fixture.store.Put("configuration", "2");
  fixture.loop.RunFor(100ms);
  cr_assert_eq(fixture.listener.keys.size(), 22);
}

// Load: all routers of a fleet read a long list at the same time, and the service refuses what
// exceeds its rate. Guards against reading pages again that have been read, which multiplies the
// load, and against dropping a sound connection.
Test(prefix_feed, goes_on_with_the_page_that_was_refused) {
  for (const int status : {429, 503}) {
    Fixture fixture;
    for (int i = 10; i < 40; ++i) {
      fixture.store.Put("endpoint/" + std::to_string(i), "1");
    }
    fixture.store.SetPageSize(10);
    fixture.store.RefuseOnce(1, status);
    fixture.Start();
    cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
    cr_assert_eq(fixture.listener.last_items, 30);
    cr_assert_eq(fixture.store.calls["/range"], 4);
    cr_assert_eq(fixture.store.Connections(), 1);
  }
}

// Load: all routers of a fleet read a long list after a power failure, so that each answer takes
// seconds on the service's link. Guards against giving up answers that arrive slowly, and asking
// for them again.
Test(prefix_feed, waits_for_an_answer_that_arrives_slowly, .timeout = 30) {
  Fixture fixture;
  for (int i = 10; i < 40; ++i) {
    fixture.store.Put("endpoint/" + std::to_string(i), std::string(1'000, 'x'));
  }
  constexpr std::size_t kPartBytes = 8'000;
  fixture.store.SetParts(kPartBytes, 500ms);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
  cr_assert_eq(fixture.store.calls["/range"], 1);
}

// Guards against a call that never ends because its answer trickles.
Test(prefix_feed, gives_up_an_answer_that_trickles, .timeout = 30) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", std::string(1'000, 'x'));
  fixture.store.SetParts(1, 100ms);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
}

// Guards against losing a change between two pages, of which one was refused for some time.
Test(prefix_feed, reports_what_changed_during_a_long_read) {
  Fixture fixture;
  for (int i = 10; i < 40; ++i) {
    fixture.store.Put("endpoint/" + std::to_string(i), "1");
  }
  fixture.store.SetPageSize(10);
  fixture.store.RefuseOnce(1, 429);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/range"] == 2; }));
  fixture.store.Delete("endpoint/10");
  cr_assert(fixture.RunUntil([&] { return !fixture.listener.keys.empty(); }));
  cr_assert_eq(fixture.listener.snapshots, 1);
  cr_assert_eq(fixture.listener.keys[0], std::string("-endpoint/10"));
}

// Guards against taking a late copy of an earlier answer for the answer to the watch in progress,
// and against being one answer behind on that connection from then on.
Test(prefix_feed, confirms_nothing_by_a_late_copy) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  fixture.store.RepeatNextAnswer();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches >= 3; }));
  const std::vector<BootTime>& confirmed = fixture.listener.quiet_confirmations;
  cr_assert(confirmed[1] <= confirmed[0]);
  cr_assert(confirmed[2] > confirmed[0]);
  cr_assert_eq(fixture.store.Connections(), 2);
}

// Guards against applying changes of an earlier watch as the answer to the watch in progress.
Test(prefix_feed, leaves_a_connection_that_repeats_changes) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  fixture.store.RepeatNextAnswer();
  fixture.store.Put("endpoint/a", "1");
  cr_assert(fixture.RunUntil([&] { return fixture.listener.quiet_watches == 1; }));
  cr_assert_eq(fixture.listener.keys.size(), 1);
  cr_assert_eq(fixture.store.Connections(), 2);
}

// Guards against a process that runs out of memory because the service answers without end.
Test(prefix_feed, gives_up_an_answer_without_end, .timeout = 60) {
  // What the kernel buffers of a connection, and the largest answer; each call fails at that size.
  constexpr std::size_t kMaxReadPerCall = 20U << 20U;
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  fixture.store.SetEndless(true);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  const auto calls = fixture.store.calls["/watch"] + fixture.store.calls["/range"];
  cr_assert_leq(fixture.store.EndlessBytes(), static_cast<std::size_t>(calls) * kMaxReadPerCall);
  fixture.store.SetEndless(false);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.regained == 1; }));
}

// Guards against a confirmation that gets nearly two watches old after a watch that ended late with
// a change, which would take the router out of service.
Test(prefix_feed, ends_the_next_watch_when_the_one_with_a_change_would_have_ended) {
  Fixture fixture;
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 1; }));
  fixture.loop.RunFor(200ms);
  fixture.store.Put("endpoint/a", "1");
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/watch"] == 2; }));
  cr_assert(fixture.store.last_wait <= forward::FeedSettings{}.watch_time - 200ms);
}
