#include <criterion/criterion.h>

#include "histories/control_changes.h"

namespace {

using wagtailwind::histories::ChangeReport;
using wagtailwind::histories::CheckChanges;
using wagtailwind::records::ChangeOutcome;
using wagtailwind::records::Document;

using Action = ChangeReport::Action;

ChangeReport Report(const std::string& id, Action action, const std::string& name,
                    std::map<std::string, std::string> fields, ChangeOutcome outcome,
                    std::uint64_t version) {
  ChangeReport report;
  report.key = {"organisation", name};
  report.action = action;
  report.fields = std::move(fields);
  report.outcome = outcome;
  report.version = version;
  report.change_id = id;
  return report;
}

// A history of two operators: one puts a record, the other edits one of its fields.
struct Sample {
  Document before;
  Document after{2,
                 {{"organisation", "a", 2, 2, "second", R"({"weight":2,"class":"high"})"}},
                 {{"first", 1}, {"second", 2}}};
  std::vector<ChangeReport> reports{
      Report("first", Action::kPut, "a", {{"weight", "1"}, {"class", "\"high\""}},
             ChangeOutcome::kAccepted, 1),
      Report("second", Action::kEdit, "a", {{"weight", "2"}}, ChangeOutcome::kAccepted, 2)};

  [[nodiscard]] bool Passes() const {
    return CheckChanges(reports, before, after).violations.empty();
  }
};

}  // namespace

Test(histories_control_changes, a_good_history_passes) {
  Sample sample;
  cr_assert(sample.Passes());
  sample.reports[1].outcome = ChangeOutcome::kUnknown;
  cr_assert(sample.Passes());
  sample.reports.push_back(
      Report("third", Action::kDelete, "a", {}, ChangeOutcome::kNotAccepted, 0));
  cr_assert(sample.Passes());
}

// A lost change, or one that contradicts its report, must be a violation.
Test(histories_control_changes, a_lost_or_unreported_change_is_found) {
  Sample lost;
  lost.reports.push_back(Report("third", Action::kPut, "b", {}, ChangeOutcome::kAccepted, 3));
  cr_assert_not(lost.Passes());
  Sample refused;
  refused.reports[1].outcome = ChangeOutcome::kNotAccepted;
  cr_assert_not(refused.Passes());
  Sample renumbered;
  renumbered.reports[1].version = 3;
  cr_assert_not(renumbered.Passes());
  Sample stranger;
  stranger.reports.pop_back();
  cr_assert_not(stranger.Passes());
  Sample gap;
  gap.after.recent_changes[1].version = 3;
  gap.after.version = 3;
  gap.reports[1].version = 3;
  cr_assert_not(gap.Passes());
}

// Guards against a checker that compares only change ids: the fields or records of one operator can
// be lost although the changes of both are listed.
Test(histories_control_changes, another_operators_loss_is_found) {
  Sample overwritten;
  overwritten.after.records[0].body = R"({"weight":2})";
  cr_assert_not(overwritten.Passes());
  Sample gone;
  gone.after.records.clear();
  cr_assert_not(gone.Passes());
  Sample revived;
  revived.after.records.push_back({"organisation", "z", 2, 1, "first", "{}"});
  cr_assert_not(revived.Passes());
}

// Guards against a checker that attributes the change of a killed tool to another operator, or
// accepts a partial change.
Test(histories_control_changes, a_killed_tool_makes_all_of_its_change_or_nothing) {
  Sample sample;
  ChangeReport killed =
      Report("", Action::kPut, "k", {{"weight", "7"}}, ChangeOutcome::kUnknown, 0);
  killed.killed = true;
  sample.reports.push_back(killed);
  cr_assert(sample.Passes());
  sample.after.version = 3;
  sample.after.recent_changes.push_back({"unseen", 3});
  cr_assert_not(sample.Passes());
  sample.after.records.push_back({"organisation", "k", 2, 3, "unseen", R"({"weight":7})"});
  cr_assert(sample.Passes());
  sample.after.records.back().body = "{}";
  cr_assert_not(sample.Passes());
}
