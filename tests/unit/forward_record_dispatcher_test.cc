#include <string>
#include <vector>

#include "forward/record_dispatcher.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using Items = std::vector<platform::KeyValueItem>;

struct Recorder final : forward::FeedListener {
  void OnSnapshot(const Items& items, BootTime) override { Add("snapshot", items); }
  void OnChanges(const Items& items, BootTime) override { Add("changes", items); }
  void OnFeedLost() override { events.emplace_back("lost"); }
  void OnFeedRegained(SteadyTime) override { events.emplace_back("regained"); }
  void OnServiceRestored() override { events.emplace_back("restored"); }

  void Add(std::string event, const Items& items) {
    for (const platform::KeyValueItem& item : items) {
      event += " " + item.key;
    }
    events.push_back(std::move(event));
  }

  std::vector<std::string> events;
};

platform::KeyValueItem Item(const std::string& key) { return {.key = key, .value = {}}; }

using Events = std::vector<std::string>;

}  // namespace

// Guards against a record that reaches the wrong follower, and against a list
// of endpoints that is emptied by a read which contains only the configuration.
Test(record_dispatcher, gives_each_follower_its_records) {
  Recorder configuration;
  Recorder endpoints;
  Recorder evacuations;
  Recorder routers;
  Recorder other_routers;
  forward::RecordDispatcher dispatcher({.endpoint_prefix = "endpoint/",
                                        .router_prefix = "router/",
                                        .evacuation_prefix = "evacuated/",
                                        .configuration = configuration,
                                        .endpoints = endpoints,
                                        .evacuations = evacuations,
                                        .routers = {&routers, &other_routers}});
  dispatcher.OnSnapshot(
      {Item("configuration"), Item("endpoint/a"), Item("other"), Item("router/1")}, {});
  dispatcher.OnChanges({Item("endpoint/b"), Item("router/2")}, {});
  dispatcher.OnChanges({Item("configuration")}, {});
  dispatcher.OnChanges({Item("evacuated/zone-1")}, {});
  dispatcher.OnFeedLost();
  dispatcher.OnFeedRegained({});
  dispatcher.OnServiceRestored();
  // A watch without a change of the configuration confirms it as well.
  cr_assert(configuration.events ==
            Events({"snapshot configuration other", "changes", "changes configuration", "changes",
                    "lost", "regained", "restored"}));
  cr_assert(evacuations.events ==
            Events({"snapshot", "changes evacuated/zone-1", "lost", "regained", "restored"}));
  cr_assert(endpoints.events ==
            Events({"snapshot endpoint/a", "changes endpoint/b", "lost", "regained", "restored"}));
  cr_assert(routers.events ==
            Events({"snapshot router/1", "changes router/2", "lost", "regained", "restored"}));
  cr_assert(other_routers.events == routers.events);
}
