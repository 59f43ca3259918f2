#include "forward/forward_task.h"

#include <algorithm>
#include <utility>

#include "balancing/endpoint_ranking.h"
#include "core/hash.h"
#include "core/mutant.h"
#include "forward/header_rules.h"
#include "forward/ranking_request.h"
#include "forward/task_common.h"

namespace wagtailwind::forward {

using requests::FailureReason;

namespace {

using namespace std::chrono_literals;

// Endpoints considered for one request: enough for the route's attempts plus some that are
// unreachable or have become full.
constexpr std::size_t kMaxCandidates = 4;

// Time that a request waits for the first configuration, and the poll interval. Refusing the
// request immediately would use up one of the caller's few retries.
constexpr std::chrono::milliseconds kConfigurationWait = 300ms;
constexpr std::chrono::milliseconds kConfigurationPollInterval = 10ms;

// Retry-After for refused callers: while the configuration is unknown, and until another router or
// a renewed confirmation can serve them.
constexpr std::chrono::milliseconds kRetryWhenNotReady = 500ms;
constexpr std::chrono::milliseconds kRetryWhenNotConfirmed = 300ms;

// Retry-After of a router that stops. The balancer leads the retry to another router, which can
// serve it at once.
constexpr std::chrono::milliseconds kRetryWhenStopping = 50ms;

// Time to deliver the answer of a request that ended at its deadline.
constexpr std::chrono::milliseconds kDeliveryTime = 100ms;

}  // namespace

ForwardTask::ForwardTask(ForwardContext& context, CallerRequest request, ResponseSink& sink,
                         std::function<void(ForwardTask&)> on_detached_end)
    : m_context(context),
      m_request(std::move(request)),
      m_sink(&sink),
      m_on_detached_end(std::move(on_detached_end)),
      m_id(http::FindHeader(m_request.head.headers, context.names.attempt_id)),
      m_deadline_timer(context.loop, [this] { OnDeadlineTimer(); }),
      m_silence_timer(context.loop, [this] { OnSilenceTimeout(); }),
      m_retry_timer(context.loop, [this] { OnRetryTimer(); }) {}

ForwardTask::~ForwardTask() {
  if (m_current.connection) {
    CancelAttempt(m_current);
  }
  CancelSetAside();
  EndAdmission(false);
  m_context.answer_memory.Release(m_counted_memory);
}

void ForwardTask::Start() {
  m_configuration = m_context.configuration;
  if (!m_configuration || !m_context.endpoints_known) {
    // A router that has just started receives both within some milliseconds.
    if (m_context.clock.Now() - m_request.received_at < kConfigurationWait) {
      m_deadline_timer.Start(kConfigurationPollInterval);
      return;
    }
    Refuse(detail::kStatusUnavailable, FailureReason::kNotReady, kRetryWhenNotReady);
    return;
  }
  if (!FindRoute() || !CheckKey()) {
    return;
  }
  ReadDeadline();
  if (!CheckStop() || !CheckQuarantine() || !FindEndpoints()) {
    return;
  }
  if (!IsMutantEnabled("forwarder_has_no_time_limit")) {
    m_deadline_timer.Start(TimeLeft());
  }
  RunStep(m_decision->Begin());
}

bool ForwardTask::FindRoute() {
  const auto& headers = m_request.head.headers;
  if (CountHeaders(headers, "Host") != 1 || !m_request.head.target.starts_with('/')) {
    Refuse(detail::kStatusBadRequest, FailureReason::kMalformedRequest);
    return false;
  }
  const std::string_view target = m_request.head.target;
  m_route = m_configuration->FindRoute(http::FindHeader(headers, "Host"),
                                       target.substr(0, target.find_first_of("?#")));
  if (m_route) {
    m_priority = m_route->priority;
    return true;
  }
  RefuseUnknown(FailureReason::kUnknownRoute);
  return false;
}

bool ForwardTask::CheckKey() {
  if (!m_configuration->has_organisations || m_route->is_public) {
    return true;
  }
  const auto& headers = m_request.head.headers;
  const std::string& field = m_context.names.api_key;
  const ApiKeyOwner* owner = CountHeaders(headers, field) == 1
                                 ? m_configuration->FindKey(http::FindHeader(headers, field))
                                 : nullptr;
  if (owner == nullptr) {
    RefuseUnknown(FailureReason::kUnknownApiKey);
    return false;
  }
  if (!AreKeysConfirmed()) {
    RefuseUnconfirmed();
    return false;
  }
  m_organisation = owner->organisation;
  m_key_owner = owner;
  if (owner->priority >= 0) {
    m_priority = static_cast<std::uint32_t>(owner->priority);
  }
  return true;
}

bool ForwardTask::AreKeysConfirmed() const {
  return m_context.AreKeysConfirmed() || IsMutantEnabled("forwarder_accepts_unconfirmed_keys");
}

bool ForwardTask::IsKeyAccepted() const {
  if (m_organisation.empty()) {
    return true;
  }
  const auto& newest = m_context.configuration;
  return AreKeysConfirmed() && (newest == m_configuration ||
                                newest->FindKey(http::FindHeader(
                                    m_request.head.headers, m_context.names.api_key)) != nullptr);
}

void ForwardTask::RefuseUnconfirmed() {
  Refuse(detail::kStatusUnavailable, FailureReason::kApiKeyNotConfirmed, kRetryWhenNotConfirmed);
}

void ForwardTask::RefuseUnknown(FailureReason reason) {
  // A newer configuration that has not arrived yet may contain the route or key.
  if (m_context.IsConfirmed()) {
    Refuse(requests::HttpStatus(reason), reason);
  } else {
    Refuse(detail::kStatusUnavailable, FailureReason::kNotReady, kRetryWhenNotReady);
  }
}

balancing::PromptPart ForwardTask::HashContent() const {
  const http1::MessageHead& head = m_request.head;
  std::uint64_t hash = StableHash(head.method);
  hash = StableHash(http::FindHeader(head.headers, "Host"), hash);
  hash = StableHash(head.target, hash);
  hash = StableHash(m_organisation.value(), hash);
  return balancing::PromptPart{StableHash(m_request.body, hash)};
}

void ForwardTask::ReadDeadline() {
  const auto asked =
      ParseMilliseconds(http::FindHeader(m_request.head.headers, m_context.names.deadline));
  std::chrono::milliseconds limit = m_route->timeout;
  if (asked) {
    limit = std::min(limit, *asked);
  }
  m_deadline = m_request.received_at + limit;
}

bool ForwardTask::CheckStop() {
  const auto& stop = m_context.stop;
  const bool may_be_cut = stop && m_context.clock.Now() >= stop->refuse_long_from &&
                          m_deadline > stop->end - kDeliveryTime;
  if (may_be_cut && !IsMutantEnabled("forwarder_takes_requests_until_it_stops")) {
    Refuse(detail::kStatusUnavailable, FailureReason::kDraining, kRetryWhenStopping);
    return false;
  }
  return true;
}

std::optional<ServiceName> ForwardTask::ChooseService() const {
  std::uint64_t total = 0;
  for (const WeightedService& candidate : m_route->services) {
    if (!m_context.endpoints.Usable(candidate.service.value()).empty()) {
      total += candidate.weight;
    }
  }
  if (total == 0) {
    return std::nullopt;
  }
  std::uint64_t point = StableHash(m_id) % total;
  for (const WeightedService& candidate : m_route->services) {
    if (m_context.endpoints.Usable(candidate.service.value()).empty()) {
      continue;
    }
    if (point < candidate.weight) {
      return candidate.service;
    }
    point -= candidate.weight;
  }
  return std::nullopt;
}

bool ForwardTask::CheckQuarantine() {
  if (m_route->has_prompt) {
    m_prompt = balancing::ParsePrompt(
        http::FindHeader(m_request.head.headers, m_context.names.prompt_parts));
  }
  if (m_prompt) {
    m_parts = m_prompt->parts;
  }
  if (m_prompt || !IsMutantEnabled("forwarder_quarantines_prompts_only")) {
    m_parts.push_back(HashContent());
  }
  if (!IsQuarantined()) {
    return true;
  }
  Refuse(requests::HttpStatus(QuarantineReason()), QuarantineReason(),
         balancing::PromptQuarantine::kQuarantineTime);
  return false;
}

bool ForwardTask::IsQuarantined() const {
  return m_context.quarantine.IsQuarantined(m_parts, m_context.clock.Now());
}

FailureReason ForwardTask::QuarantineReason() const noexcept {
  return m_prompt ? FailureReason::kPromptQuarantined : FailureReason::kRequestQuarantined;
}

bool ForwardTask::FindEndpoints() {
  m_context.endpoints.RemoveExpired(m_context.clock.Now());
  const std::optional<ServiceName> service = ChooseService();
  if (!service) {
    Refuse(detail::kStatusUnavailable, FailureReason::kNoEndpoint, kRetryWhenNotReady);
    return false;
  }
  m_service = *service;
  const auto& headers = m_request.head.headers;
  const auto spec = m_configuration->services.find(m_service.value());
  balancing::RankingRequest ranking =
      MakeRankingRequest(m_context, {.configuration = *m_configuration,
                                     .route = *m_route,
                                     .key_owner = m_key_owner,
                                     .service = m_service,
                                     .model = http::FindHeader(headers, m_context.names.model),
                                     .prompt = m_prompt});
  const double cost =
      balancing::ParseRequestCost(http::FindHeader(headers, m_context.names.token_counts))
          .value_or(0);
  ranking.is_costly = m_context.request_costs[m_service.value()].IsCostly(cost);
  balancing::Ranking ranked =
      balancing::RankEndpoints(m_context.endpoints.Usable(m_service.value()),
                               m_context.endpoints.Draining(m_service.value()), ranking,
                               m_context.clock.Now(), m_context.random, kMaxCandidates);
  m_ranked = std::move(ranked.endpoints);
  m_at_home = ranked.at_home;
  m_mean_load = ranked.mean_load;
  m_typical_load = ranked.typical;
  m_typical_performance = ranked.performance;
  if (ranked.avoided_delay) {
    m_context.metrics
        .GetCounter(m_prompt ? "forward_delays_avoided_total{kind=\"prompt\"}"
                             : "forward_delays_avoided_total{kind=\"call\"}")
        .Add();
  }
  m_context.traffic_share.OnRequest(ranked.own_load, ranked.others_load);
  if (spec != m_configuration->services.end() && spec->second.shares_cache) {
    m_cached_at = std::move(ranked.cached_at);
  }
  if (m_ranked.empty() && ranked.limit_wait) {
    Refuse(detail::kStatusUnavailable, FailureReason::kOverBound,
           RetryAfterWait(*ranked.limit_wait));
    return false;
  }
  if (m_ranked.empty()) {
    Refuse(detail::kStatusUnavailable, FailureReason::kNoEndpoint, kRetryWhenNotReady);
    return false;
  }
  if (!CheckAdmission(ranked, cost)) {
    return false;
  }
  if (ranking.prompt) {
    m_context.metrics
        .GetCounter(m_at_home ? "forward_prompts_total{placed=\"home\"}"
                              : "forward_prompts_total{placed=\"away\"}")
        .Add();
  }
  std::vector<router::Candidate> candidates;
  candidates.reserve(m_ranked.size());
  for (const balancing::EndpointPtr& endpoint : m_ranked) {
    candidates.push_back({endpoint->record.name, endpoint->record.address});
  }
  router::RequestPolicy policy;
  policy.repeatable = m_route->IsRepeatable() || IsMutantEnabled("forwarder_repeats_all_calls");
  policy.max_admitted = kMaxCandidates;
  policy.candidates = {.max_candidates = kMaxCandidates, .max_last_resorts = 0};
  policy.max_sent = m_route->max_attempts;
  policy.charge_only_arrived_attempts = true;
  m_decision.emplace(policy, std::move(candidates), m_context.RetryBudgetFor(m_service));
  return true;
}

}  // namespace wagtailwind::forward
