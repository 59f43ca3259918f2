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
  ForwarderBounds bounds;
  bounds.key_revocation = section.Duration("key_revocation", bounds.key_revocation);
  bounds.configuration = section.Duration("configuration", bounds.configuration);
  bounds.endpoint_drain = section.Duration("endpoint_drain", bounds.endpoint_drain);
  bounds.grace = section.Duration("grace", bounds.grace);
  bounds.retry_ratio = section.Number("retry_ratio", bounds.retry_ratio, 0, kMaxRetryRatio);
  bounds.retry_slack = static_cast<std::uint32_t>(
      section.Integer("retry_slack", bounds.retry_slack, 0, kMaxRetrySlack));
  section.RejectUnknownKeys();
  return bounds;
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
