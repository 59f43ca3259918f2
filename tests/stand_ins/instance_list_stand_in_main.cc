#include <atomic>
#include <chrono>
#include <cxxopts.hpp>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/stand_in_program.h"

namespace {

using Json = nlohmann::json;
using wagtailwind::http::HandlerResult;
using wagtailwind::http::JsonResponse;
using wagtailwind::http::Request;

/// \brief Simulates the platform's instance list. A change becomes visible after `lag_ms`.
class InstanceList {
 public:
  HandlerResult Handle(const Request& request) {
    if (request.path != "/control") {
      std::this_thread::sleep_for(std::chrono::milliseconds(m_slow_ms));
    }
    const std::lock_guard lock(m_mutex);
    if (request.path == "/control") {
      return Control(Json::parse(request.body));
    }
    if (request.path != "/v1/instances") {
      return {JsonResponse(404, "{}"), nullptr, false};
    }
    if (m_down) {
      HandlerResult dropped;
      dropped.drop_connection = true;
      return dropped;
    }
    return {JsonResponse(200, VisibleInstances().dump()), nullptr, false};
  }

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Version {
    Time set_at;
    Json instances;
  };

  HandlerResult Control(const Json& body) {
    m_down = body.value("down", m_down);
    m_slow_ms = body.value("slow_ms", m_slow_ms.load());
    m_lag_ms = body.value("lag_ms", m_lag_ms);
    Json list = m_versions.back().instances;
    if (body.contains("instances")) {
      list = body["instances"];
    }
    for (const Json& name : body.value("leaving", Json::array())) {
      for (Json& entry : list) {
        entry["leaving"] = entry.value("leaving", false) || entry["name"] == name;
      }
    }
    if (list != m_versions.back().instances) {
      m_versions.push_back({std::chrono::steady_clock::now(), std::move(list)});
    }
    return {JsonResponse(200, "{}"), nullptr, false};
  }

  const Json& VisibleInstances() {
    const Time limit = std::chrono::steady_clock::now() - std::chrono::milliseconds(m_lag_ms);
    while (m_versions.size() > 1 && m_versions[1].set_at <= limit) {
      m_versions.pop_front();
    }
    return m_versions.front().instances;
  }

  std::mutex m_mutex;
  bool m_down = false;
  std::atomic<std::int64_t> m_slow_ms = 0;
  std::int64_t m_lag_ms = 0;
  std::deque<Version> m_versions{{Time{}, Json::array()}};
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("instance_list_stand_in", "Stand-in of the platform's instance list.");
  options.add_options()("listen", "ip:port", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  InstanceList instances;
  return wagtailwind::stand_ins::RunStandIn(
      parsed["listen"].as<std::string>(),
      [&instances](const Request& request) { return instances.Handle(request); });
}
