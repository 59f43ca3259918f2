#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "records/fence.h"
#include "records/record_kinds.h"
#include "support/fake_key_value_service.h"
#include "support/record_samples.h"

namespace {

using namespace wagtailwind::testing;  // NOLINT(google-build-using-namespace)
using wagtailwind::EndpointName;
using wagtailwind::SeededRandomSource;
using wagtailwind::records::ChangeOutcome;
using wagtailwind::records::ChangeResult;
using wagtailwind::records::RaiseFence;
using wagtailwind::records::ReadFence;

constexpr const char* kOrganisation = R"({"weight":1,"default_class":"normal"})";

ChangeResult PutOrganisation(FakeKeyValueService& service, const std::string& name) {
  return Make(service, {PutOf("organisation", name, kOrganisation)});
}

}  // namespace

// Guards against a change that overwrites a concurrent change of another record.
Test(records_change, two_operators_on_different_records_lose_nothing) {
  FakeKeyValueService service;
  StoreBasics(service);
  ChangeResult other;
  service.BeforeNextSwap([&] { other = PutOrganisation(service, "b"); });
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kAccepted);
  cr_assert(other.outcome == ChangeOutcome::kAccepted);
  cr_assert_eq(result.version, other.version + 1);
  cr_assert_not_null(Stored(service).Find({"organisation", "a"}));
  cr_assert_not_null(Stored(service).Find({"organisation", "b"}));
}

Test(records_change, many_concurrent_operators_lose_nothing) {
  FakeKeyValueService service;
  StoreBasics(service);
  std::vector<std::thread> operators;
  operators.reserve(4);
  std::atomic<int> accepted = 0;
  for (int id = 0; id < 4; ++id) {
    operators.emplace_back([&, id] {
      for (int i = 0; i < 20; ++i) {
        const std::string name = std::to_string(id) + "-" + std::to_string(i);
        accepted += PutOrganisation(service, name).outcome == ChangeOutcome::kAccepted ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  // An operator may run out of attempts, but every accepted change must be in the document.
  cr_assert_geq(accepted, 1);
  cr_assert_eq(Stored(service).records.size(), 2U + static_cast<unsigned>(accepted));
  cr_assert_eq(Stored(service).version, 1U + static_cast<unsigned>(accepted));
}

// Guards against a retry that overwrites a concurrent change of the same record.
Test(records_change, the_loser_on_the_same_record_is_told_of_the_conflict) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.BeforeNextSwap([&] { (void)PutOrganisation(service, "a"); });
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kNotAccepted);
  cr_assert_eq(result.reason, "version_conflict");
}

Test(records_change, if_version_is_compared) {
  FakeKeyValueService service;
  StoreBasics(service);
  auto edit = PutOf("organisation", "a", kOrganisation);
  edit.if_version = 7;
  cr_assert_eq(Make(service, {edit}).reason, "version_conflict");
  edit.if_version = 0;
  const ChangeResult created = Make(service, {edit});
  cr_assert(created.outcome == ChangeOutcome::kAccepted);
  cr_assert_eq(Make(service, {edit}).reason, "version_conflict");
  edit.if_version = created.version;
  cr_assert(Make(service, {edit}).outcome == ChangeOutcome::kAccepted);
}

// Guards against a change that is reported as not accepted, or made twice, after the response to
// the write was lost.
Test(records_change, an_applied_write_with_a_lost_answer_is_accepted) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.LoseNextAnswers(1);
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kAccepted);
  cr_assert_eq(result.version, 2U);
  cr_assert_eq(Stored(service).version, 2U);
}

Test(records_change, a_lost_write_that_was_not_applied_is_made_again) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.LoseNextRequests(3);
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kAccepted);
  cr_assert_eq(Stored(service).version, 2U);
}

// Guards against the outcome "unknown" for a lost write that can't be applied any more because
// another change has replaced the revision that it expects.
Test(records_change, a_lost_write_overtaken_by_a_conflict_is_not_accepted) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.LoseNextRequests(1);
  service.BeforeNextSwap([&] {
    service.LoseNextRequests(0);
    (void)PutOrganisation(service, "a");
    service.LoseNextRequests(1);
  });
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kNotAccepted);
  cr_assert_eq(result.reason, "version_conflict");
}

// Guards against a definite outcome when no later read shows whether the change was made.
Test(records_change, a_lost_answer_without_a_later_read_is_unknown) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.BeforeNextSwap([&] { service.FailNextReads(1'000); });
  service.LoseNextAnswers(1);
  cr_assert(PutOrganisation(service, "a").outcome == ChangeOutcome::kUnknown);
  service.FailNextReads(0);
  // A stale read returns the document without the change and must not lead to "not accepted".
  service.BeforeNextSwap([&] { service.SetStaleReads(true); });
  service.LoseNextAnswers(1);
  cr_assert(PutOrganisation(service, "b").outcome == ChangeOutcome::kUnknown);
}

// Guards against the outcome "not accepted" when so many changes followed that the document may
// have dropped the change's id.
Test(records_change, a_change_that_the_document_may_have_forgotten_is_unknown) {
  FakeKeyValueService service;
  StoreBasics(service);
  SeededRandomSource random(1);
  service.LoseNextAnswers(1);
  bool overtaken = false;
  const auto pause = [&](std::chrono::milliseconds) {
    for (int i = 0; !overtaken && i < 256; ++i) {
      (void)Make(service, {PutOf("service", "s", "{}")});
    }
    overtaken = true;
  };
  const ChangeResult result = wagtailwind::records::ChangeRecords(
      {"forgotten", {PutOf("organisation", "a", kOrganisation)}, {}, false}, service, random,
      pause);
  cr_assert(result.outcome == ChangeOutcome::kUnknown);
  cr_assert_eq(result.reason, "change_forgotten");
}

Test(records_change, an_outage_before_the_write_is_not_accepted) {
  FakeKeyValueService service;
  StoreBasics(service);
  service.SetDown(true);
  const ChangeResult result = PutOrganisation(service, "a");
  cr_assert(result.outcome == ChangeOutcome::kNotAccepted);
  cr_assert_eq(result.reason, "platform_unavailable");
  service.SetDown(false);
  service.LimitNextCalls(2);
  cr_assert(PutOrganisation(service, "a").outcome == ChangeOutcome::kAccepted);
}

Test(records_change, a_dry_run_checks_and_writes_nothing) {
  FakeKeyValueService service;
  StoreBasics(service);
  SeededRandomSource random(1);
  const auto swaps = service.Swaps();
  wagtailwind::records::Change change{"dry", {PutOf("organisation", "a", kOrganisation)}, {}, true};
  const auto pause = [](std::chrono::milliseconds) {};
  cr_assert(ChangeRecords(change, service, random, pause).outcome == ChangeOutcome::kAccepted);
  change.edits = {PutOf("organisation", "a", R"({"weight":1,"default_class":"absent"})")};
  cr_assert_eq(ChangeRecords(change, service, random, pause).reason, "missing_priority_class");
  cr_assert_eq(service.Swaps(), swaps);
}

// Guards against a change that reformats or drops records that a newer version has written.
Test(records_change, newer_schemas_and_unknown_kinds_survive_edits_byte_for_byte) {
  FakeKeyValueService service;
  StoreBasics(service);
  const std::string body = "{ \"weight\" : 1.50e0,\n\"b\":1, \"a\":\"\\u00e4\", \"b\":2 }";
  auto document = Stored(service);
  document.records.push_back({"organisation", "new", 9, 1, "x", body});
  document.records.push_back({"quota", "q", 1, 1, "x", body});
  const auto current = service.Get("config");
  (void)service.CompareAndSwap("config", current->revision, ToText(document), 0);
  cr_assert(PutOrganisation(service, "a").outcome == ChangeOutcome::kAccepted);
  const auto after = Stored(service);
  cr_assert_eq(after.Find({"organisation", "new"})->body, body);
  cr_assert_eq(after.Find({"organisation", "new"})->schema, 9U);
  cr_assert_eq(after.Find({"quota", "q"})->body, body);
  cr_assert_eq(PutOrganisation(service, "new").reason, "unknown_schema");
  cr_assert_eq(Make(service, {RemovalOf("quota", "q")}).reason, "unknown_schema");
}

// Guards against two agents that get the same token, and against an agent that does not get its
// token because the response to the write was lost.
Test(records_fence, each_raise_has_a_token_of_its_own) {
  FakeKeyValueService service;
  SeededRandomSource random(1);
  const EndpointName endpoint("e1");
  const auto pause = [](std::chrono::milliseconds) {};
  cr_assert_eq(ReadFence(endpoint, service), 0U);
  cr_assert_eq(RaiseFence(endpoint, service, random, pause), 1U);
  service.LoseNextAnswers(1);
  cr_assert_eq(RaiseFence(endpoint, service, random, pause), 2U);
  service.LoseNextRequests(1);
  cr_assert_eq(RaiseFence(endpoint, service, random, pause), 3U);
  std::uint64_t other = 0;
  service.BeforeNextSwap([&] { other = RaiseFence(endpoint, service, random, pause); });
  cr_assert_eq(RaiseFence(endpoint, service, random, pause), 5U);
  cr_assert_eq(other, 4U);
  cr_assert_eq(ReadFence(endpoint, service), 5U);
  service.SetDown(true);
  cr_assert_throw((void)RaiseFence(endpoint, service, random, pause),
                  wagtailwind::platform::KeyValueUnavailable);
}
