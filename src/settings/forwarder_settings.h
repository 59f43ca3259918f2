#ifndef WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_
#define WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/log.h"
#include "settings/errors.h"

namespace wagtailwind::settings {

/// \brief Guarantees that the operators of the deployment require of a forwarder.
struct ForwarderBounds {
  /// Time after its revocation from which a key must not be accepted any more.
  std::chrono::milliseconds key_revocation{5'000};
  /// Time after its acceptance within which a configuration must be in force.
  std::chrono::milliseconds configuration{2'000};
  /// Time after the announcement of a drain from which the endpoint must get no requests.
  std::chrono::milliseconds endpoint_drain{2'000};
  /// Time between a stop signal and forced termination.
  std::chrono::milliseconds grace{8'000};
  /// Maximum number of retries per request of a service, over all routers.
  double retry_ratio = 0.2;
  /// Retries of a service that are allowed in addition to the ratio, over all routers.
  std::uint32_t retry_slack = 100;
  /// Limit of the requests that a cold endpoint may get in any second, over all routers: this
  /// multiple of what it takes, plus the slack. A factor of 0 means no limit.
  double cold_factor = 0;
  double cold_slack = 0;
};

/// \brief Whether a part of the balancing is active.
enum class FeatureMode : std::uint8_t {
  /// Where the deployment calls for it.
  kAuto,
  kOn,
  kOff,
};

/// \brief Parts of the balancing that not all deployments need.
struct BalancingSettings {
  /// Learning what each endpoint takes well. Automatic: for services whose endpoints report how
  /// fast their machines work.
  FeatureMode learned_performance = FeatureMode::kAuto;
  /// Refusing less urgent requests while a service can't serve all in time. Automatic: where the
  /// rule sets say that callers compete for capacity.
  FeatureMode admission = FeatureMode::kAuto;
};

/// \brief The region that an availability zone belongs to.
struct ZoneRegion {
  AvailabilityZoneName zone;
  RegionName region;
};

/// \brief All settings of a forwarder.
struct ForwarderSettings {
  InstanceName instance;
  AvailabilityZoneName zone;
  /// Listens for requests of callers, `ip:port`.
  std::string listen_callers;
  /// Serves readiness, metrics and state, `ip:port`.
  std::string listen_admin;
  /// Additional address that serves metrics, `ip:port`; empty: `listen_admin` only.
  std::string listen_metrics;
  /// Address of the key-value service, `ip:port`.
  std::string key_value;
  ForwarderBounds bounds;
  BalancingSettings balancing;
  /// Names of the sets of rules that the platform says are in force.
  std::vector<std::string> rule_sets;
  /// Regions of the availability zones.
  std::vector<ZoneRegion> regions;
  /// Memory of the process in bytes, from which the limits of its buffers are derived.
  std::uint64_t memory_bytes = 128U << 20U;
  LogLevel log_level = LogLevel::kInfo;
};

/// \brief Parses YAML text; `file` is the file name in errors. Throws a SettingsError.
[[nodiscard]] ForwarderSettings ParseForwarderSettings(std::string_view text,
                                                       std::string_view file);

/// \brief Reads and parses a file. Throws a SettingsError.
[[nodiscard]] ForwarderSettings ReadForwarderSettings(const std::string& path);

}  // namespace wagtailwind::settings

#endif  // WAGTAILWIND_SETTINGS_FORWARDER_SETTINGS_H_
