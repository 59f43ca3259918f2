#ifndef WAGTAILWIND_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_
#define WAGTAILWIND_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "http/client.h"
#include "platform/key_value_service.h"

namespace wagtailwind::platform {

/// \brief Accesses the platform's key-value service over HTTP.
class HttpKeyValueService final : public KeyValueService {
 public:
  /// \brief Creates a client for the service at `ip:port`. `metrics` must outlive this object.
  HttpKeyValueService(std::string address, MetricsRegistry& metrics,
                      std::chrono::milliseconds timeout = std::chrono::milliseconds{2'000});

  [[nodiscard]] std::optional<VersionedValue> Get(std::string_view key) override;
  [[nodiscard]] SwapResult CompareAndSwap(std::string_view key, Revision expected,
                                          std::string_view value, LeaseId lease) override;
  [[nodiscard]] std::optional<VersionedValue> Watch(std::string_view key, Revision after,
                                                    std::chrono::milliseconds timeout) override;
  [[nodiscard]] LeaseId GrantLease(std::chrono::milliseconds time_to_live) override;
  void KeepAlive(LeaseId lease) override;
  void Revoke(LeaseId lease) override;

 private:
  struct Call;
  [[nodiscard]] http::Response SendRead(const Call& call, std::chrono::milliseconds timeout);
  [[nodiscard]] http::Response SendWrite(const Call& call);
  void CountCall(std::string_view kind, std::string_view result);
  [[noreturn]] void ThrowUnavailable(const Call& call, const std::string& message);
  [[noreturn]] void ThrowOutcomeUnknown(const Call& call, const std::string& message);
  [[nodiscard]] std::uint64_t RequireNumericHeader(const Call& call, const http::Response& response,
                                                   std::string_view header);

  http::Client m_client;
  MetricsRegistry& m_metrics;
  std::chrono::milliseconds m_timeout;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_
