#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

#include "placement/attempt_plan.h"
#include "placement/home_pointers.h"
#include "placement/prefix_directory.h"
#include "placement/prefix_reuse.h"
#include "support/fake_clock.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::ChatId;
using wagtailwind::EndpointName;
using wagtailwind::OrganisationName;
using wagtailwind::placement::AdmissionDecision;
using wagtailwind::placement::AttemptPlan;
using wagtailwind::placement::DecidePrefixReuse;
using wagtailwind::placement::PrefixSpeeds;
using wagtailwind::requests::FailureReason;

const OrganisationName& Organisation() {
  static const OrganisationName name("o");
  return name;
}

ChatId Chat(int number) { return ChatId("c" + std::to_string(number)); }

AdmissionDecision Refusal(FailureReason reason, const std::vector<std::string>& redirects = {}) {
  AdmissionDecision decision;
  decision.reason = reason;
  for (const std::string& redirect : redirects) {
    decision.redirects.emplace_back(redirect);
  }
  return decision;
}

std::vector<EndpointName> Candidates(int count) {
  std::vector<EndpointName> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.emplace_back("c" + std::to_string(i));
  }
  return names;
}

}  // namespace

// Guards against a table that grows with the number of chats, and against pointers to prefixes that
// the engine has evicted since.
Test(placement_home_pointers, are_bounded_in_number_and_age) {
  wagtailwind::testing::FakeClock clock;
  const auto pointers = wagtailwind::placement::MakeHomePointers(3, clock);
  for (int chat = 0; chat < 5; ++chat) {
    pointers->Set(Organisation(), Chat(chat), EndpointName("e"));
  }
  cr_assert_eq(pointers->Size(), 3);
  cr_assert_not(pointers->Find(Organisation(), Chat(1)).has_value());
  cr_assert(pointers->Find(Organisation(), Chat(4)).has_value());
  clock.Advance(4h + 1ms);
  cr_assert_not(pointers->Find(Organisation(), Chat(4)).has_value());
  pointers->Set(Organisation(), Chat(9), EndpointName("e"));
  cr_assert_eq(pointers->Size(), 1);
}

// Guards against a chat that is sent to the engine of another organisation's chat with the same id,
// or to an engine that no longer serves it.
Test(placement_home_pointers, belong_to_one_chat_of_one_organisation) {
  wagtailwind::testing::FakeClock clock;
  const auto pointers = wagtailwind::placement::MakeHomePointers(8, clock);
  pointers->Set(Organisation(), Chat(1), EndpointName("e1"));
  cr_assert_not(pointers->Find(OrganisationName("p"), Chat(1)).has_value());
  pointers->Set(Organisation(), Chat(1), EndpointName("e2"));
  cr_assert_eq(pointers->Find(Organisation(), Chat(1))->value(), "e2");
  pointers->Clear(Organisation(), Chat(1));
  cr_assert_not(pointers->Find(Organisation(), Chat(1)).has_value());
}

// Guards against estimates that count prefixes which the engine has evicted.
Test(placement_prefix_directory, follows_the_engines_limit) {
  const auto directory = wagtailwind::placement::MakePrefixDirectory(10, 1000);
  directory->Store(Organisation(), Chat(1), 400);
  directory->Store(Organisation(), Chat(2), 400);
  directory->Store(Organisation(), Chat(1), 500);
  directory->Store(Organisation(), Chat(3), 400);
  cr_assert_eq(directory->Find(Organisation(), Chat(1)), 500);
  cr_assert_eq(directory->Find(Organisation(), Chat(2)), 0);
  directory->Store(Organisation(), Chat(4), 2000);
  cr_assert_eq(directory->Size(), 0);
  directory->Store(Organisation(), Chat(5), 1);
  directory->Reset();
  cr_assert_eq(directory->Find(Organisation(), Chat(5)), 0);
}

// Guards against an unlimited number of attempts, or two attempts at one agent, in a fleet at its
// bound.
Test(placement_attempt_plan, asks_eight_agents_once_and_then_three_for_a_last_resort) {
  AttemptPlan plan(Candidates(20), {.redirects_after = 1});
  std::vector<std::string> tried;
  while (const auto attempt = plan.Next()) {
    tried.push_back(attempt->endpoint.value());
    cr_assert_eq(attempt->last_resort, tried.size() >= 9);
    plan.OnRefusal(Refusal(FailureReason::kOverBound, {"r1", "r2", "c0"}));
  }
  const std::vector<std::string> expected = {"c0", "r1", "r2", "c1", "c2", "c3",
                                             "c4", "c5", "r1", "c0", "r2"};
  cr_assert(tried == expected);
  cr_assert_eq(plan.FinalReason(), FailureReason::kFleetFull);
}

// Guards against the target of a home pointer being tried after all candidates.
Test(placement_attempt_plan, follows_a_redirect_at_once) {
  AttemptPlan plan(Candidates(3), {});
  (void)plan.Next();
  plan.OnRefusal(Refusal(FailureReason::kRedirected, {"pointer"}));
  cr_assert_eq(plan.Next()->endpoint.value(), "pointer");
}

// Guards against last resorts at agents that refused for a reason other than their bound.
Test(placement_attempt_plan, has_no_last_resort_without_an_agent_at_its_bound) {
  AttemptPlan plan(Candidates(2), {.max_candidates = 2});
  while (const auto attempt = plan.Next()) {
    cr_assert_not(attempt->last_resort);
    plan.OnRefusal(Refusal(FailureReason::kOrganisationOverShare, {"r1"}));
  }
  cr_assert_eq(plan.AttemptCount(), 2);
  cr_assert_eq(plan.FinalReason(), FailureReason::kOrganisationOverShare);
}

// Guards against a wait that takes longer than running elsewhere, or uses up the deadline.
Test(placement_prefix_reuse, waits_no_longer_than_the_prefix_is_worth) {
  PrefixSpeeds speeds{.prefill_tokens_per_second = 10'000};
  cr_assert_eq(DecidePrefixReuse(0, 10s, speeds).wait, 0ms);
  cr_assert_eq(DecidePrefixReuse(5000, 10s, speeds).wait, 500ms);
  cr_assert_eq(DecidePrefixReuse(5000, 600ms, speeds).wait, 300ms);
  cr_assert_eq(DecidePrefixReuse(5000, -1s, speeds).wait, 0ms);
  cr_assert_not(DecidePrefixReuse(5000, 10s, speeds).export_prefix);
  speeds.transfer_tokens_per_second = 50'000;
  cr_assert(DecidePrefixReuse(5000, 10s, speeds).export_prefix);
  cr_assert_eq(DecidePrefixReuse(5000, 10s, speeds).wait, 120ms);
  // Computing 100 tokens takes less time than the fixed cost of a transfer.
  cr_assert_not(DecidePrefixReuse(100, 10s, speeds).export_prefix);
}
