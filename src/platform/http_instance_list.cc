#include "platform/http_instance_list.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "platform/log_events.h"

namespace wagtailwind::platform {

namespace {

using Json = nlohmann::json;

std::optional<ListedInstance> ParseInstance(const Json& entry) {
  if (!entry.is_object()) {
    return std::nullopt;
  }
  try {
    ListedInstance instance{InstanceName(entry.at("name").get<std::string>()),
                            AvailabilityZoneName(entry.at("zone").get<std::string>()),
                            entry.at("gossip_address").get<std::string>(),
                            entry.value("leaving", false),
                            entry.value("admin_address", std::string())};
    return instance;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

HttpInstanceList::HttpInstanceList(std::string address, MetricsRegistry& metrics,
                                   std::chrono::milliseconds timeout)
    : m_client(std::move(address)),
      m_reads(metrics.GetCounter("instance_list_reads_total")),
      m_failures(metrics.GetCounter("instance_list_read_failures_total")),
      m_timeout(timeout) {}

void HttpInstanceList::ThrowUnavailable(const std::string& message) {
  m_failures.Add();
  Log(kInstanceListReadFailed, {{"error", message}});
  throw InstanceListUnavailable(message);
}

std::vector<ListedInstance> HttpInstanceList::Read() {
  m_reads.Add();
  http::Response response;
  try {
    response = m_client.Send("GET", "/v1/instances", "", m_timeout);
  } catch (const Error& error) {
    ThrowUnavailable(error.what());
  }
  const Json list = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || !list.is_array()) {
    ThrowUnavailable("status " + std::to_string(response.status) +
                     ", or the body is not a JSON array");
  }
  std::vector<ListedInstance> instances;
  for (const Json& entry : list) {
    if (std::optional<ListedInstance> instance = ParseInstance(entry)) {
      instances.push_back(std::move(*instance));
    } else {
      Log(kInstanceListEntryIgnored, {{"entry", entry.dump()}});
    }
  }
  return instances;
}

}  // namespace wagtailwind::platform
