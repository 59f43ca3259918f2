#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "placement/admission_gate.h"
#include "support/fake_clock.h"
#include "support/fake_views.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::AvailabilityZoneName;
using wagtailwind::ChatId;
using wagtailwind::EndpointName;
using wagtailwind::OrganisationName;
using wagtailwind::PriorityClassName;
using wagtailwind::placement::AdmissionDecision;
using wagtailwind::placement::AdmissionGate;
using wagtailwind::placement::AdmissionRequest;
using wagtailwind::placement::MakeAdmissionGate;
using wagtailwind::requests::FailureReason;

constexpr std::uint32_t kCapacity = 10'000;

AdmissionRequest Request(const std::string& organisation, std::uint32_t cost,
                         const std::string& priority_class = "high") {
  AdmissionRequest request;
  request.organisation = OrganisationName(organisation);
  request.priority_class = PriorityClassName(priority_class);
  request.chat = ChatId("chat");
  request.prompt_tokens = cost;
  return request;
}

wagtailwind::records::Configuration Records() {
  wagtailwind::records::Configuration records;
  records.priority_classes = {{PriorityClassName("high"), 0, 1.0, 1s},
                              {PriorityClassName("normal"), 1, 0.9, 5s},
                              {PriorityClassName("bulk"), 2, 0.75, 60s}};
  records.organisations = {{OrganisationName("large"), 2.0, PriorityClassName("high"), {}},
                           {OrganisationName("small"), 1.0, PriorityClassName("high"), {}}};
  return records;
}

struct Fixture {
  wagtailwind::testing::FakeClock clock;
  wagtailwind::testing::FakeLoadView loads;
  wagtailwind::testing::FakeConfigurationView configuration;
  std::unique_ptr<AdmissionGate> gate;

  explicit Fixture(wagtailwind::placement::AdmissionSettings settings = {}) {
    configuration.Set(Records());
    wagtailwind::gossip::EndpointAdvertisement endpoint;
    endpoint.endpoint = EndpointName("self");
    endpoint.pool = wagtailwind::ServiceName("pool");
    endpoint.capacity = kCapacity;
    gate = MakeAdmissionGate(endpoint, AvailabilityZoneName("here"), settings, loads, configuration,
                             clock);
  }

  void SetPeers(std::uint64_t work_tokens, std::size_t count = 9) {
    loads.SetPeers(count, work_tokens, kCapacity, clock.Now());
  }

  // Sends copies of a request until one is refused; returns the number of admitted ones.
  int AdmitUntilRefused(const AdmissionRequest& request) {
    int admitted = 0;
    while (gate->Admit(request).admitted) {
      ++admitted;
    }
    return admitted;
  }

  [[nodiscard]] FailureReason Reason(const AdmissionRequest& request) const {
    return gate->Admit(request).reason;
  }
};

}  // namespace

// Guards against an engine that is loaded above the configured multiple of the mean.
Test(placement_gate, load_stays_at_the_multiple_of_the_mean) {
  Fixture fixture;
  fixture.SetPeers(4000);
  fixture.AdmitUntilRefused(Request("small", 100));
  // The fixed point of load = 1.25 * (9 * 4000 + load) / 10 is 5142.
  cr_assert_eq(fixture.gate->Load().work_tokens, 5100);
  cr_assert_eq(fixture.Reason(Request("small", 100)), FailureReason::kOverBound);
  cr_assert(fixture.gate->Admit(Request("small", 40)).admitted);
}

// Guards against a bound that ignores that the peers have a larger capacity.
Test(placement_gate, the_bound_is_weighted_by_capacity) {
  Fixture fixture;
  fixture.loads.SetPeers(9, 8000, 2 * kCapacity, fixture.clock.Now());
  fixture.AdmitUntilRefused(Request("small", 100));
  // The peers are 40% full, as above, with twice the capacity: the fixed point is 5070.
  cr_assert_eq(fixture.gate->Load().work_tokens, 5000);
}

// Guards against an idle fleet that refuses its first request, however large it is.
Test(placement_gate, an_idle_endpoint_takes_one_request) {
  Fixture fixture;
  fixture.SetPeers(0);
  cr_assert(fixture.gate->Admit(Request("small", 2 * kCapacity)).admitted);
  cr_assert_not(fixture.gate->Admit(Request("small", 1)).admitted);
}

// Guards against a fleet in which all agents are at their bound at once. With a mean of a few
// requests, one request costs more than the quarter of the mean between the mean and the bound.
Test(placement_gate, an_agent_that_is_not_above_the_mean_takes_one_more_request) {
  Fixture fixture;
  fixture.SetPeers(1000);
  cr_assert(fixture.gate->Admit(Request("small", 1000)).admitted);
  cr_assert(fixture.gate->Admit(Request("small", 1000)).admitted);
  cr_assert_eq(fixture.Reason(Request("small", 1000)), FailureReason::kOverBound);
}

// Guards against a chat that is refused by the engine with its prefix and then costs many times as
// much on another engine. The bound is at least the cost of the request without a cached prefix.
Test(placement_gate, a_chat_with_its_prefix_here_may_fill_up_its_full_cost) {
  Fixture fixture;
  fixture.SetPeers(1000);
  cr_assert(fixture.gate->Admit(Request("small", 2000)).admitted);
  AdmissionRequest request = Request("small", 3000);
  request.cached_tokens = 2800;
  cr_assert_eq(fixture.AdmitUntilRefused(request), 5);
  cr_assert_eq(fixture.gate->Load().work_tokens, 3000);
}

// Guards against a bound that is computed from outdated load reports, or from too few when the
// others were lost. The capacity is the bound then.
Test(placement_gate, stale_or_lost_load_reports_leave_the_capacity_as_bound) {
  Fixture stale;
  stale.SetPeers(100);
  stale.clock.Advance(10s);
  cr_assert(stale.gate->Admit(Request("small", 400)).admitted);
  cr_assert_not(stale.gate->Admit(Request("small", 400)).admitted);
  stale.clock.Advance(1ms);
  cr_assert(stale.gate->Admit(Request("small", 400)).admitted);
  Fixture lost;
  lost.SetPeers(100, 1);
  lost.AdmitUntilRefused(Request("small", 100));
  // All but the 5% that are reserved for the lowest class.
  cr_assert_eq(lost.gate->Load().work_tokens, 9500);
}

// Guards against the refusal of a request by all agents because the means are outdated, and against
// an endpoint that is loaded above its capacity.
Test(placement_gate, the_last_resort_goes_up_to_the_capacity) {
  Fixture fixture;
  fixture.SetPeers(1000);
  AdmissionRequest request = Request("small", 100);
  fixture.AdmitUntilRefused(request);
  cr_assert_lt(fixture.gate->Load().work_tokens, 2000);
  request.last_resort = true;
  fixture.AdmitUntilRefused(request);
  cr_assert_eq(fixture.gate->Load().work_tokens, 9500);
  request.priority_class = PriorityClassName("bulk");
  fixture.AdmitUntilRefused(request);
  cr_assert_eq(fixture.gate->Load().work_tokens, kCapacity);
  cr_assert_eq(fixture.Reason(request), FailureReason::kFleetFull);
}

// Guards against low classes that fill the bound before higher ones.
Test(placement_gate, lower_classes_leave_room_to_higher_ones) {
  Fixture fixture;
  fixture.SetPeers(8000);
  fixture.AdmitUntilRefused(Request("small", 100, "bulk"));
  const std::uint64_t bulk = fixture.gate->Load().work_tokens;
  fixture.AdmitUntilRefused(Request("small", 100, "normal"));
  const std::uint64_t normal = fixture.gate->Load().work_tokens;
  fixture.AdmitUntilRefused(Request("small", 100, "high"));
  cr_assert(bulk > 7000 && bulk <= 7500);
  cr_assert(normal > 8500 && normal <= 9000);
  cr_assert_gt(fixture.gate->Load().work_tokens, 9700);
}

// Guards against higher classes that use the whole bound and starve the lowest one.
Test(placement_gate, the_reserve_belongs_to_the_lowest_class) {
  Fixture fixture;
  fixture.SetPeers(8000);
  fixture.AdmitUntilRefused(Request("small", 100, "high"));
  cr_assert_leq(fixture.gate->Load().work_tokens, 9500);
  cr_assert_eq(fixture.AdmitUntilRefused(Request("small", 100, "bulk")), 5);
}

// Guards against a reserve that is smaller than each request of the lowest class: 5% of the bound
// are 500 work tokens here, and each bulk request needs 2,000.
Test(placement_gate, the_lowest_class_gets_large_requests_through_under_steady_high_load) {
  Fixture fixture;
  fixture.SetPeers(8000);
  std::vector<std::uint64_t> running;
  int bulk_admitted = 0;
  for (int round = 0; round < 400; ++round) {
    fixture.clock.Advance(100ms);
    fixture.SetPeers(8000);
    if (const auto bulk = fixture.gate->Admit(Request("small", 2000, "bulk")); bulk.admitted) {
      ++bulk_admitted;
      fixture.gate->Release(bulk.reservation);
    }
    for (auto high = fixture.gate->Admit(Request("small", 500)); high.admitted;
         high = fixture.gate->Admit(Request("small", 500))) {
      running.push_back(high.reservation);
    }
    fixture.gate->Release(running.front());
    running.erase(running.begin());
  }
  // 400 rounds of 500 tokens earn a credit of 10,000 tokens, which is five requests; the class
  // "high" gets the rest.
  cr_assert_geq(bulk_admitted, 3);
  cr_assert_leq(bulk_admitted, 8);
}

// Guards against class shares that move requests away from their cached prefixes while the pool has
// free capacity.
Test(placement_gate, shares_do_not_matter_in_a_pool_with_room) {
  Fixture fixture;
  fixture.SetPeers(1000);
  fixture.AdmitUntilRefused(Request("small", 10, "bulk"));
  cr_assert_gt(fixture.gate->Load().work_tokens, 1250);
}

// Guards against a burst of requests of one organisation that leaves no capacity to the others.
Test(placement_gate, a_surging_organisation_leaves_room_to_the_others) {
  Fixture fixture;
  fixture.SetPeers(8000);
  cr_assert(fixture.gate->Admit(Request("small", 100)).admitted);
  cr_assert(fixture.gate->Admit(Request("small", 100)).admitted);
  fixture.AdmitUntilRefused(Request("large", 100));
  cr_assert_eq(fixture.Reason(Request("large", 100)), FailureReason::kOrganisationOverShare);
  // "large" has a share of two thirds, and shares are enforced above 70% of the bound only.
  cr_assert_leq(fixture.gate->Load().work_tokens, 7100);
  cr_assert(fixture.gate->Admit(Request("small", 2000)).admitted);
}

// Guards against an organisation's share being enforced while the agent has free capacity.
Test(placement_gate, an_organisation_may_use_an_agent_without_contention) {
  Fixture fixture;
  fixture.SetPeers(8000);
  cr_assert(fixture.gate->Admit(Request("large", 100)).admitted);
  cr_assert_geq(fixture.AdmitUntilRefused(Request("small", 100)), 60);
}

// Guards against redirects to agents that are above the mean, draining, or without a recent load
// report, and against one peer that gets the refused requests of all agents.
Test(placement_gate, redirects_name_fresh_peers_below_the_mean) {
  Fixture fixture;
  const auto now = fixture.clock.Now();
  fixture.loads.Add("idle-1", 100, kCapacity, now);
  fixture.loads.Add("idle-2", 200, kCapacity, now);
  fixture.loads.Add("idle-3", 300, kCapacity, now);
  fixture.loads.Add("busy", 9000, kCapacity, now);
  fixture.loads.Add("silent", 0, kCapacity, now - 11s);
  fixture.loads.Add("draining", 0, kCapacity, now);
  auto records = Records();
  records.drain_plans = {{"plan", {EndpointName("draining")}, {}, fixture.clock.WallNow() - 1s}};
  fixture.configuration.Set(records);
  fixture.gate->SetHealthy(false);
  int first_is_1 = 0;
  for (int i = 0; i < 100; ++i) {
    AdmissionRequest request = Request("small", 100);
    request.chat = ChatId("chat-" + std::to_string(i));
    const std::vector<EndpointName> redirects = fixture.gate->Admit(request).redirects;
    cr_assert_eq(redirects.size(), 3);
    for (const EndpointName& redirect : redirects) {
      cr_assert_eq(redirect.value().substr(0, 5), "idle-");
    }
    first_is_1 += redirects.front().value() == "idle-1" ? 1 : 0;
  }
  cr_assert(first_is_1 > 10 && first_is_1 < 90);
}

// Guards against new work at an endpoint that is leaving, has a drain plan or is unhealthy, also
// for requests of the last resort.
Test(placement_gate, a_closed_draining_or_unhealthy_gate_takes_nothing) {
  AdmissionRequest request = Request("small", 1);
  request.last_resort = true;
  Fixture fixture;
  fixture.gate->SetHealthy(false);
  cr_assert_eq(fixture.Reason(request), FailureReason::kEndpointUnhealthy);
  fixture.gate->SetHealthy(true);
  cr_assert_eq(fixture.Reason(request), FailureReason::kNone);
  auto records = Records();
  records.drain_plans = {{"zone", {}, AvailabilityZoneName("here"), fixture.clock.WallNow() + 5s}};
  fixture.configuration.Set(records);
  cr_assert_eq(fixture.Reason(request), FailureReason::kNone);
  fixture.clock.Advance(5s);
  cr_assert_eq(fixture.Reason(request), FailureReason::kDraining);
  Fixture closed;
  closed.gate->Close();
  closed.gate->SetHealthy(true);
  cr_assert_eq(closed.Reason(request), FailureReason::kDraining);
}

// Guards against reservations that leak or are subtracted twice.
Test(placement_gate, progress_and_release_return_exactly_what_was_reserved) {
  Fixture fixture;
  AdmissionRequest request = Request("small", 1000);
  request.cached_tokens = 5000;
  request.max_output_tokens = 100;
  const AdmissionDecision first = fixture.gate->Admit(request);
  request.cached_tokens = 600;
  const AdmissionDecision second = fixture.gate->Admit(request);
  cr_assert_eq(fixture.gate->Load().work_tokens, 400 + 400 + 400);
  fixture.gate->RecordOutput(second.reservation, 10);
  cr_assert_eq(fixture.gate->Load().work_tokens, 400 + 360);
  fixture.gate->RecordOutput(second.reservation, 1000);
  fixture.gate->RecordOutput(second.reservation + 1, 10);
  cr_assert_eq(fixture.gate->Load().work_tokens, 400);
  for (int i = 0; i < 2; ++i) {
    fixture.gate->Release(second.reservation);
    cr_assert_eq(fixture.gate->Load().requests, 1);
  }
  fixture.gate->Release(first.reservation);
  fixture.gate->Release(0);
  cr_assert_eq(fixture.gate->Load().work_tokens, 0);
  cr_assert_eq(fixture.gate->Load().requests, 0);
}
