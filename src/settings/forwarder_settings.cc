#include "settings/forwarder_settings.h"

#include "settings/section.h"
#include "settings/yaml_file.h"

namespace wagtailwind::settings {

namespace {

using detail::Section;

ForwarderBounds ReadBounds(Section section) {
  // Higher values are most likely given in the wrong unit.
  constexpr double kMaxRetryRatio = 10;
  constexpr std::uint64_t kMaxRetrySlack = 1'000'000;
  constexpr double kMaxColdFactor = 1'000;
  constexpr double kMaxColdSlack = 1'000'000;
  ForwarderBounds bounds;
  bounds.key_revocation = section.Duration("key_revocation", bounds.key_revocation);
  bounds.configuration = section.Duration("configuration", bounds.configuration);
  bounds.endpoint_drain = section.Duration("endpoint_drain", bounds.endpoint_drain);
  bounds.grace = section.Duration("grace", bounds.grace);
  bounds.retry_ratio = section.Number("retry_ratio", bounds.retry_ratio, 0, kMaxRetryRatio);
  bounds.retry_slack = static_cast<std::uint32_t>(
      section.Integer("retry_slack", bounds.retry_slack, 0, kMaxRetrySlack));
  bounds.cold_factor = section.Number("cold_factor", bounds.cold_factor, 0, kMaxColdFactor);
  bounds.cold_slack = section.Number("cold_slack", bounds.cold_slack, 0, kMaxColdSlack);
  section.RejectUnknownKeys();
  return bounds;
}

FeatureMode ReadFeatureMode(Section& section, std::string_view key) {
  const std::string mode = section.Choice(key, "auto", {"auto", "on", "off"});
  return mode == "on" ? FeatureMode::kOn : mode == "off" ? FeatureMode::kOff : FeatureMode::kAuto;
}

BalancingSettings ReadBalancing(Section section) {
  BalancingSettings settings;
  settings.learned_performance = ReadFeatureMode(section, "learned_performance");
  settings.admission = ReadFeatureMode(section, "admission");
  section.RejectUnknownKeys();
  return settings;
}

std::vector<ZoneRegion> ReadRegions(Section section) {
  std::vector<ZoneRegion> regions;
  for (const std::string& zone : section.Keys()) {
    regions.push_back(
        {.zone = AvailabilityZoneName(zone), .region = RegionName(section.RequiredText(zone))});
  }
  return regions;
}

ForwarderSettings ReadRoot(Section root) {
  ForwarderSettings settings;
  (void)root.Choice("role", "", {"forwarder"});
  Section instance = root.Subsection("instance");
  settings.instance = InstanceName(instance.RequiredText("name"));
  settings.zone = AvailabilityZoneName(instance.RequiredText("availability_zone"));
  settings.memory_bytes = instance.Bytes("memory", settings.memory_bytes);
  instance.RejectUnknownKeys();
  Section listen = root.Subsection("listen");
  settings.listen_callers = listen.RequiredAddress("callers");
  settings.listen_admin = listen.RequiredAddress("admin");
  if (listen.Has("metrics")) {
    settings.listen_metrics = listen.RequiredAddress("metrics");
  }
  listen.RejectUnknownKeys();
  Section platform = root.Subsection("platform");
  settings.key_value = platform.RequiredAddress("key_value");
  platform.RejectUnknownKeys();
  settings.bounds = ReadBounds(root.Subsection("bounds"));
  settings.balancing = ReadBalancing(root.Subsection("balancing"));
  settings.rule_sets = root.TextList("rule_sets");
  settings.regions = ReadRegions(root.Subsection("regions"));
  settings.log_level = detail::ReadLogLevel(root.Subsection("log"));
  root.RejectUnknownKeys();
  return settings;
}

}  // namespace

ForwarderSettings ParseForwarderSettings(std::string_view text, std::string_view file) {
  return ReadRoot(detail::ParseYaml(text, file));
}

ForwarderSettings ReadForwarderSettings(const std::string& path) {
  return ParseForwarderSettings(detail::ReadFile(path), path);
}

}  // namespace wagtailwind::settings
