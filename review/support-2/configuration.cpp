#include "configuration.hpp"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

json MakeRoute(const std::string& name, const std::string& kind, const std::string& service,
               int timeout_ms, int objective_ms, int attempts) {
  json route = {{"Name", name},   {"Host", "small.example"}, {"Prefix", "/" + name + "/"},
                {"Kind", kind},   {"TimeoutMs", timeout_ms}, {"SloMs", objective_ms},
                {"Prio", 1},      {"Service", service},      {"Attempts", attempts},
                {"Public", false}};
  if (kind == "stream") {
    route["Sticky"] = true;
    route["Resumable"] = attempts > 1;
    route["ItlTargetMs"] = 300;
  }
  return route;
}

}  // namespace

std::string Configuration(std::uint64_t version, std::uint64_t max_body_bytes) {
  json document = {{"Version", version},
                   {"Routes", json::array()},
                   {"Services", json::array()},
                   {"Tenants", json::array()}};
  document["Routes"].push_back(MakeRoute("summary", "stream", "llm", 2500, 500, 2));
  document["Routes"].push_back(MakeRoute("note", "stream", "llm", 10000, 300, 1));
  document["Routes"].push_back(MakeRoute("confirm", "non_idempotent", "api", 1000, 100, 1));
  document["Routes"].push_back(MakeRoute("status", "idempotent", "api", 1000, 100, 2));
  document["Services"].push_back({{"Name", "llm"},
                                  {"HealthPath", "/healthz"},
                                  {"MaxConns", 460},
                                  {"Engine", {{"Slots", 32}, {"KvCapacity", 800525}}}});
  document["Services"].push_back({{"Name", "api"}, {"HealthPath", "/healthz"}, {"MaxConns", 200}});
  document["Limits"] = {{"MaxHeaderBytes", 16384},
                        {"MaxBodyBytes", max_body_bytes},
                        {"HeaderTimeoutMs", 3000},
                        {"IdleTimeoutMs", 15000}};
  document["Tenants"].push_back({{"Name", "tenant"}, {"ApiKeys", {"key1"}}});
  return document.dump();
}

}  // namespace review
