#include "settings/settings.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <string>

namespace {

using wagtailwind::settings::ParseSettings;
using wagtailwind::settings::Settings;
using wagtailwind::settings::SettingsError;

constexpr const char* kAgent = R"(role: agent
instance: {name: llm-1, availability_zone: colombo-a, region: lk-west}
listen: {rpc: 127.0.0.1:0, gossip: 127.0.0.1:0, admin: 127.0.0.1:0}
platform: {key_value: 127.0.0.1:7001, instance_list: 127.0.0.1:7002}
endpoint: {name: wagtail-llm-1, kind: engine, pool: wagtail-llm, address: 127.0.0.1:9000, models: [returns]}
)";

std::string ErrorName(const std::string& text) {
  try {
    (void)ParseSettings(text, "test.yaml");
  } catch (const SettingsError& error) {
    return std::string(error.name()) + "@" + std::to_string(error.location().line) + " " +
           error.location().key;
  }
  return "accepted";
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

Test(settings, a_complete_agent_file_is_read) {
  const Settings settings =
      ParseSettings(std::string(kAgent) + "limits: {drain_timeout: 2min, max_body: 2MiB}\n", "f");
  cr_assert(settings.endpoint.has_value());
  cr_assert_eq(settings.endpoint->advertisement.pool.value(), "wagtail-llm");
  cr_assert_eq(settings.limits.drain_timeout.count(), 120'000);
  cr_assert_eq(settings.limits.max_body_bytes, 2U << 20U);
}

// Guards against settings that are silently ignored, or whose errors show only after the daemon
// listens.
Test(settings, each_defect_has_its_error_with_line_and_key) {
  const std::string good = kAgent;
  cr_assert_eq(ErrorName(good), "accepted");
  cr_assert_eq(ErrorName(good + "colour: red\n"), "settings_unknown_key@6 colour");
  cr_assert_eq(ErrorName(good + "workers: many\n"), "settings_wrong_type@6 workers");
  cr_assert_eq(ErrorName(good + "workers: 0\n"), "settings_out_of_range@6 workers");
  cr_assert_eq(ErrorName(good + "limits:\n  drain_timeout: 5\n"),
               "settings_wrong_unit@7 limits.drain_timeout");
  cr_assert_eq(ErrorName(good + "limits: {max_body: 3 litres}\n"),
               "settings_wrong_unit@6 limits.max_body");
  cr_assert_eq(ErrorName(Replaced(good, "127.0.0.1:7001", "platform.local:7001")),
               "settings_invalid_address@4 platform.key_value");
  cr_assert_eq(ErrorName(Replaced(good, "key_value: 127.0.0.1:7001, ", "")),
               "settings_missing_key@4 platform.key_value");
  cr_assert_eq(ErrorName(Replaced(good, "role: agent", "role: router")),
               "settings_missing_key@3 listen.http");
  cr_assert_eq(ErrorName(Replaced(good, "kind: engine", "kind: service")),
               "settings_conflict@5 endpoint.models");
  cr_assert_eq(ErrorName(good + "limits: {balancer_delay: 3min}\n"),
               "settings_conflict@6 limits.balancer_delay");
  cr_assert_eq(ErrorName(good + "workers: 2\nworkers: 3\n"), "settings_unknown_key@7 .workers");
  cr_assert_eq(ErrorName(good + "placement: {load_multiple: 1}\n"),
               "settings_out_of_range@6 placement.load_multiple");
  cr_assert_eq(ErrorName("role: [agent"), "settings_syntax@1 (document)");
  cr_assert_eq(ErrorName("just text"), "settings_wrong_type@1 ");
}

// Guards against example files that the parser no longer accepts.
Test(settings, all_example_files_are_accepted) {
  int files = 0;
  const std::filesystem::path examples = std::filesystem::path(WAGTAILWIND_SOURCE_DIR) / "examples";
  for (const auto& entry : std::filesystem::recursive_directory_iterator(examples)) {
    const std::string name = entry.path().filename();
    if (name.starts_with("router") || name.starts_with("agent")) {
      cr_assert_not(wagtailwind::settings::ReadSettings(entry.path()).instance.empty());
      ++files;
    }
  }
  cr_assert_geq(files, 6);
}
