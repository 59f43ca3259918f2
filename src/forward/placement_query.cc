#include "forward/placement_query.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "balancing/endpoint_ranking.h"
#include "balancing/prompt.h"
#include "balancing/request_cost.h"
#include "core/error.h"
#include "core/random_source.h"
#include "forward/ranking_request.h"
#include "forward/task_common.h"
#include "requests/outcome.h"

namespace wagtailwind::forward {

namespace detail {
struct InvalidPlacementQueryTag {
  static constexpr const char* kName = "invalid_query";
};
}  // namespace detail

namespace {

using Json = nlohmann::ordered_json;
using requests::FailureReason;

/// Thrown for a query that is malformed.
using InvalidPlacementQuery = wagtailwind::detail::NamedError<detail::InvalidPlacementQueryTag>;

constexpr int kOk = 200;

// Breaks ties between equal endpoints. The router's own source would change with each query.
constexpr std::uint64_t kRandomSeed = 1;

struct Query {
  std::string host;
  std::string path;
  std::string api_key;
  std::string model;
  std::string tokens;
  std::string prompt;
};

Query ParseQuery(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    throw InvalidPlacementQuery("the query is not a JSON object");
  }
  Query query;
  const std::pair<std::string_view, std::string*> fields[] = {
      {"host", &query.host},   {"path", &query.path},     {"api_key", &query.api_key},
      {"model", &query.model}, {"tokens", &query.tokens}, {"prompt", &query.prompt}};
  for (const auto& item : json.items()) {
    const std::string& name = item.key();
    const Json& value = item.value();
    const auto* const field =
        std::find_if(std::begin(fields), std::end(fields),
                     [&name](const auto& known) { return known.first == name; });
    if (field == std::end(fields)) {
      throw InvalidPlacementQuery("unknown field " + name);
    }
    if (!value.is_string()) {
      throw InvalidPlacementQuery(name + " is not a string");
    }
    *field->second = value.get<std::string>();
  }
  if (query.host.empty()) {
    throw InvalidPlacementQuery("host is missing");
  }
  if (!query.path.starts_with('/')) {
    throw InvalidPlacementQuery("path does not begin with a slash");
  }
  if (!query.tokens.empty() && !balancing::ParseRequestCost(query.tokens)) {
    throw InvalidPlacementQuery("tokens are not two numbers, separated by a comma");
  }
  if (!query.prompt.empty() && !balancing::ParsePrompt(query.prompt)) {
    throw InvalidPlacementQuery("prompt is not a list of id:tokens");
  }
  return query;
}

Json Milliseconds(std::optional<std::chrono::nanoseconds> time) {
  return time ? Json(detail::ToMilliseconds(*time)) : Json(nullptr);
}

Json Refusal(FailureReason reason, int status) {
  return {{"outcome", "refused"}, {"reason", requests::ToText(reason)}, {"status", status}};
}

Json Refusal(FailureReason reason) { return Refusal(reason, requests::HttpStatus(reason)); }

/// Returns the refusal of a request whose route or key is unknown.
Json UnknownRefusal(const ForwardContext& context, FailureReason reason) {
  return context.IsConfirmed() ? Refusal(reason)
                               : Refusal(FailureReason::kNotReady, detail::kStatusUnavailable);
}

std::string_view ToText(requests::BreakerState state) {
  switch (state) {
    case requests::BreakerState::kClosed:
      return "closed";
    case requests::BreakerState::kOpen:
      return "open";
    case requests::BreakerState::kHalfOpen:
      return "half_open";
  }
  return "unknown";
}

/// Returns what the router knows and estimates about an endpoint.
Json Describe(const balancing::Endpoint& endpoint, const balancing::TypicalLoad& typical,
              SteadyTime now) {
  const auto pace = endpoint.pace.Mean(now);
  return {{"endpoint", endpoint.record.name.value()},
          {"zone", endpoint.record.zone.value()},
          {"load", endpoint.load.Requests(now, typical)},
          {"load_deviation", endpoint.load.Deviation(now, typical)},
          {"own", endpoint.load.own()},
          {"slots", endpoint.record.slots},
          {"failure_rate", endpoint.health.FailureRate(now)},
          {"breaker", ToText(endpoint.health.state())},
          {"unresponsive", endpoint.health.IsUnresponsive(now)},
          {"full_ms", detail::ToMilliseconds(
                          std::max(endpoint.full_until - now, std::chrono::nanoseconds(0)))},
          {"event_ms", pace ? Json(pace->count() * 1'000) : Json(nullptr)},
          {"connections", endpoint.connections},
          {"limit", endpoint.quota.limit() ? Json(*endpoint.quota.limit()) : Json(nullptr)}};
}

/// Returns why an endpoint is not among the candidates.
Json ExplainExclusion(const balancing::Endpoint& endpoint, const balancing::RankingRequest& request,
                      SteadyTime now) {
  const balancing::Availability availability = endpoint.CheckAvailability(now);
  const auto& models = endpoint.record.models;
  // Reserved: what is left of its request limit is kept for costly requests.
  std::string_view reason = "reserved";
  std::optional<std::chrono::nanoseconds> wait;
  if (!availability.IsAvailable()) {
    reason = balancing::ToText(availability.reason);
    wait = availability.wait;
  } else if (request.allowed_zones &&
             std::find(request.allowed_zones->begin(), request.allowed_zones->end(),
                       endpoint.record.zone) == request.allowed_zones->end()) {
    reason = "outside_home";
  } else if (request.max_connections > 0 && endpoint.connections >= request.max_connections) {
    reason = "connections";
  } else if (!request.model.empty() && !models.empty() &&
             std::find(models.begin(), models.end(), request.model) == models.end()) {
    reason = "model";
  }
  return {{"reason", reason}, {"wait_ms", Milliseconds(wait)}};
}

/// Returns the ranking of the endpoints of one service.
Json RankService(const ForwardContext& context, const RoutedRequest& request,
                 const std::string& tokens) {
  const SteadyTime now = context.clock.Now();
  const std::string& service = request.service.value();
  balancing::RankingRequest ranking = MakeRankingRequest(context, request);
  // A copy, because the mean cost must not change.
  const auto known_costs = context.request_costs.find(service);
  balancing::RequestCosts costs =
      known_costs == context.request_costs.end() ? balancing::RequestCosts() : known_costs->second;
  ranking.is_costly = costs.IsCostly(balancing::ParseRequestCost(tokens).value_or(0));
  SeededRandomSource random(kRandomSeed);
  const auto& usable = context.endpoints.Usable(service);
  const balancing::Ranking ranked = balancing::RankEndpoints(
      usable, context.endpoints.Draining(service), ranking, now, random, usable.size());
  Json candidates = Json::array();
  for (const balancing::EndpointPtr& endpoint : ranked.endpoints) {
    candidates.push_back(Describe(*endpoint, ranked.typical, now));
  }
  Json excluded = Json::array();
  context.endpoints.ForEach([&](const balancing::Endpoint& endpoint) {
    const bool is_candidate =
        std::any_of(ranked.endpoints.begin(), ranked.endpoints.end(),
                    [&endpoint](const auto& candidate) { return candidate.get() == &endpoint; });
    if (endpoint.record.service == request.service && !is_candidate) {
      Json entry = ExplainExclusion(endpoint, ranking, now);
      entry.update(Describe(endpoint, ranked.typical, now));
      excluded.push_back(std::move(entry));
    }
  });
  Json result = ranked.endpoints.empty() ? Refusal(ranked.limit_wait ? FailureReason::kOverBound
                                                                     : FailureReason::kNoEndpoint,
                                                   detail::kStatusUnavailable)
                                         : Json{{"outcome", "placed"}};
  result["wait_ms"] = ranked.endpoints.empty() ? Milliseconds(ranked.limit_wait) : Json(0);
  result["mean_load"] = ranked.mean_load;
  result["at_home"] = ranked.at_home;
  result["cached_at"] =
      ranked.cached_at ? Json(ranked.cached_at->record.name.value()) : Json(nullptr);
  result["costly"] = ranking.is_costly;
  const auto admission = context.admission.find(service);
  result["admitted_fraction"] =
      admission != context.admission.end() ? admission->second.AdmittedFraction(now) : 1.0;
  result["candidates"] = std::move(candidates);
  result["excluded"] = std::move(excluded);
  return result;
}

/// Returns the placement at each service of a route.
Json PlaceAtServices(const ForwardContext& context, const Query& query, const Route& route,
                     const ApiKeyOwner* owner,
                     const std::optional<balancing::SharedPrompt>& prompt) {
  Json services = Json::array();
  Json refusal = Refusal(FailureReason::kNoEndpoint, detail::kStatusUnavailable);
  bool is_placed = false;
  for (const WeightedService& candidate : route.services) {
    Json service = {{"service", candidate.service.value()}, {"weight", candidate.weight}};
    Json ranked = RankService(context,
                              {.configuration = *context.configuration,
                               .route = route,
                               .key_owner = owner,
                               .service = candidate.service,
                               .model = query.model,
                               .prompt = prompt},
                              query.tokens);
    if (ranked["outcome"] == "placed") {
      is_placed = true;
    } else if (ranked["reason"] == requests::ToText(FailureReason::kOverBound)) {
      refusal = Refusal(FailureReason::kOverBound, detail::kStatusUnavailable);
    }
    service.update(ranked);
    services.push_back(std::move(service));
  }
  Json result = is_placed ? Json{{"outcome", "placed"}} : std::move(refusal);
  result["services"] = std::move(services);
  return result;
}

Json Place(const ForwardContext& context, const Query& query) {
  if (!context.configuration || !context.endpoints_known) {
    return Refusal(FailureReason::kNotReady, detail::kStatusUnavailable);
  }
  const RoutingConfiguration& configuration = *context.configuration;
  const auto route =
      configuration.FindRoute(query.host, query.path.substr(0, query.path.find_first_of("?#")));
  if (!route) {
    return UnknownRefusal(context, FailureReason::kUnknownRoute);
  }
  const bool needs_key = configuration.has_organisations && !route->is_public;
  const ApiKeyOwner* owner = needs_key ? configuration.FindKey(query.api_key) : nullptr;
  Json known = {
      {"configuration", configuration.version},
      {"confirmed_ms", context.confirmation.AgeMilliseconds(context.clock.BootNow()).value_or(-1)},
      {"route", route->name},
      {"organisation", owner != nullptr ? owner->organisation.value() : std::string()}};
  std::optional<balancing::SharedPrompt> prompt;
  if (route->has_prompt) {
    prompt = balancing::ParsePrompt(query.prompt);
  }
  Json result;
  if (needs_key && owner == nullptr) {
    result = UnknownRefusal(context, FailureReason::kUnknownApiKey);
  } else if (needs_key && !context.AreKeysConfirmed()) {
    result = Refusal(FailureReason::kApiKeyNotConfirmed, detail::kStatusUnavailable);
  } else if (prompt && balancing::PromptQuarantine(context.quarantine)
                           .IsQuarantined(prompt->parts, context.clock.Now())) {
    // Asked of a copy, because a question prolongs the quarantine.
    result = Refusal(FailureReason::kPromptQuarantined);
  } else {
    result = PlaceAtServices(context, query, *route, owner, prompt);
  }
  known.update(result);
  return known;
}

}  // namespace

void RespondToPlacementQuery(const ForwardContext& context, std::string_view query,
                             ResponseSink& sink) {
  const std::vector<http::Header> headers = {{"Content-Type", "application/json"}};
  int status = kOk;
  Json answer;
  try {
    answer = Place(context, ParseQuery(query));
  } catch (const InvalidPlacementQuery& error) {
    status = detail::kStatusBadRequest;
    answer = {{"error", error.name()}, {"detail", error.what()}};
  }
  sink.Respond(status, headers, answer.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace wagtailwind::forward
