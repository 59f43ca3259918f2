#include "soak/deployment_wire.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "absl/strings/escaping.h"

namespace wagtailwind::soak {

namespace {

using nlohmann::json;
using testing::StoreCall;

std::string_view KindName(forward::RequestKind kind) {
  switch (kind) {
    case forward::RequestKind::kIdempotent:
      return "idempotent";
    case forward::RequestKind::kStream:
      return "stream";
    case forward::RequestKind::kNonIdempotent:
      break;
  }
  return "non_idempotent";
}

}  // namespace

std::string EncodeConfiguration(const OperatorConfiguration& configuration) {
  json document = {
      {"Version", configuration.version}, {"Routes", json::array()}, {"Services", json::array()}};
  std::set<std::string> services;
  for (const forward::Route& route : configuration.routes) {
    const std::string& service = route.services.front().service.value();
    services.insert(service);
    document["Routes"].push_back({{"Name", route.name},
                                  {"Host", route.host},
                                  {"Prefix", route.prefix},
                                  {"Kind", KindName(route.kind)},
                                  {"TimeoutMs", route.timeout.count()},
                                  {"SloMs", route.objective.count()},
                                  {"Attempts", route.max_attempts},
                                  {"Resumable", route.resumable},
                                  {"Service", service}});
  }
  for (const std::string& service : services) {
    json object = {{"Name", service}, {"MaxConns", 0}};
    if (service == configuration.cold_service) {
      object["ColdS"] = std::chrono::duration<double>(configuration.cold_time).count();
      object["ColdPerS"] = configuration.cold_rate;
    }
    document["Services"].push_back(std::move(object));
  }
  document["Tenants"] = json::array({{{"Name", "soak"}, {"ApiKeys", configuration.api_keys}}});
  return document.dump();
}

std::string EncodeEndpoint(const EndpointEntry& entry) {
  return json{{"Service", entry.service},
              {"Addr", entry.address},
              {"Zone", entry.zone},
              {"Version", "v1"},
              {"Slots", 32},
              {"State", entry.draining ? "draining" : "ready"},
              {"ColdLeftMs", entry.cold_time.count()},
              {"Seq", 1},
              {"born", entry.incarnation}}
      .dump();
}

StoreCall DeploymentStoreWire::ParseCall(const std::string& target) const {
  return testing::ParseStoreCall(target, {.watch_path = "/api/kv-watch",
                                          .lease_path = "/api/kv-lease",
                                          .put_path = "/api/kv-txn",
                                          .prefix = "Prefix",
                                          .after = "SinceRev",
                                          .wait = "WaitMs"});
}

std::vector<platform::KeyValueWrite> DeploymentStoreWire::ParsePuts(const std::string& body) const {
  std::vector<platform::KeyValueWrite> writes;
  // The document must outlive the loop.
  const json document = json::parse(body);
  for (const json& put : document.at("Puts")) {
    platform::KeyValueWrite& write = writes.emplace_back();
    write.key = put.at("Key").get<std::string>();
    if (!absl::Base64Unescape(put.at("Value").get<std::string>(), &write.value)) {
      throw std::invalid_argument("the value of " + write.key + " is not base64");
    }
  }
  return writes;
}

std::string DeploymentStoreWire::EncodeLease(platform::LeaseId lease) const {
  return json{{"Lease", lease}, {"TtlMs", 0}}.dump();
}

std::string DeploymentStoreWire::EncodePage(StoreCall::Kind kind,
                                            const std::vector<platform::KeyValueItem>& items,
                                            platform::Revision revision, bool has_more) const {
  json list = json::array();
  for (const platform::KeyValueItem& item : items) {
    json object = {{"Key", item.key}, {"Rev", item.revision}};
    if (item.deleted) {
      object["Deleted"] = true;
    } else {
      object["Value"] = absl::Base64Escape(item.value);
    }
    list.push_back(std::move(object));
  }
  json document = {{"StoreRevision", revision}};
  if (kind == StoreCall::Kind::kRange) {
    document["Items"] = std::move(list);
    document["HasMore"] = has_more;
  } else {
    document["events"] = std::move(list);
  }
  return document.dump();
}

}  // namespace wagtailwind::soak
