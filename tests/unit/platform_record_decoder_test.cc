#include <sys/resource.h>

#include <string>
#include <utility>
#include <vector>

#include "forward/deployment_adapter.h"
#include "platform/adapter.h"
#include "platform/record_decoder.h"
#include "platform/store_codec.h"

// Included last, since its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::MalformedEndpointEntry;
using forward::RequestKind;

constexpr const char* kEntry =
    R"({"Service":"s1","Addr":"10.1.2.3:8080","Zone":"z1","Version":"v1","Slots":32,)"
    R"("State":"ready","ColdLeftMs":0,"Models":[{"Name":"m","Version":1,"Adapters":[]}],)"
    R"("Seq":4,"born":1700000000000})";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

// Guards against admission control that is switched on or off by other rule sets than the one for
// callers that compete for capacity.
Test(platform_adapter, knows_the_rule_set_for_contention) {
  const auto platform = adapter::MakeAdapter();
  cr_assert(platform->HasContention(std::vector<std::string>{"other", "pressure"}));
  cr_assert_not(platform->HasContention(std::vector<std::string>{"other", "pressures"}));
  cr_assert_not(platform->HasContention({}));
}

// Guards against fields of an entry that the decoder drops.
Test(platform_records, decodes_the_entry_of_a_replica) {
  const auto record = adapter::DecodeEndpoint("i-1", kEntry);
  cr_assert_eq(record.name.value(), std::string("i-1"));
  cr_assert_eq(record.service.value(), std::string("s1"));
  cr_assert_eq(record.address, std::string("10.1.2.3:8080"));
  cr_assert_eq(record.slots, 32);
  cr_assert_not(record.draining);
  cr_assert_eq(record.incarnation, 1'700'000'000'000U);
  cr_assert_eq(record.models.size(), 1);
  cr_assert(record.cold_time == 0ms);
  cr_assert(adapter::DecodeEndpoint("i-1", Replaced(kEntry, "Ms\":0", "Ms\":2400")).cold_time ==
            2'400ms);
  cr_assert(adapter::DecodeEndpoint("i-1", Replaced(kEntry, "ready", "draining")).draining);
}

// Guards against using malformed entries that another program wrote into the list of replicas.
Test(platform_records, refuses_entries_that_name_no_replica_to_use) {
  for (const std::string& text :
       {std::string("not json"), std::string("[]"), std::string("{}"),
        Replaced(kEntry, "\"s1\"", "7"), Replaced(kEntry, "32", "\"32\""),
        Replaced(kEntry, "ready", "resting"), Replaced(kEntry, "10.1.2.3:8080", "somewhere"),
        Replaced(kEntry, "\"Zone\"", "\"Place\""), Replaced(kEntry, "1700000000000", "1.5")}) {
    cr_assert_throw((void)adapter::DecodeEndpoint("i-1", text), MalformedEndpointEntry, "%s",
                    text.c_str());
  }
}

// Guards against numbers of another writer that wrap around or overflow: no slots, a port that none
// can connect to, a start far outside of the clock's range.
Test(platform_records, refuses_entries_with_numbers_out_of_range) {
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {":8080", ":0"},
           {":8080", ":65536"},
           {":8080", ":-1"},
           {":8080", ":99999999999999999999"},
           {":32", ":0"},
           {":32", ":-1"},
           {":32", ":4294967296"},
           {":32", ":18446744073709551615"},
           {":32", ":18446744073709551616"},
           {":32", ":1e999"},
           {"1700000000000", "9223372036854775807"},
           {"1700000000000", "9223372036855"},
           {"1700000000000", "18446744073709551615"},
           {"\"ColdLeftMs\":0", "\"ColdLeftMs\":1e400"}}) {
    cr_assert_throw((void)adapter::DecodeEndpoint("i-1", Replaced(kEntry, from, to)),
                    MalformedEndpointEntry, "%s instead of %s", to.c_str(), from.c_str());
  }
  cr_assert_eq(adapter::DecodeEndpoint("i-1", Replaced(kEntry, ":8080", ":65535")).slots, 32);
}

// Guards against an entry whose name would end the header field in which it is sent.
Test(platform_records, refuses_names_that_are_no_header_value) {
  for (const std::string name : {"i-1\r\nApi-Key: x", "i 1", "i\t1", "i-\x7f", "i-\xc3\xa9"}) {
    cr_assert_throw((void)adapter::DecodeEndpoint(name, kEntry), MalformedEndpointEntry, "%s",
                    name.c_str());
  }
}

// Guards against a process that runs out of memory, again after each restart, because another
// writer has left an entry that takes many times its size when it is decoded.
Test(platform_records, decodes_odd_entries_within_a_memory_bound) {
  // The store's largest value. Decoding may take eight times as much: a small part of the smallest
  // machine's 112 MB.
  constexpr std::size_t kValueBytes = 1U << 20U;
  constexpr long kMaxGrowthKilobytes = 8 * kValueBytes / 1024;
  const auto peak_kilobytes = [] {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
  };
  const auto nested = [](std::string_view open, std::string_view close, std::size_t levels) {
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
      text += open;
    }
    text += '1';
    for (std::size_t i = 0; i < levels; ++i) {
      text += close;
    }
    return text;
  };
  std::vector<std::string> values;
  for (const std::size_t bytes : {std::size_t{60'000}, kValueBytes}) {
    values.push_back(std::string(bytes, '['));
    values.push_back(nested("[", "]", bytes / 2));
    values.push_back(nested("{\"a\":", "}", bytes / 6));
    values.push_back(Replaced(kEntry, "\"v1\"", nested("[", "]", bytes / 2)));
    values.push_back("[" + nested("{},", "", bytes / 3));
  }
  values.push_back(Replaced(kEntry, "\"Adapters\":[]", "\"Adapters\":" + nested("[", "]", 1'000)));
  const long before = peak_kilobytes();
  for (const std::string& value : values) {
    cr_assert_throw((void)adapter::DecodeEndpoint("i-1", value), MalformedEndpointEntry);
  }
  cr_assert_leq(peak_kilobytes() - before, kMaxGrowthKilobytes);
}

// Guards against routes, keys or limits that the decoder drops or changes.
Test(platform_records, decodes_a_configuration) {
  const auto configuration = adapter::DecodeConfiguration(
      R"({"Version":7,"Routes":[{"Name":"r1","Host":"h.example","Prefix":"/a/","Kind":"stream",)"
      R"("TimeoutMs":12000,"SloMs":500,"Prio":1,"HomeRegions":["north"],"Split":[{"Service":"s1","Weight":90},)"
      R"({"Service":"s2","Weight":10}],"Attempts":2,"Public":false,"Sticky":true,)"
      R"("Resumable":true,"ItlTargetMs":300},{"Name":"r2","Host":"h.example","Prefix":"/b/",)"
      R"("Kind":"strange","TimeoutMs":1000,"Service":"s2","Public":true}],)"
      R"("Services":[{"Name":"s1","MaxConns":460,"ColdS":3.0,"ColdPerS":10.5,"Engine":{"Slots":32}},)"
      R"({"Name":"s2"}],)"
      R"("Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":3,)"
      R"("IdleTimeoutMs":4},"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Prio":2,"HomeRegions":["south"]}]})");
  cr_assert_eq(configuration->version, 7);
  const auto stream = configuration->FindRoute("h.example", "/a/x");
  cr_assert(stream->kind == RequestKind::kStream && stream->IsRepeatable());
  cr_assert(stream->timeout == 12'000ms && stream->objective == 500ms);
  cr_assert(stream->max_pause == 300ms && stream->max_attempts == 2 && stream->has_prompt);
  cr_assert_eq(stream->services[0].weight, 90);
  const auto other = configuration->FindRoute("h.example", "/b/");
  cr_assert(other->kind == RequestKind::kNonIdempotent && other->is_public);
  cr_assert_eq(other->max_attempts, 1);
  cr_assert(configuration->services.at("s1").shares_cache);
  cr_assert_not(configuration->services.at("s2").shares_cache);
  cr_assert(configuration->services.at("s1").cold_time == 3s);
  cr_assert_eq(configuration->services.at("s1").cold_rate, 10.5);
  cr_assert(configuration->services.at("s2").cold_time == 0s);
  cr_assert_eq(configuration->services.at("s2").cold_rate, 0);
  cr_assert(stream->home_regions == std::vector{RegionName("north")});
  cr_assert(other->home_regions.empty());
  cr_assert(configuration->FindKey("k2")->home_regions == std::vector{RegionName("south")});
  cr_assert_eq(configuration->limits.max_body_bytes, 200);
  cr_assert(configuration->limits.idle_timeout == 4ms);
  cr_assert_eq(configuration->FindKey("k2")->organisation.value(), std::string("t1"));
  cr_assert_eq(configuration->FindKey("k2")->priority, 2);
  cr_assert_null(configuration->FindKey("k3"));
  cr_assert_throw((void)adapter::DecodeConfiguration("{\"Version\":1}"),
                  forward::MalformedConfiguration);
}

// Guards against cold times, rates and homes that are clamped or ignored because they make no
// sense.
Test(platform_records, refuses_cold_times_and_homes_out_of_range) {
  for (const char* text :
       {R"({"Version":1,"Routes":[],"Services":[{"Name":"s","ColdS":-1}]})",
        R"({"Version":1,"Routes":[],"Services":[{"Name":"s","ColdS":"3"}]})",
        R"({"Version":1,"Routes":[],"Services":[{"Name":"s","ColdPerS":1e300}]})",
        R"({"Version":1,"Routes":[],"Services":[],"Tenants":[{"Name":"t","ApiKeys":[],)"
        R"("HomeRegions":"north"}]})"}) {
    cr_assert_throw((void)adapter::DecodeConfiguration(text), forward::MalformedConfiguration, "%s",
                    text);
  }
  cr_assert_throw(
      (void)adapter::DecodeEndpoint("i-1", Replaced(kEntry, "Ms\":0", "Ms\":99999999999")),
      MalformedEndpointEntry);
}

// Guards against decoding that drops items, deletions or the marker of a next page.
Test(platform_records, reads_pages_of_the_store) {
  const adapter::StoreCodec codec;
  const auto page = codec.DecodeRange(
      R"({"Items":[{"Key":"k","Value":"bm9kZS0x","Rev":5,"Created":5,"Lease":0}],)"
      R"("HasMore":true,"StoreRevision":9})");
  cr_assert(page.has_more && page.revision == 9);
  cr_assert_eq(page.items[0].value, std::string("node-1"));
  const auto watch =
      codec.DecodeWatch(R"({"events":[{"Key":"k","Rev":6,"Deleted":true}],"StoreRevision":10})");
  cr_assert(watch.changes[0].deleted && watch.changes[0].revision == 6);
  cr_assert_throw((void)codec.DecodeWatch("{}"), platform::MalformedKeyValueAnswer);
  cr_assert_throw(
      (void)codec.DecodeRange(R"({"Items":[{"Key":"k","Value":"%","Rev":5}],"StoreRevision":9})"),
      platform::MalformedKeyValueAnswer);
  cr_assert_neq(codec.RangeRequest("a/", "a/b c").find("SinceRev=a/b%20c"), std::string::npos);
}

// Guards against a restored store that goes unnoticed, and against an era read from another value.
Test(platform_records, reads_the_era_of_the_store) {
  const adapter::StoreCodec codec;
  cr_assert(codec.DecodeEra({{"Date", "x"}, {"store-era", "7"}}) == platform::Era(7));
  for (const char* text : {"", "x", "7x", "-1", " ", "99999999999999999999"}) {
    cr_assert(!codec.DecodeEra({{"Store-Era", text}}), "%s", text);
  }
  cr_assert(!codec.DecodeEra({}));
}

// Guards against writes that the store would take for others, or that end with no lease.
Test(platform_records, encodes_writes_to_the_store) {
  const adapter::StoreCodec codec;
  const std::string lease = codec.LeaseRequest(600s);
  cr_assert(lease.starts_with("POST /api/kv-lease HTTP/1.1\r\n"));
  cr_assert(lease.ends_with("\r\nContent-Length: 16\r\n\r\n{\"TtlMs\":600000}"), "%s",
            lease.c_str());
  cr_assert_eq(codec.DecodeLease(R"({"Lease":77120,"TtlMs":600000})"), 77'120);
  const std::vector<platform::KeyValueWrite> writes = {{.key = "wagtailwind/a", .value = "x"}};
  const std::string put = codec.PutRequest(writes, 77'120);
  cr_assert(put.starts_with("POST /api/kv-txn HTTP/1.1\r\n"));
  cr_assert(put.ends_with(
      R"({"IfRev":[],"Puts":[{"Key":"wagtailwind/a","Lease":77120,"Value":"eA=="}],"Remove":[]})"));
  cr_assert_throw((void)codec.DecodeLease("{}"), platform::MalformedKeyValueAnswer);
}
