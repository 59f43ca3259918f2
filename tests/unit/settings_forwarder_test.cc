#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include "settings/forwarder_settings.h"

// Included last, because its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using wagtailwind::settings::ParseForwarderSettings;

constexpr const char* kFile = R"(
role: forwarder
instance:
  name: front-1
  availability_zone: zone-1
  memory: 182MiB
listen:
  callers: 10.0.0.1:8000
  admin: 10.0.0.1:8001
  metrics: 10.0.0.1:8002
platform:
  key_value: 10.0.0.2:8003
bounds:
  key_revocation: 5000ms
  configuration: 2000ms
  endpoint_drain: 3000ms
  grace: 8s
  retry_ratio: 0.2
  retry_slack: 108
  cold_factor: 1.5
  cold_slack: 5
balancing:
  learned_performance: on
  admission: off
rule_sets: ["base","pressure"]
regions: {"zone-1":"region-1","zone-2":"region-1"}
log:
  level: info
)";

std::string WithoutLine(const std::string& line) {
  std::string text = kFile;
  const std::size_t at = text.find(line);
  return text.erase(at, text.find('\n', at) + 1 - at);
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

// Guards against a setting that is stored in the wrong field or unit.
Test(forwarder_settings, reads_all_keys) {
  const auto settings = ParseForwarderSettings(kFile, "f.yaml");
  cr_assert_eq(settings.instance.value(), std::string("front-1"));
  cr_assert_eq(settings.memory_bytes, 182U << 20U);
  cr_assert_eq(settings.listen_metrics, std::string("10.0.0.1:8002"));
  cr_assert(settings.bounds.key_revocation == 5s && settings.bounds.grace == 8s);
  cr_assert(settings.bounds.endpoint_drain == 3s);
  cr_assert_eq(settings.bounds.retry_slack, 108);
  cr_assert_eq(settings.bounds.cold_factor, 1.5);
  cr_assert_eq(settings.bounds.cold_slack, 5);
  cr_assert(settings.balancing.learned_performance == wagtailwind::settings::FeatureMode::kOn);
  cr_assert(settings.balancing.admission == wagtailwind::settings::FeatureMode::kOff);
  cr_assert_eq(settings.rule_sets.size(), 2);
  cr_assert_eq(settings.regions.size(), 2);
  cr_assert_eq(settings.regions.at(1).zone.value(), std::string("zone-2"));
  cr_assert_eq(settings.regions.at(1).region.value(), std::string("region-1"));
}

// Guards against a forwarder that starts from a faulty file with other bounds than its operators
// intended.
Test(forwarder_settings, refuses_files_with_errors) {
  namespace settings = wagtailwind::settings;
  cr_assert_throw((void)ParseForwarderSettings(WithoutLine("  callers"), "f"),
                  settings::MissingKey);
  cr_assert_throw((void)ParseForwarderSettings(WithoutLine("  key_value"), "f"),
                  settings::WrongType);
  cr_assert_throw((void)ParseForwarderSettings(std::string(kFile) + "other: 1\n", "f"),
                  settings::UnknownKey);
  cr_assert_throw((void)ParseForwarderSettings(
                      std::regex_replace(kFile, std::regex("grace: 8s"), "grace: 8"), "f"),
                  settings::WrongUnit);
  cr_assert_throw((void)ParseForwarderSettings(
                      std::regex_replace(kFile, std::regex("ratio: 0\\.2"), "ratio: 99"), "f"),
                  settings::OutOfRange);
  cr_assert_throw((void)ParseForwarderSettings("a: [", "f"), settings::SyntaxError);
}

// Guards against undocumented settings, and against documented keys that don't exist.
Test(forwarder_settings, page_and_code_list_the_same_keys) {
  const std::string page =
      ReadFile(std::filesystem::path(WAGTAILWIND_SOURCE_DIR) / "docs" / "forwarder-settings.md");
  std::set<std::string> documented;
  const std::regex row(R"(\n\| `([a-z_.]+)` \|)");
  for (std::sregex_iterator match(page.begin(), page.end(), row), end; match != end; ++match) {
    documented.insert((*match)[1]);
  }
  const std::set<std::string> read{"role",
                                   "instance.name",
                                   "instance.availability_zone",
                                   "instance.memory",
                                   "listen.callers",
                                   "listen.admin",
                                   "listen.metrics",
                                   "platform.key_value",
                                   "bounds.key_revocation",
                                   "bounds.configuration",
                                   "bounds.endpoint_drain",
                                   "bounds.grace",
                                   "bounds.retry_ratio",
                                   "bounds.retry_slack",
                                   "bounds.cold_factor",
                                   "bounds.cold_slack",
                                   "balancing.learned_performance",
                                   "balancing.admission",
                                   "rule_sets",
                                   "regions",
                                   "log.level"};
  cr_assert(documented == read);
  // Each key occurs in the sample file, which the parser accepts; the parser rejects other keys.
  for (const std::string& key : read) {
    cr_assert_neq(std::string(kFile).find(key.substr(key.find('.') + 1) + ":"), std::string::npos,
                  "%s", key.c_str());
  }
}
