#include <string>
#include <utility>

#include "forward/confirmation.h"
#include "forward/header_rules.h"
#include "forward/routing.h"
#include "support/fake_clock.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using wagtailwind::forward::Route;
using wagtailwind::forward::RoutingConfiguration;

void Add(RoutingConfiguration& configuration, const std::string& prefix) {
  Route route;
  route.name = prefix;
  route.host = "Shop.example";
  route.prefix = prefix;
  configuration.AddRoute(std::move(route));
}

std::string Find(const RoutingConfiguration& configuration, std::string_view host,
                 std::string_view path) {
  const auto route = configuration.FindRoute(host, path);
  return route ? route->name : "none";
}

}  // namespace

// Guards against routing requests to a service whose prefix is shorter or only similar.
Test(routing, picks_the_longest_prefix_of_the_host) {
  RoutingConfiguration configuration;
  Add(configuration, "/a/");
  Add(configuration, "/a/b/");
  cr_assert_eq(Find(configuration, "shop.example", "/a/x"), std::string("/a/"));
  cr_assert_eq(Find(configuration, "SHOP.example:8080", "/a/b/c/d"), std::string("/a/b/"));
  cr_assert_eq(Find(configuration, "shop.example.", "/a/b"), std::string("/a/"));
  cr_assert_eq(Find(configuration, "shop.example", "/ab/"), std::string("none"));
  cr_assert_eq(Find(configuration, "shop.example", "/a"), std::string("none"));
  cr_assert_eq(Find(configuration, "other.example", "/a/x"), std::string("none"));
}

// Guards against a key that stays valid because the machine was suspended, or because its
// confirmation took long to arrive.
Test(confirmation, ages_from_the_sending_and_through_suspension) {
  wagtailwind::testing::FakeClock clock;
  wagtailwind::forward::Confirmation confirmation;
  cr_assert(confirmation.Age(clock.BootNow()) == std::chrono::nanoseconds::max());
  const auto sent_at = clock.BootNow();
  clock.Advance(900ms);
  confirmation.OnConfirmed(sent_at);
  cr_assert(confirmation.Age(clock.BootNow()) == 900ms);
  clock.Suspend(30s);
  cr_assert(confirmation.Age(clock.BootNow()) == 30'900ms);
  confirmation.OnConfirmed(sent_at - 1s);
  cr_assert(confirmation.Age(clock.BootNow()) == 30'900ms);
}

// Guards against forwarding hop-by-hop headers, both those that `Connection` lists and the standard
// ones.
Test(header_rules, drops_the_fields_of_one_connection) {
  const auto kept = wagtailwind::forward::EndToEndHeaders({{"Connection", "close, X-Hop"},
                                                           {"x-hop", "1"},
                                                           {"Keep-Alive", "timeout=5"},
                                                           {"Transfer-Encoding", "chunked"},
                                                           {"X-End", "2"}});
  cr_assert_eq(kept.size(), 1);
  cr_assert_eq(kept[0].name, std::string("X-End"));
}

// Guards against reading numbers from malformed fields.
Test(header_rules, reads_only_well_formed_fields) {
  using namespace wagtailwind::forward;  // NOLINT(google-build-using-namespace)
  cr_assert(*ParseMilliseconds("1500") == 1500ms);
  cr_assert_not(ParseMilliseconds("-1").has_value());
  cr_assert_not(ParseMilliseconds("15s").has_value());
  cr_assert(*KeepAliveTimeout("max=5, timeout=7") == 7s);
  cr_assert_not(KeepAliveTimeout("max=5").has_value());
  cr_assert_eq(ParseLoad("3, 1,8")->waiting, 1);
  cr_assert_not(ParseLoad("3,1").has_value());
}

// Guards against losing the load for a malformed pace, and against a pace that no machine has.
Test(header_rules, reads_the_pace_of_a_load_report) {
  using namespace wagtailwind::forward;  // NOLINT(google-build-using-namespace)
  cr_assert_eq(*ParseLoad("3,1,8,250")->pace, 2.5);
  cr_assert_eq(*ParseLoad("3,1,8, 100 ")->pace, 1.0);
  cr_assert_not(ParseLoad("3,1,8")->pace.has_value());
  cr_assert_not(HasMalformedPace("3,1,8"));
  cr_assert_not(HasMalformedPace("3,1,8,250"));
  for (const char* text : {"3,1,8,", "3,1,8,fast", "3,1,8,0", "3,1,8,-100", "3,1,8,nan",
                           "3,1,8,inf", "3,1,8,99999", "3,1,8,100%"}) {
    cr_assert_eq(ParseLoad(text)->running, 3, "%s", text);
    cr_assert_not(ParseLoad(text)->pace.has_value(), "%s", text);
    // Lists may end with an empty item (RFC 9110, section 5.6.1).
    cr_assert_eq(HasMalformedPace(text), std::string_view(text) != "3,1,8,", "%s", text);
  }
}
