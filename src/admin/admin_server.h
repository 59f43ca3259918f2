#ifndef WAGTAILWIND_ADMIN_ADMIN_SERVER_H_
#define WAGTAILWIND_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/metrics.h"
#include "http/server.h"

namespace wagtailwind::admin {

/// \brief A named section of the `/state` response; `dump` renders it as JSON text.
struct StateSource {
  std::string name;
  std::function<std::string()> dump;
};

/// \brief HTTP server for operators. Serves `/livez`, `/readyz`, `/metrics` and `/state`.
class AdminServer {
 public:
  /// \brief Listens on `ip:port`. `is_ready` and the dump functions are called from several
  /// threads. `metrics` must outlive this object.
  AdminServer(std::string_view address, const MetricsRegistry& metrics,
              std::function<bool()> is_ready, std::vector<StateSource> state);

  /// \brief Returns the bound address, including the actual port.
  [[nodiscard]] const std::string& Address() const noexcept { return m_server.Address(); }

 private:
  [[nodiscard]] http::HandlerResult Handle(const http::Request& request) const;
  [[nodiscard]] std::string RenderState() const;

  const MetricsRegistry& m_metrics;
  const std::function<bool()> m_is_ready;
  const std::vector<StateSource> m_state;
  // Declared last: its threads call Handle(), which uses the members above.
  http::Server m_server;
};

}  // namespace wagtailwind::admin

#endif  // WAGTAILWIND_ADMIN_ADMIN_SERVER_H_
