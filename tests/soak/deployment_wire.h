#ifndef WAGTAILWIND_TESTS_SOAK_DEPLOYMENT_WIRE_H_
#define WAGTAILWIND_TESTS_SOAK_DEPLOYMENT_WIRE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "forward/routing.h"
#include "support/fake_store.h"

namespace wagtailwind::soak {

/// \brief The configuration that the soak writes to the key-value service.
struct OperatorConfiguration {
  std::uint64_t version = 0;
  std::vector<forward::Route> routes;
  /// API keys of the organisation `soak`.
  std::vector<std::string> api_keys;
  /// The service whose endpoints are cold after a start, for how long, and the requests a second
  /// that they take then.
  std::string cold_service;
  std::chrono::milliseconds cold_time{0};
  double cold_rate = 0;
};

/// \name Records in the format that the deployment's adapter decodes
/// @{
[[nodiscard]] std::string EncodeConfiguration(const OperatorConfiguration& configuration);

/// \brief The entry of an endpoint.
struct EndpointEntry {
  std::string service;
  std::string address;
  std::uint64_t incarnation = 0;
  std::string zone = "zone-1";
  bool draining = false;
  std::chrono::milliseconds cold_time{0};
};
[[nodiscard]] std::string EncodeEndpoint(const EndpointEntry& entry);

/// @}

/// \brief Server side of the deployment's key-value protocol.
class DeploymentStoreWire final : public testing::StoreWire {
 public:
  [[nodiscard]] std::string EraHeader() const override { return "Store-Era"; }
  [[nodiscard]] testing::StoreCall ParseCall(const std::string& target) const override;
  [[nodiscard]] std::vector<platform::KeyValueWrite> ParsePuts(
      const std::string& body) const override;
  [[nodiscard]] std::string EncodeLease(platform::LeaseId lease) const override;
  [[nodiscard]] std::string EncodePage(testing::StoreCall::Kind kind,
                                       const std::vector<platform::KeyValueItem>& items,
                                       platform::Revision revision, bool has_more) const override;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_DEPLOYMENT_WIRE_H_
