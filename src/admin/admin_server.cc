#include "admin/admin_server.h"

#include <utility>

namespace wagtailwind::admin {

namespace {

http::HandlerResult PlainText(int status, std::string body) {
  return {{status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)}, nullptr};
}

}  // namespace

AdminServer::AdminServer(std::string_view address, const MetricsRegistry& metrics,
                         std::function<bool()> is_ready, std::vector<StateSource> state)
    : m_metrics(metrics),
      m_is_ready(std::move(is_ready)),
      m_state(std::move(state)),
      m_server(address, [this](const http::Request& request) { return Handle(request); }) {}

http::HandlerResult AdminServer::Handle(const http::Request& request) const {
  if (request.method != "GET") {
    return PlainText(405, "only GET is served\n");
  }
  if (request.path == "/livez") {
    return PlainText(200, "ok\n");
  }
  if (request.path == "/readyz") {
    return m_is_ready() ? PlainText(200, "ready\n") : PlainText(503, "not ready\n");
  }
  if (request.path == "/metrics") {
    return PlainText(200, m_metrics.RenderText());
  }
  if (request.path == "/state") {
    return {http::JsonResponse(200, RenderState()), nullptr};
  }
  return PlainText(404, "not found: /livez /readyz /metrics /state\n");
}

std::string AdminServer::RenderState() const {
  std::string text = "{";
  for (const StateSource& source : m_state) {
    text += (text.size() > 1 ? ",\"" : "\"") + source.name + "\":" + source.dump();
  }
  return text + "}\n";
}

}  // namespace wagtailwind::admin
