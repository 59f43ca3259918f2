#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <map>
#include <string>

#include "core/hash.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/worker_pool.h"
#include "rpc/event_loop_thread.h"

namespace {

using wagtailwind::MetricsRegistry;
using wagtailwind::RendezvousScore;
using wagtailwind::StableHash;
using wagtailwind::WorkerPool;

std::string Winner(std::uint64_t key, const std::map<std::string, double>& nodes) {
  std::string best;
  double best_score = -1;
  for (const auto& [name, weight] : nodes) {
    const double score = RendezvousScore(key, name, weight);
    if (score > best_score) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

// Guards against a hash that differs between builds, which would make routers of two versions
// choose different agents for the same chat.
Test(hash, values_are_fixed) { cr_assert_eq(StableHash("wagtailwind"), 5903726348107385455ULL); }

// Guards against the loss of one agent moving chats of other agents.
Test(hash, rendezvous_moves_only_the_keys_of_a_lost_node_and_follows_weights) {
  std::map<std::string, double> nodes{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 3}};
  std::map<std::string, int> counts;
  std::map<std::string, double> without_a = nodes;
  without_a.erase("a");
  constexpr int kKeys = 6000;
  for (int key = 0; key < kKeys; ++key) {
    const std::uint64_t hash = StableHash(std::to_string(key));
    const std::string winner = Winner(hash, nodes);
    ++counts[winner];
    if (winner != "a") {
      cr_assert_eq(Winner(hash, without_a), winner);
    }
  }
  cr_assert_lt(std::abs(counts["d"] - kKeys / 2), kKeys / 20);
  cr_assert_lt(std::abs(counts["b"] - kKeys / 6), kKeys / 20);
}

Test(ids, request_ids_survive_text_and_malformed_text_is_refused) {
  const wagtailwind::RequestId id{0x01, 0xff, 0xa0};
  cr_assert(wagtailwind::RequestIdFromHex(wagtailwind::ToHex(id)) == id);
  cr_assert_not(wagtailwind::RequestIdFromHex("01").has_value());
  cr_assert_not(wagtailwind::RequestIdFromHex(std::string(32, 'g')).has_value());
}

Test(metrics, text_has_types_labels_and_quantiles) {
  MetricsRegistry registry;
  registry.GetCounter("requests_total{outcome=\"result\"}").Add(3);
  registry.GetGauge("streams").Set(2);
  registry.GetDuration("first_token_seconds").Record(std::chrono::milliseconds(20));
  const std::string text = registry.RenderText();
  cr_assert_neq(text.find("# TYPE wagtailwind_requests_total counter\n"), std::string::npos);
  cr_assert_neq(text.find("wagtailwind_requests_total{outcome=\"result\"} 3\n"), std::string::npos);
  cr_assert_neq(text.find("wagtailwind_streams 2\n"), std::string::npos);
  cr_assert_neq(text.find("wagtailwind_first_token_seconds_count 1\n"), std::string::npos);
}

// Guards against jobs that are lost when the pool stops, and against an unbounded queue.
Test(worker_pool, runs_all_accepted_jobs_and_refuses_when_full) {
  std::atomic<int> ran{0};
  {
    WorkerPool pool(2, 100);
    for (int i = 0; i < 50; ++i) {
      cr_assert(pool.Submit([&ran] { ++ran; }));
    }
  }
  cr_assert_eq(ran.load(), 50);
  WorkerPool without_threads(0, 1);
  cr_assert(without_threads.Submit([] {}));
  cr_assert_not(without_threads.Submit([] {}));
}

// Guards against lost wake-ups of the event loop.
Test(event_loop_thread, runs_posted_functions_in_order) {
  std::string order;
  {
    wagtailwind::rpc::EventLoopThread loop;
    for (char letter = 'a'; letter <= 'e'; ++letter) {
      loop.Post([&order, letter] { order.push_back(letter); });
    }
    loop.Run([&order] { order.push_back('.'); });
    cr_assert_eq(order, "abcde.");
    loop.Post([&order] { order.push_back('!'); });
  }
  cr_assert_eq(order, "abcde.!");
}
