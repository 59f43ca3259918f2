#include <criterion/criterion.h>

#include <string>

#include "agent/answer_store.h"
#include "requests/answer_id.h"
#include "support/fake_clock.h"

namespace {

using wagtailwind::EndpointName;
using wagtailwind::OrganisationName;
using wagtailwind::agent::AnswerLimits;
using wagtailwind::agent::AnswerStore;
using wagtailwind::requests::AnswerId;
using wagtailwind::requests::FailureReason;
using wagtailwind::requests::Outcome;
using wagtailwind::testing::FakeClock;

const wagtailwind::agent::AnswerEnd& CompleteEnd() {
  static const wagtailwind::agent::AnswerEnd end{true, Outcome::kResult, FailureReason::kNone};
  return end;
}

}  // namespace

// Guards against an answer that a caller of another organisation can read.
Test(answer_store, another_organisation_does_not_find_an_answer) {
  const FakeClock clock;
  AnswerStore store({}, clock);
  const auto answer = store.Create("id", OrganisationName("kandy"));
  cr_assert(store.Find("id", OrganisationName("kandy")) == answer);
  cr_assert_null(store.Find("id", OrganisationName("clearview")).get());
  cr_assert_null(store.Find("other", OrganisationName("kandy")).get());
}

// Guards against unbounded memory use, and against evicting an answer in progress.
Test(answer_store, limits_hold_and_only_ended_answers_are_evicted) {
  FakeClock clock;
  AnswerStore store(AnswerLimits{10, 25, std::chrono::seconds(120)}, clock);
  const OrganisationName organisation("kandy");
  const auto first = store.Create("1", organisation);
  const auto second = store.Create("2", organisation);
  cr_assert(store.Append(*first, std::string(10, 'a')));
  cr_assert_not(store.Append(*first, "b"));
  cr_assert(store.Append(*second, std::string(10, 'a')));
  const auto third = store.Create("3", organisation);
  cr_assert_not(store.Append(*third, std::string(6, 'c')), "nothing has ended yet");
  second->SetEnd(CompleteEnd());
  cr_assert_not(store.Append(*third, std::string(6, 'c')), "a reader still holds the bytes");
  cr_assert_null(store.Find("2", organisation).get());
  cr_assert(store.Find("1", organisation) == first);
}

// Guards against answers that are removed before a caller can resume them, or never removed.
Test(answer_store, answers_are_kept_for_the_retention_after_their_end) {
  FakeClock clock;
  AnswerStore store(AnswerLimits{10, 100, std::chrono::seconds(120)}, clock);
  const OrganisationName organisation("kandy");
  cr_assert(store.Append(*store.Create("1", organisation), "abc"));
  clock.Advance(std::chrono::hours(1));
  store.RemoveExpired();
  store.Find("1", organisation)->SetEnd(CompleteEnd());
  clock.Advance(std::chrono::seconds(119));
  store.RemoveExpired();
  cr_assert_eq(store.Count(), 1);
  clock.Advance(std::chrono::seconds(1));
  store.RemoveExpired();
  cr_assert_eq(store.Count(), 0);
  cr_assert_eq(store.TotalBytes(), 0);
}

// Guards against a resume that repeats or skips bytes, and against an end that is reported before
// the last byte.
Test(answer_store, reads_start_at_the_offset_and_end_with_the_last_byte) {
  const FakeClock clock;
  AnswerStore store({}, clock);
  const auto answer = store.Create("1", OrganisationName("kandy"));
  cr_assert(store.Append(*answer, "0123456789"));
  answer->SetEnd(CompleteEnd());
  answer->SetEnd({false, Outcome::kUnknown, FailureReason::kEngineLost});
  const auto part = answer->Read(2, 5);
  cr_assert_eq(part.bytes, "23456");
  cr_assert_not(part.end.has_value());
  const auto rest = answer->Read(7, 5);
  cr_assert_eq(rest.bytes, "789");
  cr_assert(rest.end->complete, "the first end counts");
}

// Guards against answer ids that a router can't parse, and against malformed text that is accepted
// as an answer id.
Test(answer_id, survives_text_and_malformed_text_is_refused) {
  const AnswerId id{EndpointName("a~b-1"), 0x1234abcdULL, {0x01, 0xff}};
  cr_assert(wagtailwind::requests::ParseAnswerId(wagtailwind::requests::ToText(id)) == id);
  const std::string number(32, '0');
  for (const std::string& text : {std::string(), std::string("~"), "~1~" + number, "a~~" + number,
                                  "a~1g~" + number, "a~1~0" + number, number}) {
    cr_assert_not(wagtailwind::requests::ParseAnswerId(text).has_value(), "%s", text.c_str());
  }
}
