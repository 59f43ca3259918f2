#ifndef WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_
#define WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "balancing/endpoint.h"
#include "core/error.h"
#include "forward/routing.h"
#include "forward/wire_names.h"
#include "platform/key_value_codec.h"

namespace wagtailwind::forward {

namespace detail {
struct MalformedConfigurationTag {
  static constexpr const char* kName = "malformed_configuration";
};
struct MalformedEndpointEntryTag {
  static constexpr const char* kName = "malformed_endpoint_entry";
};
}  // namespace detail

/// \brief Thrown for a configuration that can't be decoded.
using MalformedConfiguration = wagtailwind::detail::NamedError<detail::MalformedConfigurationTag>;

/// \brief Thrown for an entry in the list of endpoints that does not describe a usable endpoint.
using MalformedEndpointEntry = wagtailwind::detail::NamedError<detail::MalformedEndpointEntryTag>;

/// \brief Translates between the protocol of a deployment and the types of the forwarder.
class DeploymentAdapter {
 public:
  virtual ~DeploymentAdapter() = default;

  [[nodiscard]] virtual const WireNames& Names() const noexcept = 0;
  [[nodiscard]] virtual const platform::KeyValueCodec& Codec() const noexcept = 0;

  /// \brief Returns the key of the configuration. It is read as a prefix; other keys below it are
  /// ignored.
  [[nodiscard]] virtual std::string_view ConfigurationKey() const noexcept = 0;

  /// \brief Returns the prefix of the endpoints' entries; the rest of a key is the endpoint's name.
  [[nodiscard]] virtual std::string_view EndpointPrefix() const noexcept = 0;

  /// \brief Returns the prefix of the keys by which operators evacuate availability zones; the rest
  /// of a key is the zone's name.
  [[nodiscard]] virtual std::string_view EvacuationPrefix() const noexcept = 0;

  /// \brief Returns the prefix of the records that routers write for each other.
  [[nodiscard]] virtual std::string_view RouterPrefix() const noexcept = 0;

  /// \brief Returns whether these rule sets say that callers compete for insufficient capacity.
  [[nodiscard]] virtual bool HasContention(std::span<const std::string> rule_sets) const = 0;

  /// \brief Decodes a configuration. Throws MalformedConfiguration.
  [[nodiscard]] virtual std::shared_ptr<const RoutingConfiguration> DecodeConfiguration(
      std::string_view value) const = 0;

  /// \brief Decodes the entry of the endpoint `name`. Throws MalformedEndpointEntry.
  [[nodiscard]] virtual balancing::EndpointRecord DecodeEndpoint(std::string_view name,
                                                                 std::string_view value) const = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_
