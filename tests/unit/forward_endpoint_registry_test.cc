#include <string>
#include <vector>

#include "balancing/endpoint_registry.h"
#include "support/fake_clock.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::EndpointRecord;
using balancing::EndpointRegistry;

EndpointRecord Record(const std::string& name, bool draining = false, Incarnation incarnation = 1) {
  EndpointRecord record;
  record.name = EndpointName(name);
  record.service = ServiceName("engine");
  record.address = "127.0.0.1:1000";
  record.draining = draining;
  record.incarnation = incarnation;
  return record;
}

struct Fixture {
  testing::FakeClock clock;
  std::vector<std::string> removed;
  EndpointRegistry registry{[this](const balancing::EndpointPtr& endpoint) {
    removed.push_back(endpoint->record.name.value());
  }};

  [[nodiscard]] std::size_t Usable() const { return registry.Usable("engine").size(); }
};

}  // namespace

// Guards against sending new requests to an endpoint that drains or has left.
Test(endpoint_registry, takes_draining_and_deleted_endpoints_out_of_use_at_once) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.Put(Record("b"));
  fixture.registry.Put(Record("a", true));
  cr_assert_eq(fixture.Usable(), 1);
  cr_assert_eq(fixture.registry.Draining("engine").size(), 1);
  fixture.registry.Delete("b", fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 0);
  cr_assert_eq(fixture.removed.size(), 1);
}

// Guards against memory that grows with each endpoint that has ever announced that it leaves, and
// against forgetting the newest ones.
Test(endpoint_registry, remembers_a_bounded_number_of_announcements) {
  Fixture fixture;
  constexpr int kEndpoints = 2'000;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    fixture.registry.Put(Record(name));
    cr_assert(fixture.registry.OnLeaving(*fixture.registry.Find(name)));
    cr_assert_not(fixture.registry.OnLeaving(*fixture.registry.Find(name)));
    fixture.registry.Delete(name, fixture.clock.Now());
    fixture.registry.Put(Record(name));
    cr_assert_eq(fixture.Usable(), 0);
    fixture.registry.Delete(name, fixture.clock.Now());
  }
  fixture.registry.Put(Record("e0"));
  cr_assert_eq(fixture.Usable(), 1);
}

// Guards against an outdated entry that makes a draining endpoint usable again.
Test(endpoint_registry, never_uses_a_process_again_that_has_drained) {
  Fixture fixture;
  fixture.registry.Put(Record("a", true));
  fixture.registry.Put(Record("a", false));
  cr_assert_eq(fixture.Usable(), 0);
  fixture.registry.Put(Record("a", false, 2));
  cr_assert_eq(fixture.Usable(), 1);
}

// Guards against keeping the load and health of a process that was restarted under the same name.
Test(endpoint_registry, starts_anew_with_a_restarted_process) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.Usable("engine")[0]->load.OnSent();
  fixture.registry.Put(Record("a", false, 2));
  cr_assert_eq(fixture.registry.Usable("engine")[0]->load.own(), 0);
  cr_assert_eq(fixture.removed.size(), 1);
}

// Guards against losing all endpoints after an outage of the key-value service, in which all
// entries expire, and against keeping an endpoint in use that does not return.
Test(endpoint_registry, keeps_entries_that_lapsed_in_an_outage_until_they_could_be_rewritten) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.Put(Record("b"));
  fixture.registry.OnServiceLost();
  fixture.clock.Advance(20s);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 2);
  fixture.registry.OnServiceRegained(fixture.clock.Now());
  fixture.registry.Replace({}, fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 2);
  fixture.clock.Advance(1s);
  fixture.registry.Put(Record("a"));
  fixture.clock.Advance(2s);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 1);
  cr_assert_eq(fixture.registry.Usable("engine")[0]->record.name.value(), std::string("a"));
}

// Guards against sending requests to an endpoint for longer than the three seconds that the
// platform allows after it left. Here the endpoint left while this router was cut off, and the
// router notices the recovery late, at the end of a backoff.
Test(endpoint_registry, counts_the_grace_from_when_the_service_was_last_away) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.OnServiceLost();
  const SteadyTime last_failed = fixture.clock.Now();
  fixture.clock.Advance(700ms);
  fixture.registry.OnServiceRegained(last_failed);
  fixture.registry.Delete("a", fixture.clock.Now());
  fixture.clock.Advance(1'900ms);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 0);
}

// Guards against losing endpoints that have started since the copy from which the key-value service
// has come back: they write their entries again within the grace time.
Test(endpoint_registry, keeps_endpoints_that_a_restored_service_does_not_list_yet) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.Put(Record("b"));
  fixture.registry.OnServiceRestored(fixture.clock.Now());
  fixture.registry.Replace({Record("a")}, fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 2);
  fixture.clock.Advance(3s);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 1);
}

// Guards against sending requests to a process that has left, or that was restarted, because the
// copy from which the key-value service has come back still lists it (DRAIN), and against leaving
// out one that is alive.
Test(endpoint_registry, leaves_gone_processes_that_a_restored_service_lists_again) {
  Fixture fixture;
  fixture.registry.Put(Record("left"));
  fixture.registry.Put(Record("restarted"));
  fixture.registry.Put(Record("alive"));
  fixture.registry.Delete("left", fixture.clock.Now());
  fixture.registry.Put(Record("restarted", false, 2));
  fixture.registry.Delete("alive", fixture.clock.Now());
  fixture.registry.OnServiceRestored(fixture.clock.Now());
  fixture.registry.Replace({Record("left"), Record("restarted"), Record("alive")},
                           fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 1);
  cr_assert_eq(fixture.registry.Find("restarted")->record.incarnation, 2);
  fixture.registry.Put(Record("alive"));
  cr_assert_eq(fixture.Usable(), 2);
  fixture.registry.Delete("left", fixture.clock.Now());
  fixture.clock.Advance(10s);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert(fixture.registry.Find("alive") != nullptr);
  cr_assert(fixture.registry.Find("left") == nullptr);
}

// Guards against leaving out for good an endpoint that was alive all the time: its entry stays.
Test(endpoint_registry, uses_a_process_whose_restored_entry_does_not_expire) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.Delete("a", fixture.clock.Now());
  fixture.registry.OnServiceRestored(fixture.clock.Now());
  fixture.registry.Replace({Record("a")}, fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 0);
  fixture.clock.Advance(10s);
  fixture.registry.RemoveExpired(fixture.clock.Now());
  cr_assert_eq(fixture.Usable(), 1);
}

// Guards against applying the grace time after an outage to an endpoint that was already draining.
Test(endpoint_registry, does_not_keep_draining_endpoints_through_an_outage) {
  Fixture fixture;
  fixture.registry.Put(Record("a", true));
  fixture.registry.OnServiceLost();
  fixture.registry.OnServiceRegained(fixture.clock.Now());
  fixture.registry.Replace({}, fixture.clock.Now());
  cr_assert_eq(fixture.registry.Size(), 0);
}

// Guards against sending requests to an address that now belongs to another process.
Test(endpoint_registry, stops_using_an_address_at_which_another_process_answers) {
  Fixture fixture;
  fixture.registry.Put(Record("a"));
  fixture.registry.OnAddressReused(*fixture.registry.Find("a"));
  cr_assert_eq(fixture.Usable(), 0);
  fixture.registry.Put(Record("a"));
  cr_assert_eq(fixture.Usable(), 0);
}

// Guards against an evacuation that endpoints which are listed later, or move to another zone,
// escape, and against losing them as sources of cached parts.
Test(endpoint_registry, evacuates_all_endpoints_of_a_zone) {
  Fixture fixture;
  EndpointRecord record = Record("a");
  record.zone = AvailabilityZoneName("z1");
  fixture.registry.Put(record);
  fixture.registry.SetEvacuatedZones({AvailabilityZoneName("z1")});
  cr_assert_eq(fixture.Usable(), 0);
  cr_assert_eq(fixture.registry.Draining("engine").size(), 1);
  record.name = EndpointName("b");
  fixture.registry.Put(record);
  cr_assert_eq(fixture.Usable(), 0);
  cr_assert(fixture.registry.Find("b")->evacuated);
  record.zone = AvailabilityZoneName("z2");
  fixture.registry.Put(record);
  cr_assert_eq(fixture.Usable(), 1);
  fixture.registry.SetEvacuatedZones({});
  cr_assert_eq(fixture.Usable(), 2);
}
