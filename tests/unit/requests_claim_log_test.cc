#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "requests/claim_codec.h"
#include "requests/claim_log.h"
#include "requests/claim_partition.h"
#include "support/fake_clock.h"
#include "support/fake_key_value_service.h"

// Included last: its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

using wagtailwind::RequestId;
using wagtailwind::SeededRandomSource;
using wagtailwind::requests::ClaimResult;
using wagtailwind::requests::KeyHash;
using wagtailwind::requests::detail::ClaimPartitionLog;
using wagtailwind::requests::detail::PendingClaim;
using wagtailwind::testing::FakeClock;
using wagtailwind::testing::FakeKeyValueService;

constexpr const char* kPartitionKey = "claims/returns-api/3";

KeyHash Hash(int number) {
  KeyHash hash{};
  hash[0] = static_cast<std::uint8_t>(number);
  hash[1] = static_cast<std::uint8_t>(number >> 8);
  return hash;
}

/// Two agents that commit to the same partition, as happens if routers disagree about its owner.
struct Agents {
  FakeClock clock;
  FakeKeyValueService key_values;
  SeededRandomSource random{7};
  ClaimPartitionLog first{kPartitionKey, key_values, clock};
  ClaimPartitionLog second{kPartitionKey, key_values, clock};

  PendingClaim NewClaim(int key) { return {Hash(key), random.NewRequestId(), false, {}}; }

  ClaimResult Claim(ClaimPartitionLog& log, int key) {
    const std::vector<PendingClaim> batch{NewClaim(key)};
    return log.Commit(batch)[0];
  }
};

}  // namespace

// Guards against a second execution of a call if two agents act as owners of the partition.
Test(claim_log, of_two_agents_only_one_gets_a_key) {
  Agents agents;
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kClaimed);
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kTaken);
  cr_assert(agents.Claim(agents.second, 2) == ClaimResult::kClaimed);
  // The first agent's copy is outdated now.
  cr_assert(agents.Claim(agents.first, 2) == ClaimResult::kTaken);
  cr_assert(agents.Claim(agents.first, 3) == ClaimResult::kClaimed);
}

// Guards against a lost update if another agent writes between an agent's read and its swap.
Test(claim_log, a_write_in_between_is_seen) {
  Agents agents;
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kClaimed);
  agents.key_values.BeforeNextSwap(
      [&] { cr_assert(agents.Claim(agents.second, 5) == ClaimResult::kClaimed); });
  cr_assert(agents.Claim(agents.first, 5) == ClaimResult::kTaken);
}

// Guards against two claims of one key if both arrive in the same batch.
Test(claim_log, a_batch_claims_a_key_once) {
  Agents agents;
  const std::vector<PendingClaim> batch{agents.NewClaim(1), agents.NewClaim(1), agents.NewClaim(2)};
  const std::vector<ClaimResult> results = agents.first.Commit(batch);
  cr_assert(results[0] == ClaimResult::kClaimed);
  cr_assert(results[1] == ClaimResult::kTaken);
  cr_assert(results[2] == ClaimResult::kClaimed);
  cr_assert_eq(agents.key_values.Swaps(), 1);
}

// Guards against an attempt that finds the key taken by its own claim, and against a lost claim,
// after the answer to a write was lost.
Test(claim_log, a_lost_answer_is_settled_by_reading) {
  Agents agents;
  agents.key_values.LoseNextAnswers(1);
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kClaimed);
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kTaken);
  agents.key_values.LoseNextRequests(1);
  cr_assert(agents.Claim(agents.first, 2) == ClaimResult::kClaimed);
  cr_assert(agents.Claim(agents.second, 2) == ClaimResult::kTaken);
}

// Guards against a key that stays blocked in the only process that knows that its call was not
// sent, and against its reuse by a process that can't know that.
Test(claim_log, an_unsettled_claim_is_reusable_by_its_process_only) {
  Agents agents;
  cr_assert(agents.Claim(agents.first, 9) == ClaimResult::kClaimed);
  agents.key_values.LoseNextAnswers(1);
  agents.key_values.FailNextReads(1);
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kUnavailable);
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kTaken);
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kClaimed);
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kTaken);
}

Test(claim_log, an_outage_claims_nothing) {
  Agents agents;
  agents.key_values.SetDown(true);
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kUnavailable);
  agents.key_values.SetDown(false);
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kClaimed);
}

// Guards against a released claim that stays taken, and against the release of another attempt's
// claim.
Test(claim_log, an_abandoned_claim_is_free_for_all_but_only_its_owner_releases_it) {
  Agents agents;
  PendingClaim claim = agents.NewClaim(1);
  cr_assert(agents.first.Commit(std::vector{claim})[0] == ClaimResult::kClaimed);
  PendingClaim other_attempt = agents.NewClaim(1);
  other_attempt.abandon = true;
  (void)agents.second.Commit(std::vector{other_attempt});
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kTaken);
  claim.abandon = true;
  (void)agents.first.Commit(std::vector{claim});
  cr_assert(agents.Claim(agents.second, 1) == ClaimResult::kClaimed);
  // A late repetition of the release must not free the new claim.
  (void)agents.first.Commit(std::vector{claim});
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kTaken);
}

// Guards against claims that are missing at an agent that starts after the head was sealed and
// segments were merged.
Test(claim_log, sealed_claims_are_known_to_a_successor) {
  Agents agents;
  constexpr int kKeys = 3000;
  for (int key = 0; key < kKeys; key += 50) {
    std::vector<PendingClaim> batch;
    batch.reserve(50);
    for (int i = 0; i < 50; ++i) {
      batch.push_back(agents.NewClaim(key + i));
    }
    for (const ClaimResult result : agents.first.Commit(batch)) {
      cr_assert(result == ClaimResult::kClaimed);
    }
  }
  ClaimPartitionLog successor(kPartitionKey, agents.key_values, agents.clock);
  for (int key = 0; key < kKeys; key += 7) {
    cr_assert(agents.Claim(successor, key) == ClaimResult::kTaken);
  }
  const auto head = wagtailwind::requests::DecodeHead(agents.key_values.Get(kPartitionKey)->value);
  cr_assert_leq(head.entries.size(), 128);
  cr_assert_leq(head.segments.size(), 14);
}

// Guards against claims that expire while their keys are still accepted.
Test(claim_log, claims_outlive_the_acceptance_of_their_keys) {
  Agents agents;
  cr_assert(agents.Claim(agents.first, 1) == ClaimResult::kClaimed);
  const auto fill = [&agents](int from) {
    std::vector<PendingClaim> batch;
    batch.reserve(64);
    for (int i = 0; i < 64; ++i) {
      batch.push_back(agents.NewClaim(from + i));
    }
    (void)agents.first.Commit(batch);
  };
  fill(100);
  fill(200);
  fill(300);
  agents.clock.Advance(std::chrono::hours(23) + std::chrono::minutes(30));
  fill(400);
  fill(500);
  ClaimPartitionLog successor(kPartitionKey, agents.key_values, agents.clock);
  cr_assert(agents.Claim(successor, 1) == ClaimResult::kTaken);
}

// Guards against sequences of faults after which two attempts with one key may both be sent.
Test(claim_log, no_key_is_claimed_twice_under_random_faults) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Agents agents;
    std::mt19937_64 random(seed);
    std::map<int, int> sendable;
    for (int step = 0; step < 60; ++step) {
      switch (random() % 6) {
        case 0:
          agents.key_values.LoseNextAnswers(1);
          break;
        case 1:
          agents.key_values.LoseNextRequests(1);
          break;
        case 2:
          agents.key_values.FailNextReads(1);
          break;
        case 3:
          agents.key_values.SetStaleReads(random() % 2 == 0);
          break;
        default:
          break;
      }
      ClaimPartitionLog& log = random() % 2 == 0 ? agents.first : agents.second;
      const int key = static_cast<int>(random() % 8);
      if (agents.Claim(log, key) == ClaimResult::kClaimed) {
        cr_assert_eq(++sendable[key], 1, "seed %lu key %d", static_cast<unsigned long>(seed), key);
      }
    }
  }
}

Test(claim_log, malformed_values_are_refused) {
  using wagtailwind::requests::DecodeHead;
  using wagtailwind::requests::MalformedClaims;
  cr_assert_throw(DecodeHead("not base64 !"), MalformedClaims);
  cr_assert_throw(DecodeHead("AAAA"), MalformedClaims);
  cr_assert_throw(DecodeHead("____________________"), MalformedClaims);
}

// Guards against a rate of writes to the key-value service that grows with the number of calls.
Test(claim_log, concurrent_claims_share_commits) {
  FakeKeyValueService key_values;
  const wagtailwind::SystemClock clock;
  wagtailwind::MetricsRegistry metrics;
  wagtailwind::WorkerPool workers(4, 64);
  SeededRandomSource random(3);
  const auto claims = wagtailwind::requests::MakeClaimLog(wagtailwind::ServiceName("returns-api"),
                                                          key_values, workers, clock, metrics);
  const wagtailwind::OrganisationName organisation("canteen");
  constexpr int kCalls = 1000;
  std::vector<std::promise<ClaimResult>> promises(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    wagtailwind::requests::RequestKey key;
    key.text = "key-" + std::to_string(i);
    claims->Claim(organisation, key, random.NewRequestId(),
                  [&promises, i](ClaimResult result) { promises[i].set_value(result); });
  }
  for (std::promise<ClaimResult>& promise : promises) {
    cr_assert(promise.get_future().get() == ClaimResult::kClaimed);
  }
  // Each of the 16 partitions gets about 63 keys: at most two commits and one segment each, plus a
  // margin of one write.
  cr_assert_leq(key_values.Swaps(), std::uint64_t{4} * wagtailwind::requests::kClaimPartitions);
}

Test(request_key, uuids_of_version_7_inside_the_window_are_accepted_and_lower_cased) {
  using wagtailwind::requests::IsWithinAcceptanceWindow;
  using wagtailwind::requests::ParseRequestKey;
  const auto key = ParseRequestKey("019A3B6C-4D5E-7F01-8234-56789ABCDEF0");
  cr_assert(key.has_value());
  cr_assert_eq(key->text, "019a3b6c-4d5e-7f01-8234-56789abcdef0");
  cr_assert_not(ParseRequestKey("019a3b6c-4d5e-4f01-8234-56789abcdef0").has_value());
  cr_assert_not(ParseRequestKey("019a3b6c-4d5e-7f01-c234-56789abcdef0").has_value());
  cr_assert_not(ParseRequestKey("019a3b6c-4d5e-7f01-8234-56789abcdefg").has_value());
  cr_assert_not(ParseRequestKey("").has_value());
  cr_assert(IsWithinAcceptanceWindow(*key, key->created + std::chrono::hours(22)));
  cr_assert_not(IsWithinAcceptanceWindow(*key, key->created + std::chrono::hours(23)));
  cr_assert_not(IsWithinAcceptanceWindow(*key, key->created - std::chrono::minutes(6)));
}
