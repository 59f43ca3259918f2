#ifndef WAGTAILWIND_ADMIN_ADMIN_SERVER_H_
#define WAGTAILWIND_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/metrics.h"
#include "http/server.h"

namespace wagtailwind::admin {

/// \brief A part of a process's state, as JSON text, under a name in the dump.
struct StateSource {
  std::string name;
  std::function<std::string()> dump;
};

/// \brief Listener for operators: `/livez`, `/readyz`, `/metrics`, `/state`.
class AdminServer {
 public:
  /// \brief Listens on `ip:port`. The functions are called from several threads.
  AdminServer(std::string_view address, const MetricsRegistry& metrics,
              std::function<bool()> is_ready, std::vector<StateSource> state);

  /// \brief The address with the port that was bound.
  [[nodiscard]] const std::string& Address() const noexcept { return m_server.Address(); }

 private:
  [[nodiscard]] http::HandlerResult Handle(const http::Request& request) const;
  [[nodiscard]] std::string RenderState() const;

  const MetricsRegistry& m_metrics;
  const std::function<bool()> m_is_ready;
  const std::vector<StateSource> m_state;
  // Last, so that the handler never sees members that are not yet or no longer there.
  http::Server m_server;
};

}  // namespace wagtailwind::admin

#endif  // WAGTAILWIND_ADMIN_ADMIN_SERVER_H_
