#ifndef WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_
#define WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "forward/endpoint.h"
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

/// \brief A configuration that can't be read.
using MalformedConfiguration = wagtailwind::detail::NamedError<detail::MalformedConfigurationTag>;

/// \brief An entry of the list of endpoints that names no endpoint to use.
using MalformedEndpointEntry = wagtailwind::detail::NamedError<detail::MalformedEndpointEntryTag>;

/// \brief Translates between a deployment's protocol and the types of the forwarder.
class DeploymentAdapter {
 public:
  virtual ~DeploymentAdapter() = default;

  [[nodiscard]] virtual const WireNames& Names() const noexcept = 0;
  [[nodiscard]] virtual const platform::KeyValueCodec& Codec() const noexcept = 0;

  /// \brief Prefix of the key-value service below which the configuration is the only key of
  /// interest.
  [[nodiscard]] virtual std::string_view ConfigurationKey() const noexcept = 0;

  /// \brief Prefix of the endpoints' entries; the rest of a key is the endpoint's name.
  [[nodiscard]] virtual std::string_view EndpointPrefix() const noexcept = 0;

  /// \brief Throws MalformedConfiguration.
  [[nodiscard]] virtual std::shared_ptr<const RoutingConfiguration> DecodeConfiguration(
      std::string_view value) const = 0;

  /// \brief Throws MalformedEndpointEntry.
  [[nodiscard]] virtual EndpointRecord DecodeEndpoint(std::string_view name,
                                                      std::string_view value) const = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_DEPLOYMENT_ADAPTER_H_
