#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

#include "platform/http_instance_list.h"
#include "platform/http_key_value_service.h"
#include "support/stand_in_process.h"

namespace {

using namespace std::chrono_literals;
using wagtailwind::MetricsRegistry;
using wagtailwind::platform::HttpInstanceList;
using wagtailwind::platform::HttpKeyValueService;
using wagtailwind::platform::InstanceListUnavailable;
using wagtailwind::platform::KeyValueOutcomeUnknown;
using wagtailwind::platform::KeyValueRateLimited;
using wagtailwind::platform::KeyValueUnavailable;
using wagtailwind::platform::LeaseExpired;
using wagtailwind::testing::StandInProcess;

struct KeyValueFixture {
  StandInProcess stand_in{"key_value_stand_in"};
  MetricsRegistry metrics;
  // Long enough that a call does not time out on a busy machine.
  HttpKeyValueService service{stand_in.Address(), metrics, 30s};

  int CountInHistory(const std::string& text) {
    const std::string history = stand_in.Fetch("/history");
    int count = 0;
    for (std::size_t at = history.find(text); at != std::string::npos;
         at = history.find(text, at + 1)) {
      ++count;
    }
    return count;
  }
};

}  // namespace

// Guards against keys or values that are corrupted in transit, and against a swap that succeeds
// with a wrong revision.
Test(platform_key_value, swaps_and_reads_any_bytes) {
  KeyValueFixture fixture;
  const std::string key = "claims/a b%2F&=?ü";
  const std::string value("bytes\0\xff{\"", 9);
  cr_assert_not(fixture.service.Get(key).has_value());
  const auto first = fixture.service.CompareAndSwap(key, 0, value, 0);
  cr_assert(first.swapped);
  const auto refused = fixture.service.CompareAndSwap(key, 0, "other", 0);
  cr_assert_not(refused.swapped);
  cr_assert_eq(refused.revision, first.revision);
  const auto read = fixture.service.Get(key);
  cr_assert(read && read->value == value && read->revision == first.revision);
}

// Guards against a large value that is truncated, and against a write over the size limit that is
// reported as written or as certainly not written.
Test(platform_key_value, holds_one_megabyte_and_no_more) {
  KeyValueFixture fixture;
  const std::string large(1'000'000, 'x');
  cr_assert(fixture.service.CompareAndSwap("large", 0, large, 0).swapped);
  cr_assert(fixture.service.Get("large")->value == large);
  cr_assert_throw((void)fixture.service.CompareAndSwap("larger", 0, large + "x", 0),
                  KeyValueOutcomeUnknown);
}

// Guards against a lost response that is reported as "not written". This happens when libcurl
// repeats the write by itself after a reused connection was closed.
Test(platform_key_value, a_lost_answer_is_unknown_and_the_write_is_sent_once) {
  KeyValueFixture fixture;
  (void)fixture.service.Get("key");
  fixture.stand_in.Control(R"({"lose_next_writes":1})");
  cr_assert_throw((void)fixture.service.CompareAndSwap("key", 0, "value", 0),
                  KeyValueOutcomeUnknown);
  cr_assert_eq(fixture.CountInHistory("compare_and_swap"), 1);
  cr_assert_eq(fixture.service.Get("key")->value, "value");
  fixture.stand_in.Control(R"({"drop_next_writes":1})");
  cr_assert_throw((void)fixture.service.CompareAndSwap("other", 0, "value", 0),
                  KeyValueOutcomeUnknown);
  cr_assert_not(fixture.service.Get("other").has_value());
}

Test(platform_key_value, every_kth_answer_is_lost) {
  KeyValueFixture fixture;
  fixture.stand_in.Control(R"({"lose_every_write":2})");
  cr_assert(fixture.service.CompareAndSwap("a", 0, "1", 0).swapped);
  cr_assert_throw((void)fixture.service.CompareAndSwap("b", 0, "1", 0), KeyValueOutcomeUnknown);
  cr_assert(fixture.service.CompareAndSwap("c", 0, "1", 0).swapped);
}

// Guards against an outage that is reported as an absent key.
Test(platform_key_value, reads_fail_as_unavailable_while_down) {
  KeyValueFixture fixture;
  fixture.stand_in.Control(R"({"down":true})");
  cr_assert_throw((void)fixture.service.Get("key"), KeyValueUnavailable);
  cr_assert_throw((void)fixture.service.Watch("key", 0, 10s), KeyValueUnavailable);
  cr_assert_throw((void)fixture.service.CompareAndSwap("key", 0, "v", 0), KeyValueOutcomeUnknown);
  fixture.stand_in.Control(R"({"down":false})");
  cr_assert(fixture.service.CompareAndSwap("key", 0, "v", 0).swapped);
}

// Guards against a write that was never sent but is reported as unknown.
Test(platform_key_value, no_connection_means_no_effect) {
  MetricsRegistry metrics;
  HttpKeyValueService service("127.0.0.1:1", metrics);
  cr_assert_throw((void)service.CompareAndSwap("key", 0, "v", 0), KeyValueUnavailable);
  cr_assert_throw((void)service.Get("key"), KeyValueUnavailable);
}

// Guards against a call that times out but is reported as refused.
Test(platform_key_value, an_answer_after_the_timeout_is_lost) {
  KeyValueFixture fixture;
  HttpKeyValueService short_timeout_service(fixture.stand_in.Address(), fixture.metrics, 50ms);
  fixture.stand_in.Control(R"({"slow_ms":60000})");
  cr_assert_throw((void)short_timeout_service.Get("key"), KeyValueUnavailable);
  cr_assert_throw((void)short_timeout_service.CompareAndSwap("key", 0, "v", 0),
                  KeyValueOutcomeUnknown);
}

// Guards against a rate limit that is reported as an outage or an unknown outcome.
Test(platform_key_value, refusals_for_the_rate_have_a_type_of_their_own) {
  KeyValueFixture fixture;
  fixture.stand_in.Control(R"({"writes_per_second":1,"reads_per_second":1})");
  const auto until_refused = [](const auto& call) {
    while (true) {
      try {
        call();
      } catch (const KeyValueRateLimited&) {
        return true;
      }
    }
  };
  cr_assert(until_refused([&] { (void)fixture.service.Get("key"); }));
  cr_assert(until_refused([&] { (void)fixture.service.CompareAndSwap("k", 0, "v", 0); }));
}

Test(platform_key_value, stale_reads_return_the_value_before) {
  KeyValueFixture fixture;
  const auto first = fixture.service.CompareAndSwap("key", 0, "1", 0);
  (void)fixture.service.CompareAndSwap("key", first.revision, "2", 0);
  fixture.stand_in.Control(R"({"stale_reads":true})");
  cr_assert_eq(fixture.service.Get("key")->revision, first.revision);
}

// Guards against a watch that misses a write made while it waits.
Test(platform_key_value, a_watch_ends_with_the_next_write) {
  KeyValueFixture fixture;
  const auto first = fixture.service.CompareAndSwap("key", 0, "1", 0);
  std::string seen;
  std::thread watcher(
      [&] { seen = fixture.service.Watch("key", first.revision, 30s).value().value; });
  (void)fixture.service.CompareAndSwap("key", first.revision, "2", 0);
  watcher.join();
  cr_assert_eq(seen, "2");
  cr_assert_not(fixture.service.Watch("key", first.revision + 1, 1ms).has_value());
}

// Guards against a key that outlives its lease, and against calls that accept an ended lease.
Test(platform_key_value, the_end_of_a_lease_deletes_its_keys) {
  KeyValueFixture fixture;
  const auto lease = fixture.service.GrantLease(std::chrono::hours(1));
  (void)fixture.service.CompareAndSwap("held", 0, "v", lease);
  fixture.service.KeepAlive(lease);
  cr_assert(fixture.service.Get("held").has_value());
  fixture.stand_in.Control(R"({"expire_lease":)" + std::to_string(lease) + "}");
  cr_assert_not(fixture.service.Get("held").has_value());
  cr_assert_throw(fixture.service.KeepAlive(lease), LeaseExpired);
  cr_assert_throw((void)fixture.service.CompareAndSwap("held", 0, "v", lease), LeaseExpired);
  const auto second = fixture.service.GrantLease(std::chrono::hours(1));
  (void)fixture.service.CompareAndSwap("held", 0, "v", second);
  fixture.service.Revoke(second);
  cr_assert_not(fixture.service.Get("held").has_value());
  try {
    (void)fixture.service.CompareAndSwap("short", 0, "v", fixture.service.GrantLease(1ms));
  } catch (const LeaseExpired&) {
    // On a busy machine the lease ends before the write.
  }
  while (fixture.service.Get("short")) {
  }
}

// Guards against a list that can't be read but is reported as empty.
Test(platform_instance_list, lags_and_fails_with_its_own_error) {
  StandInProcess stand_in("instance_list_stand_in");
  MetricsRegistry metrics;
  HttpInstanceList list(stand_in.Address(), metrics, 30s);
  cr_assert(list.Read().empty());
  stand_in.Control(R"({"instances":[{"name":"a","zone":"z","gossip_address":"127.0.0.1:1"},
      {"name":"no zone"}]})");
  cr_assert_eq(list.Read().size(), 1U);
  stand_in.Control(R"({"lag_ms":3600000,"leaving":["a"]})");
  cr_assert_not(list.Read().front().leaving);
  stand_in.Control(R"({"lag_ms":0})");
  cr_assert(list.Read().front().leaving);
  stand_in.Control(R"({"down":true})");
  cr_assert_throw((void)list.Read(), InstanceListUnavailable);
}
