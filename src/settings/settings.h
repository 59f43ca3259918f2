#ifndef WAGTAILWIND_SETTINGS_SETTINGS_H_
#define WAGTAILWIND_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/log.h"
#include "gossip/member.h"
#include "placement/admission_gate.h"
#include "settings/errors.h"

namespace wagtailwind::settings {

/// \brief Addresses that a daemon listens on, each `ip:port`. Port 0 selects a free port.
struct ListenSettings {
  /// For callers; routers only.
  std::string http;
  std::string rpc;
  std::string gossip;
  std::string admin;
};

/// \brief Addresses of the platform's services, each `ip:port`.
struct PlatformSettings {
  std::string key_value;
  std::string instance_list;
};

/// \brief The endpoint that an agent runs next to.
struct EndpointSettings {
  gossip::EndpointAdvertisement advertisement;
  /// `ip:port`.
  std::string address;
  /// Whether the engine refuses orders with a stale fencing token.
  bool checks_fencing = false;
};

/// \brief Size, connection and time limits of a daemon.
struct LimitSettings {
  std::uint64_t max_body_bytes = 1U << 20U;
  std::uint64_t max_header_bytes = 16U << 10U;
  std::uint32_t max_connections = 4096;
  /// Time that requests in flight have to finish during a graceful stop.
  std::chrono::milliseconds drain_timeout{120'000};
  /// Time for which a stopping router keeps its listener open, so that the load balancer can take
  /// it out of rotation.
  std::chrono::milliseconds balancer_delay{2'000};
};

/// \brief All settings of a daemon.
struct Settings {
  gossip::Role role = gossip::Role::kRouter;
  InstanceName instance;
  AvailabilityZoneName zone;
  RegionName region;
  ListenSettings listen;
  PlatformSettings platform;
  /// Agents only.
  std::optional<EndpointSettings> endpoint;
  LimitSettings limits;
  placement::AdmissionSettings placement;
  std::uint32_t workers = 4;
  LogLevel log_level = LogLevel::kInfo;
};

/// \brief Parses YAML text; `file` is the file name in errors. Throws a SettingsError.
[[nodiscard]] Settings ParseSettings(std::string_view text, std::string_view file);

/// \brief Reads and parses a file. Throws a SettingsError.
[[nodiscard]] Settings ReadSettings(const std::string& path);

/// \brief Whether a text is `ip:port` with an IPv4 address or an IPv6 address in brackets.
[[nodiscard]] bool IsSocketAddress(std::string_view text) noexcept;

}  // namespace wagtailwind::settings

#endif  // WAGTAILWIND_SETTINGS_SETTINGS_H_
