#include <chrono>
#include <string>

#include "placement/flap_damping.h"
#include "placement/organisation_shares.h"

// Included last: Criterion's macro `Test` collides with names in Abseil's headers.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace std::chrono_literals;
using wagtailwind::EndpointName;
using wagtailwind::OrganisationName;

// Guards against tables that grow with the number of endpoints and organisations ever seen.
Test(placement_memory, of_restarts_and_organisations_is_bounded) {
  wagtailwind::placement::FlapDamping damping;
  wagtailwind::placement::OrganisationShares shares;
  wagtailwind::gossip::Member member;
  member.endpoint.emplace();
  const wagtailwind::SteadyTime now{1h};
  for (int i = 0; i < 5000; ++i) {
    member.endpoint->endpoint = EndpointName(std::to_string(i));
    (void)damping.Observe(member, now);
    shares.Observe(OrganisationName(std::to_string(i)), now);
  }
  cr_assert_eq(damping.Size(), 4096);
  cr_assert_eq(shares.Size(), 1024);
  shares.Observe(OrganisationName("o"), now + 61s);
  member.endpoint->endpoint = EndpointName("new");
  (void)damping.Observe(member, now + 11min);
  cr_assert_eq(shares.Size(), 1);
  cr_assert_eq(damping.Size(), 1);
}
