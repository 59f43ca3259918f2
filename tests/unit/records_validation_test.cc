#include <criterion/criterion.h>

#include "records/record_kinds.h"
#include "support/fake_key_value_service.h"
#include "support/record_samples.h"

namespace {

using namespace wagtailwind::testing;  // NOLINT(google-build-using-namespace)
using wagtailwind::records::ChangeOutcome;
using wagtailwind::records::ParseConfiguration;
using wagtailwind::records::RecordEdit;

// An invalid edit and the reason for which it must be rejected.
struct Rule {
  std::string reason;
  RecordEdit edit;
};

std::string ReasonOf(FakeKeyValueService& service, const RecordEdit& edit) {
  return Make(service, {edit}).reason;
}

const std::vector<Rule>& Rules() {
  static const std::vector<Rule> rules{
      {"unknown_kind", PutOf("quota", "q", "{}")},
      {"unknown_schema", PutOf("organisation", "a", "{}", 3)},
      {"unknown_schema", PutOf("organisation", "a", "{}", 0)},
      {"invalid_name", PutOf("service", "a b", "{}")},
      {"invalid_name", PutOf("service", "", "{}")},
      {"record_not_found", RemovalOf("service", "absent")},
      {"missing_model",
       PutOf("organisation", "a",
             R"({"weight":1,"default_class":"normal","allowed_models":["absent"]})", 2)},
      {"missing_adapter",
       PutOf("organisation", "a",
             R"({"weight":1,"default_class":"normal","allowed_adapters":["absent"]})", 2)},
      {"missing_priority_class",
       PutOf("organisation", "a", R"({"weight":1,"default_class":"absent"})")},
      {"missing_model", PutOf("adapter", "a", R"({"model":"absent","versions":["1"]})")},
      {"missing_priority_class", RemovalOf("priority_class", "normal")},
      {"missing_model", RemovalOf("model", "m")},
      {"model_without_engine",
       PutOf("drain_plan", "d",
             R"({"endpoints":["e1"],"zone":"z2","start":"2030-01-01T00:00:00Z"})")},
      {"malformed_record", PutOf("organisation", "a", "not json")},
      {"malformed_record", PutOf("organisation", "a", "[]")},
      {"malformed_record", PutOf("organisation", "a", R"({"weight":0,"default_class":"normal"})")},
      {"malformed_record",
       PutOf("organisation", "a", R"({"weight":"1","default_class":"normal"})")},
      {"malformed_record", PutOf("organisation", "a", R"({"weight":1})")},
      {"malformed_record",
       PutOf("organisation", "a", R"({"weight":1,"default_class":"normal","allowed_models":["m"]})",
             1)},
      {"malformed_record",
       PutOf("organisation", "a",
             R"({"weight":1,"default_class":"normal","allowed_models":["m","m"]})", 2)},
      {"malformed_record", PutOf("priority_class", "a", R"({"rank":-1,"share":1})")},
      {"malformed_record", PutOf("priority_class", "a", R"({"rank":1,"share":1.1})")},
      {"malformed_record",
       PutOf("priority_class", "a", R"({"rank":18446744073709551615,"share":1})")},
      {"malformed_record", PutOf("model", "a", R"({"pool":"p","versions":[]})")},
      {"malformed_record", PutOf("model", "a", R"({"pool":"p","versions":["1"],"replicas":[{}]})")},
      {"malformed_record",
       PutOf("service", "a", R"({"repeatable":[{"method":"get","path_prefix":"/"}]})")},
      {"malformed_record",
       PutOf("service", "a", R"({"repeatable":[{"method":"GET","path_prefix":"x"}]})")},
      {"malformed_record", PutOf("drain_plan", "d", R"({"start":"2030-01-01T00:00:00Z"})")},
      {"malformed_record", PutOf("drain_plan", "d", R"({"zone":"z1","start":"tomorrow"})")},
  };
  return rules;
}

}  // namespace

// Guards against invalid changes that are accepted and then break requests.
Test(records_validation, each_rule_has_its_own_error_and_nothing_is_written) {
  FakeKeyValueService service;
  StoreBasics(service);
  cr_assert(Make(service, {PutOf("organisation", "o", R"({"weight":1,"default_class":"normal",
      "allowed_models":["m"]})",
                                 2)})
                .outcome == ChangeOutcome::kAccepted);
  const auto before = Stored(service);
  for (const Rule& rule : Rules()) {
    const std::string reason = ReasonOf(service, rule.edit);
    cr_expect(reason == rule.reason, "%s %s: %s, not %s", rule.edit.key.kind.c_str(),
              rule.edit.body.c_str(), reason.c_str(), rule.reason.c_str());
  }
  cr_assert(Stored(service) == before);
}

Test(records_validation, a_record_may_stand_only_once_in_a_change) {
  FakeKeyValueService service;
  const auto edit = PutOf("service", "s", "{}");
  cr_assert_eq(Make(service, {edit, edit}).reason, "duplicate_record");
}

// Guards against writing a document that exceeds the key-value service's limit.
Test(records_validation, the_document_stays_below_the_limit) {
  FakeKeyValueService service;
  const std::string body =
      R"({"repeatable":[{"method":"GET","path_prefix":"/)" + std::string(600'000, 'x') + R"("}]})";
  cr_assert(Make(service, {PutOf("service", "a", body)}).outcome == ChangeOutcome::kAccepted);
  cr_assert_eq(ReasonOf(service, PutOf("service", "b", body)), "document_too_large");
}

// Guards against a validation that ignores the known engines that no model's record lists.
Test(records_validation, drains_count_engines_that_are_known_from_elsewhere) {
  FakeKeyValueService service;
  StoreBasics(service);
  const auto plan =
      PutOf("drain_plan", "d", R"({"endpoints":["e1","e2"],"start":"2030-01-01T00:00:00Z"})");
  cr_assert_eq(ReasonOf(service, plan), "model_without_engine");
  wagtailwind::SeededRandomSource random(1);
  const wagtailwind::records::Change change{
      "with-replica",
      {plan},
      {{wagtailwind::EndpointName("e3"), wagtailwind::AvailabilityZoneName("z3"),
        wagtailwind::ServiceName("p")}},
      false};
  cr_assert(ChangeRecords(change, service, random, [](std::chrono::milliseconds) {}).outcome ==
            ChangeOutcome::kAccepted);
}

// Guards against an upgrade to schema 2 that requires all organisations to be rewritten at once.
Test(records_validation, both_schema_versions_of_organisations_are_read_side_by_side) {
  FakeKeyValueService service;
  StoreBasics(service);
  cr_assert(
      Make(service, {PutOf("organisation", "one", R"({"weight":2,"default_class":"normal"})"),
                     PutOf("organisation", "two",
                           R"({"weight":3,"default_class":"normal","allowed_models":["m"]})", 2)})
          .outcome == ChangeOutcome::kAccepted);
  const auto configuration = ParseConfiguration(Stored(service));
  cr_assert_eq(configuration->FindOrganisation("one")->weight, 2);
  cr_assert(configuration->FindOrganisation("one")->allowed_models.empty());
  cr_assert_eq(configuration->FindOrganisation("two")->allowed_models.front().value(), "m");
  cr_assert_null(configuration->FindOrganisation("three"));
}
