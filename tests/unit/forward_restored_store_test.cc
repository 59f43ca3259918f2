// A key-value service that comes back from an older copy.

#include <string>

#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ForwarderFixture;

/// A forwarder that follows a service of which a copy is taken.
struct RestoredStore : ForwarderFixture {
  RestoredStore() {
    AddEndpoint("e1", testing::AnswerOk);
    Configure(RouteWithTimeout(1s));
    Start();
    copy = store.TakeCopy();
  }

  [[nodiscard]] static forward::Route RouteWithTimeout(std::chrono::milliseconds timeout) {
    auto route = testing::TestRoute(RequestKind::kIdempotent);
    route.timeout = timeout;
    return route;
  }

  /// The service is away, and comes back from the copy.
  void Restore() {
    store.SetFault(503);
    loop.RunFor(300ms);
    store.Restore(copy);
    store.SetFault(0);
  }

  bool RunUntilVersion(double version) {
    return RunUntil([&] { return Version() == version; });
  }

  [[nodiscard]] double Version() {
    return metrics.GetGauge("forward_configuration_version").value();
  }

  testing::FakeStore::Copy copy;
};

}  // namespace

// Guards against routers that don't take a confirmed configuration after the key-value service has
// come back from an older copy: its revision may have been given out before (CONFIG).
Test(forward_restored_store, takes_the_next_configuration, .timeout = 30) {
  RestoredStore fixture;
  fixture.Configure(RestoredStore::RouteWithTimeout(2s));
  fixture.Configure(RestoredStore::RouteWithTimeout(3s));
  cr_assert(fixture.RunUntilVersion(3));
  fixture.Restore();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/range"] >= 2; }));
  fixture.Configure(RestoredStore::RouteWithTimeout(4s));
  cr_assert(fixture.RunUntilVersion(4));
}

// Guards against a router that goes back to an older configuration: the copy may hold one until the
// operators have written the newest again (CONFIG).
Test(forward_restored_store, keeps_the_newest_configuration, .timeout = 30) {
  RestoredStore fixture;
  fixture.Configure(RestoredStore::RouteWithTimeout(2s));
  cr_assert(fixture.RunUntilVersion(2));
  fixture.Restore();
  cr_assert(fixture.RunUntil([&] { return fixture.store.calls["/range"] >= 2; }));
  fixture.loop.RunFor(200ms);
  cr_assert_eq(fixture.Version(), 2);
}

// Guards against a watch that goes on in the middle of the new history: the configuration that the
// operators have written again stands before that place (CONFIG).
Test(forward_restored_store, misses_no_change, .timeout = 30) {
  RestoredStore fixture;
  fixture.store.Put("endpoint/e2", "engine 127.0.0.1:1 draining 1");
  fixture.loop.RunFor(100ms);
  fixture.store.SetFault(503);
  fixture.loop.RunFor(300ms);
  fixture.store.Restore(fixture.copy);
  fixture.Configure(RestoredStore::RouteWithTimeout(2s));
  fixture.store.Put("endpoint/e2", "engine 127.0.0.1:1 draining 1");
  fixture.store.SetFault(0);
  cr_assert(fixture.RunUntilVersion(2));
}
