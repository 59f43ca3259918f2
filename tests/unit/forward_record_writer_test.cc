#include <memory>
#include <string>

#include "forward/record_writer.h"
#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)

using Keys = std::vector<std::string>;

struct Fixture {
  net::EventLoop loop;
  testing::ShiftedClock clock;
  SeededRandomSource random{3};
  MetricsRegistry metrics;
  testing::FakeDeployment deployment;
  testing::FakeStore store{loop, deployment};
  forward::RecordWriter writer{loop,       clock,   random,
                               deployment, metrics, {.address = store.Address(), .lifetime = 60s}};

  /// Runs the loop until all records have been written; returns false if they are not within 5 s.
  bool Finish() {
    for (int i = 0; i < 2'500 && writer.IsBusy(); ++i) {
      loop.RunFor(2ms);
    }
    return !writer.IsBusy();
  }
};

}  // namespace

// Guards against a record that is lost because the service did not accept it at once.
Test(record_writer, repeats_a_write_until_it_is_accepted) {
  for (const int fault : {503, 429, -1}) {
    Fixture fixture;
    fixture.store.SetFault(fault);
    fixture.writer.Put("router/a", "1");
    fixture.loop.RunFor(1'500ms);
    cr_assert(fixture.writer.IsBusy());
    fixture.writer.Put("router/b", "2");
    fixture.store.SetFault(0);
    cr_assert(fixture.Finish());
    cr_assert(fixture.store.Keys("router/") == Keys({"router/a", "router/b"}));
  }
}

// Guards against a writer that goes on with a lease that the service has ended.
Test(record_writer, takes_a_new_lease_when_the_old_one_has_ended) {
  Fixture fixture;
  fixture.writer.Put("router/a", "1");
  cr_assert(fixture.Finish());
  fixture.store.EndLeases();
  fixture.writer.Put("router/b", "2");
  cr_assert(fixture.Finish());
  cr_assert(fixture.store.Keys("router/") == Keys({"router/a", "router/b"}));
  cr_assert_eq(fixture.store.calls["/lease"], 2);
}

// Guards against records that end too early because they were written with an old lease, after a
// pause of the process.
Test(record_writer, takes_a_new_lease_after_a_pause) {
  Fixture fixture;
  fixture.writer.Put("router/a", "1");
  cr_assert(fixture.Finish());
  fixture.writer.Put("router/b", "2");
  cr_assert(fixture.Finish());
  cr_assert_eq(fixture.store.calls["/lease"], 1);
  fixture.clock.Suspend(50s);
  fixture.writer.Put("router/c", "3");
  cr_assert(fixture.Finish());
  cr_assert_eq(fixture.store.calls["/lease"], 2);
}

// Guards against records, such as reports of crashes, that routers which start later never see: the
// key-value service has come back from a copy that was taken before they were written, and has
// forgotten their lease.
Test(record_writer, writes_lost_records_again_when_the_service_was_restored) {
  Fixture fixture;
  fixture.writer.Put("router/a", "1");
  cr_assert(fixture.Finish());
  const testing::FakeStore::Copy copy = fixture.store.TakeCopy();
  fixture.store.EndLeases();
  fixture.writer.Put("router/b", "1");
  fixture.writer.Put("router/b", "2");
  cr_assert(fixture.Finish());
  fixture.store.Restore(copy);
  fixture.writer.OnServiceRestored();
  cr_assert(fixture.Finish());
  cr_assert(fixture.store.Keys("router/") == Keys({"router/a", "router/b"}));
  cr_assert_eq(fixture.store.Value("router/b"), std::string("2"));
}

// Guards against writing outdated records again: a copy is some seconds old.
Test(record_writer, leaves_old_records_to_the_copy) {
  Fixture fixture;
  fixture.writer.Put("router/a", "1");
  cr_assert(fixture.Finish());
  fixture.clock.Suspend(120s);
  fixture.writer.OnServiceRestored();
  cr_assert_not(fixture.writer.IsBusy());
}

// Guards against memory and calls that grow while the service is down.
Test(record_writer, keeps_a_limited_number_of_records) {
  Fixture fixture;
  fixture.store.SetFault(-1);
  constexpr int kRecords = 500;
  for (int i = 0; i < kRecords; ++i) {
    fixture.writer.Put("router/" + std::to_string(1'000 + i), "1");
  }
  fixture.store.SetFault(0);
  cr_assert(fixture.Finish());
  const Keys keys = fixture.store.Keys("router/");
  constexpr std::size_t kMaxQueue = 64;
  cr_assert_eq(keys.size(), kMaxQueue);
  cr_assert(keys.back() == "router/" + std::to_string(1'000 + kRecords - 1));
}
