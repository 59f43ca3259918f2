#include <memory>
#include <string>
#include <vector>

#include "forward/prefix_feed.h"
#include "support/forwarder_fixture.h"

// Last: its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using testing::FakeDeployment;
using testing::FakeStore;

struct Listener final : forward::FeedListener {
  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime sent_at) override {
    ++snapshots;
    last_items = items.size();
    confirmed_at = sent_at;
  }
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime sent_at) override {
    for (const platform::KeyValueItem& change : changes) {
      keys.push_back((change.deleted ? "-" : "+") + change.key);
    }
    confirmed_at = sent_at;
  }
  void OnFeedLost(std::string_view) override { ++lost; }
  void OnFeedRegained(SteadyTime last_failed) override {
    ++regained;
    failed_at = last_failed;
  }

  int snapshots = 0;
  std::size_t last_items = 0;
  std::vector<std::string> keys;
  int lost = 0;
  int regained = 0;
  SteadyTime failed_at{};
  BootTime confirmed_at{};
};

struct Fixture {
  net::EventLoop loop;
  testing::ShiftedClock clock;
  SeededRandomSource random{3};
  MetricsRegistry metrics;
  FakeDeployment deployment;
  FakeStore store{loop};
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

// Guards against changes that are missed between the first read and the watch, and against changes
// of other prefixes.
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

// Guards against a feed that stays behind for good when the service has dropped its history.
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

// Guards against a service that neither answers nor closes, such as a connection that was cut
// without a trace.
Test(prefix_feed, gives_up_a_silent_call_and_recovers) {
  Fixture fixture;
  fixture.store.Put("endpoint/a", "1");
  fixture.store.SetFault(-1);
  fixture.Start();
  cr_assert(fixture.RunUntil([&] { return fixture.listener.lost == 1; }));
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntil([&] { return fixture.listener.snapshots == 1; }));
}

// Guards against a confirmation that is as young as the answer: what it shows may have changed
// since the call was sent.
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
