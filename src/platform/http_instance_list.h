#ifndef WAGTAILWIND_PLATFORM_HTTP_INSTANCE_LIST_H_
#define WAGTAILWIND_PLATFORM_HTTP_INSTANCE_LIST_H_

#include <chrono>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "http/client.h"
#include "platform/instance_list.h"

namespace wagtailwind::platform {

/// \brief Reads the platform's instance list over HTTP.
class HttpInstanceList final : public InstanceList {
 public:
  /// \brief Creates a client for the list at `ip:port`. `metrics` must outlive this object.
  HttpInstanceList(std::string address, MetricsRegistry& metrics,
                   std::chrono::milliseconds timeout = std::chrono::milliseconds{2'000});

  [[nodiscard]] std::vector<ListedInstance> Read() override;

 private:
  [[noreturn]] void ThrowUnavailable(const std::string& message);

  http::Client m_client;
  Counter& m_reads;
  Counter& m_failures;
  std::chrono::milliseconds m_timeout;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_HTTP_INSTANCE_LIST_H_
