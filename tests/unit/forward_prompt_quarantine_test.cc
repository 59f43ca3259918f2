// Which part of a prompt crashes endpoints, without a network.

#include <string>
#include <vector>

#include "balancing/prompt_quarantine.h"
#include "forward/crash_report.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::CrashReport;
using balancing::PromptPart;
using balancing::PromptQuarantine;
using balancing::SuspectPrompt;

using Parts = std::vector<PromptPart>;

constexpr PromptPart kSystemPrompt{0xa};
constexpr PromptPart kDeadly{0xdead};
constexpr PromptPart kSubject{0xb};
constexpr PromptPart kOtherSubject{0xc};

/// A pool whose crashes are reported at a time that the test advances.
struct Pool {
  /// An endpoint that has not crashed before crashes with these suspects.
  void Crash(const std::vector<SuspectPrompt>& prompts) {
    quarantine.Add({.endpoint = EndpointName("e" + std::to_string(++crashes)), .prompts = prompts},
                   now);
  }

  [[nodiscard]] bool IsQuarantined(const Parts& parts) {
    return quarantine.IsQuarantined(parts, now);
  }

  PromptQuarantine quarantine;
  SteadyTime now{1h};
  int crashes = 0;
};

SuspectPrompt Answering(const std::string& request, const Parts& parts) {
  return {.request = request, .parts = parts, .answering = true};
}

SuspectPrompt Waiting(const std::string& request, const Parts& parts) {
  return {.request = request, .parts = parts};
}

}  // namespace

// Load: one kind of request shares its first part, and a few of its prompts crash endpoints. Guards
// against refusing the sound ones.
Test(prompt_quarantine, finds_the_part_that_sound_prompts_do_not_share) {
  Pool pool;
  pool.quarantine.OnAnswerBegan(Parts{kSystemPrompt, kSubject}, pool.now);
  pool.now += 10s;
  pool.Crash({Answering("1", {kSystemPrompt, kDeadly})});
  pool.quarantine.OnAnswerBegan(Parts{kSystemPrompt, kSubject}, pool.now);
  cr_assert_not(pool.IsQuarantined({kSystemPrompt, kDeadly}));
  pool.Crash({Answering("2", {kDeadly, kOtherSubject})});
  cr_assert(pool.IsQuarantined({kSystemPrompt, kDeadly}));
  cr_assert(pool.IsQuarantined({kDeadly, kOtherSubject}));
  cr_assert_not(pool.IsQuarantined({kSystemPrompt, kSubject}));
  cr_assert_not(pool.IsQuarantined({kSystemPrompt, kOtherSubject}));
}

// Guards against refusing all prompts with a shared part on a router that has just started, and has
// not yet seen an answer to any.
Test(prompt_quarantine, quarantines_parts_together_that_only_occurred_together) {
  Pool pool;
  pool.Crash({Answering("1", {kSystemPrompt, kDeadly})});
  pool.Crash({Answering("2", {kSystemPrompt, kDeadly})});
  cr_assert(pool.IsQuarantined({kSystemPrompt, kDeadly}));
  cr_assert_not(pool.IsQuarantined({kSystemPrompt, kSubject}));
  pool.quarantine.OnAnswerBegan(Parts{kSystemPrompt, kSubject}, pool.now);
  cr_assert(pool.IsQuarantined({kDeadly, kOtherSubject}));
}

// Load: endpoints crash while many prompts wait. Guards against blaming those that waited beside
// the one that was being answered.
Test(prompt_quarantine, blames_no_prompt_that_waited_beside_one_being_answered) {
  Pool pool;
  for (int i = 0; i < 5; ++i) {
    const std::string id = std::to_string(i);
    pool.Crash({Waiting("w" + id, {kSystemPrompt, kSubject}), Answering("a" + id, {kDeadly})});
  }
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert_not(pool.IsQuarantined({kSystemPrompt, kSubject}));
}

// Load: the same without a prompt that was being answered: the head of the answer was lost, or the
// endpoint crashes earlier. A chat that is repeated at the next endpoint meets the same fate there.
Test(prompt_quarantine, tells_the_cause_from_a_prompt_that_was_repeated_beside_it) {
  Pool pool;
  pool.Crash({Waiting("1", {kDeadly}), Waiting("chat", {kSubject})});
  pool.Crash({Waiting("2", {kDeadly}), Waiting("chat", {kSubject})});
  cr_assert_not(pool.IsQuarantined({kDeadly}));
  pool.Crash({Waiting("3", {kDeadly}), Waiting("other", {kOtherSubject})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert_not(pool.IsQuarantined({kSubject}));
  cr_assert_not(pool.IsQuarantined({kOtherSubject}));
}

// Load: two parts crash endpoints at the same time, and prompts with a third one are in flight
// beside the second. Guards against a quarantine that ends when other parts are suspected as much.
Test(prompt_quarantine, keeps_a_part_while_another_one_is_suspected) {
  Pool pool;
  pool.Crash({Answering("1", {kDeadly})});
  pool.Crash({Answering("2", {kDeadly})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  pool.Crash({Answering("3", {kSubject}), Answering("4", {kOtherSubject})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  pool.Crash({Answering("5", {kSubject}), Answering("6", {kOtherSubject})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert_not(pool.IsQuarantined({kSubject}));
  pool.Crash({Answering("7", {kSubject})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert(pool.IsQuarantined({kSubject}));
  cr_assert_not(pool.IsQuarantined({kOtherSubject}));
}

// Guards against one request that waited at three endpoints that crashed for other reasons.
Test(prompt_quarantine, needs_several_requests_if_none_was_being_answered) {
  Pool pool;
  for (int i = 0; i < 4; ++i) {
    pool.Crash({Waiting("chat", {kSubject})});
  }
  cr_assert_not(pool.IsQuarantined({kSubject}));
}

// Guards against a part that stays unsuspected because it was sound before the endpoints' software
// changed.
Test(prompt_quarantine, suspects_a_part_that_was_sound_long_before) {
  Pool pool;
  pool.quarantine.OnAnswerBegan(Parts{kDeadly}, pool.now);
  pool.now += 5s;
  pool.Crash({Answering("1", {kDeadly})});
  pool.Crash({Answering("2", {kDeadly})});
  cr_assert(pool.IsQuarantined({kDeadly}));
}

// Guards against suspecting shared parts that are answered all the time, which would make each
// crash a report.
Test(prompt_quarantine, reports_no_part_that_was_answered_just_before) {
  Pool pool;
  pool.quarantine.OnAnswerBegan(Parts{kSystemPrompt}, pool.now);
  pool.now += 1s;
  const auto suspects = pool.quarantine.FindSuspects(
      {Waiting("1", {kSystemPrompt}), Waiting("2", {kSystemPrompt, kSubject})}, pool.now);
  cr_assert_eq(suspects.size(), 1);
  cr_assert(suspects.front().parts == Parts{kSubject});
}

// Guards against reports that several routers wrote of one crash, or that are read twice, counting
// as several crashes; and against suspecting again what an answer has cleared.
Test(prompt_quarantine, counts_a_crash_once) {
  Pool pool;
  const CrashReport report{.endpoint = EndpointName("e"),
                           .incarnation = 7,
                           .prompts = {Answering("1", {kSubject, kDeadly})}};
  for (int i = 0; i < 5; ++i) {
    pool.quarantine.Add(report, pool.now);
  }
  cr_assert_not(pool.IsQuarantined({kDeadly, kSubject}));
  pool.quarantine.OnAnswerBegan(Parts{kSubject}, pool.now);
  pool.now += 1min;
  pool.quarantine.Add(report, pool.now);
  pool.Crash({Answering("2", {kDeadly})});
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert(pool.quarantine.Quarantined().front().parts == Parts{kDeadly});
}

// Guards against a quarantine that ends while requests with the part still come, or never.
Test(prompt_quarantine, lasts_beyond_the_last_request) {
  Pool pool;
  pool.Crash({Answering("1", {kDeadly})});
  pool.Crash({Answering("2", {kDeadly})});
  for (int i = 0; i < 10; ++i) {
    pool.now += PromptQuarantine::kQuarantineTime - 1s;
    pool.quarantine.RemoveExpired(pool.now);
    cr_assert(pool.IsQuarantined({kDeadly}));
  }
  pool.now += PromptQuarantine::kQuarantineTime + 1s;
  pool.quarantine.RemoveExpired(pool.now);
  cr_assert_not(pool.IsQuarantined({kDeadly}));
}

// Guards against a quarantine that ends because many endpoints crash for other reasons, and against
// memory that grows with them.
Test(prompt_quarantine, survives_a_series_of_other_crashes) {
  Pool pool;
  pool.Crash({Answering("1", {kDeadly})});
  pool.Crash({Answering("2", {kDeadly})});
  for (int i = 0; i < 1'000; ++i) {
    pool.Crash({Waiting("w" + std::to_string(i), {PromptPart{1'000U + static_cast<unsigned>(i)}})});
  }
  cr_assert(pool.IsQuarantined({kDeadly}));
  cr_assert_eq(pool.quarantine.Quarantined().size(), 1);
}

// Guards against reports that another program, or a later version, has written.
Test(crash_report, is_decoded_as_it_was_encoded) {
  const CrashReport report{.endpoint = EndpointName("e-1"),
                           .incarnation = 1'792'178'441'408,
                           .prompts = {Answering("9c41", {kSystemPrompt, kDeadly})}};
  const CrashReport decoded = forward::DecodeCrashReport(forward::EncodeCrashReport(report));
  cr_assert(decoded.endpoint == report.endpoint);
  cr_assert_eq(decoded.incarnation, report.incarnation);
  cr_assert(decoded.prompts.front().request == "9c41");
  cr_assert(decoded.prompts.front().answering);
  cr_assert(decoded.prompts.front().parts == report.prompts.front().parts);
  for (const char* text : {"", "{}", "[1]", "{\"endpoint\":1,\"incarnation\":1,\"prompts\":[]}",
                           "{\"endpoint\":\"e\",\"incarnation\":-1,\"prompts\":[]}",
                           "{\"endpoint\":\"e\",\"incarnation\":1,\"prompts\":[7]}"}) {
    cr_assert_throw((void)forward::DecodeCrashReport(text), forward::MalformedCrashReport, "%s",
                    text);
  }
}
