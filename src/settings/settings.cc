#include "settings/settings.h"

#include <utility>

#include "http/socket_address.h"
#include "settings/section.h"
#include "settings/yaml_file.h"

namespace wagtailwind::settings {

namespace {

using detail::Section;

ListenSettings ReadListen(Section section, gossip::Role role) {
  ListenSettings listen;
  if (role == gossip::Role::kRouter) {
    listen.http = section.RequiredAddress("http");
  } else if (section.Has("http")) {
    throw Conflict(section.LocationOf("http"), "only a router accepts calls over HTTP");
  }
  listen.rpc = section.RequiredAddress("rpc");
  listen.gossip = section.RequiredAddress("gossip");
  listen.admin = section.RequiredAddress("admin");
  section.RejectUnknownKeys();
  return listen;
}

PlatformSettings ReadPlatform(Section section) {
  PlatformSettings platform;
  platform.key_value = section.RequiredAddress("key_value");
  platform.instance_list = section.RequiredAddress("instance_list");
  section.RejectUnknownKeys();
  return platform;
}

EndpointSettings ReadEndpoint(Section section) {
  EndpointSettings endpoint;
  gossip::EndpointAdvertisement& advertisement = endpoint.advertisement;
  advertisement.endpoint = EndpointName(section.RequiredText("name"));
  const bool is_engine = section.Choice("kind", "", {"engine", "service"}) == "engine";
  advertisement.kind = is_engine ? gossip::EndpointKind::kEngine : gossip::EndpointKind::kService;
  advertisement.pool = ServiceName(section.RequiredText("pool"));
  constexpr std::uint64_t kDefaultCapacity = 65'536;
  advertisement.capacity =
      static_cast<std::uint32_t>(section.Integer("capacity_work_tokens", kDefaultCapacity, 1));
  for (std::string& model : section.TextList("models")) {
    advertisement.models.emplace_back(std::move(model));
  }
  if (is_engine && advertisement.models.empty()) {
    throw MissingKey(section.LocationOf("models"), "an engine needs at least one model");
  }
  if (!is_engine && (section.Has("models") || section.Has("fencing"))) {
    throw Conflict(section.LocationOf(section.Has("models") ? "models" : "fencing"),
                   "the key applies to engines only");
  }
  endpoint.address = section.RequiredAddress("address");
  endpoint.checks_fencing =
      section.Choice("fencing", "ignored", {"checked", "ignored"}) == "checked";
  section.RejectUnknownKeys();
  return endpoint;
}

LimitSettings ReadLimits(Section section) {
  LimitSettings limits;
  limits.max_body_bytes = section.Bytes("max_body", limits.max_body_bytes);
  limits.max_header_bytes = section.Bytes("max_headers", limits.max_header_bytes);
  limits.max_connections =
      static_cast<std::uint32_t>(section.Integer("max_connections", limits.max_connections, 1));
  limits.drain_timeout = section.Duration("drain_timeout", limits.drain_timeout);
  limits.balancer_delay = section.Duration("balancer_delay", limits.balancer_delay);
  if (limits.balancer_delay > limits.drain_timeout) {
    throw Conflict(section.LocationOf("balancer_delay"), "the value must not exceed drain_timeout");
  }
  section.RejectUnknownKeys();
  return limits;
}

placement::AdmissionSettings ReadPlacement(Section section) {
  placement::AdmissionSettings placement;
  constexpr double kMaxLoadMultiple = 100;
  placement.load_multiple =
      section.Number("load_multiple", placement.load_multiple, 1.0, kMaxLoadMultiple);
  if (placement.load_multiple <= 1.0) {
    throw OutOfRange(section.LocationOf("load_multiple"), "the multiple must be above 1");
  }
  placement.max_load_age = section.Duration("max_load_age", placement.max_load_age);
  placement.output_token_weight = static_cast<std::uint32_t>(
      section.Integer("output_token_weight", placement.output_token_weight, 1));
  placement.share_threshold =
      section.Number("share_threshold", placement.share_threshold, 0.0, 1.0);
  placement.lowest_class_reserve =
      section.Number("lowest_class_reserve", placement.lowest_class_reserve, 0.0, 1.0);
  section.RejectUnknownKeys();
  return placement;
}

Settings ReadRoot(Section root) {
  Settings settings;
  const bool is_router = root.Choice("role", "", {"router", "agent"}) == "router";
  settings.role = is_router ? gossip::Role::kRouter : gossip::Role::kAgent;
  Section instance = root.Subsection("instance");
  settings.instance = InstanceName(instance.RequiredText("name"));
  settings.zone = AvailabilityZoneName(instance.RequiredText("availability_zone"));
  settings.region = RegionName(instance.RequiredText("region"));
  instance.RejectUnknownKeys();
  settings.listen = ReadListen(root.Subsection("listen"), settings.role);
  settings.platform = ReadPlatform(root.Subsection("platform"));
  if (is_router && root.Has("endpoint")) {
    throw Conflict(root.LocationOf("endpoint"), "the key applies to agents only");
  }
  if (!is_router) {
    settings.endpoint = ReadEndpoint(root.Subsection("endpoint"));
  }
  settings.limits = ReadLimits(root.Subsection("limits"));
  settings.placement = ReadPlacement(root.Subsection("placement"));
  constexpr std::uint64_t kMaxWorkers = 256;
  settings.workers =
      static_cast<std::uint32_t>(root.Integer("workers", settings.workers, 1, kMaxWorkers));
  settings.log_level = detail::ReadLogLevel(root.Subsection("log"));
  root.RejectUnknownKeys();
  return settings;
}

}  // namespace

bool IsSocketAddress(std::string_view text) noexcept {
  try {
    (void)http::ParseSocketAddress(text);
    return true;
  } catch (const http::MalformedAddress&) {
    return false;
  }
}

Settings ParseSettings(std::string_view text, std::string_view file) {
  return ReadRoot(detail::ParseYaml(text, file));
}

Settings ReadSettings(const std::string& path) {
  return ParseSettings(detail::ReadFile(path), path);
}

}  // namespace wagtailwind::settings
