#ifndef WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_
#define WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/log.h"
#include "settings/errors.h"

namespace wagtailwind::settings {

/// \brief Bounds that the deployment's operators state.
struct ForwarderBounds {
  /// A revoked key must not be accepted later than this.
  std::chrono::milliseconds key_revocation{5'000};
  /// A configuration must be in force this long after it was accepted.
  std::chrono::milliseconds configuration{2'000};
  /// A draining endpoint must get no requests this long after its announcement.
  std::chrono::milliseconds endpoint_drain{2'000};
  /// Time between a stop signal and the forced end.
  std::chrono::milliseconds grace{8'000};
  /// Repeated sends for each request of a service, over all routers.
  double retry_ratio = 0.2;
  /// Repeated sends of a service beyond the ratio, over all routers.
  std::uint32_t retry_slack = 100;
};

/// \brief All settings of a forwarder.
struct ForwarderSettings {
  InstanceName instance;
  AvailabilityZoneName zone;
  /// Callers, `ip:port`.
  std::string listen_callers;
  /// Readiness, metrics and state, `ip:port`.
  std::string listen_admin;
  /// Metrics at an address of their own, `ip:port`; empty: at the address above only.
  std::string listen_metrics;
  /// The key-value service, `ip:port`.
  std::string key_value;
  ForwarderBounds bounds;
  /// Memory of the process; bounds what it buffers.
  std::uint64_t memory_bytes = 128U << 20U;
  LogLevel log_level = LogLevel::kInfo;
};

/// \brief Parses YAML text; `file` is the name in errors. Throws a SettingsError.
[[nodiscard]] ForwarderSettings ParseForwarderSettings(std::string_view text,
                                                       std::string_view file);

/// \brief Reads and parses a file. Throws a SettingsError.
[[nodiscard]] ForwarderSettings ReadForwarderSettings(const std::string& path);

}  // namespace wagtailwind::settings

#endif  // WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_
