#include "forward/forward_task.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "forward/endpoint_ranking.h"
#include "forward/header_rules.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

using requests::FailureReason;
using requests::Outcome;

namespace {

using namespace std::chrono_literals;

// Endpoints that are considered for one request: the route's attempts and some that can't be
// reached or have become full.
constexpr std::size_t kMaxCandidates = 4;

// Share of an endpoint's connections that one router opens at most.
constexpr std::uint32_t kConnectionShare = 2;

// Bytes to a caller that does not read, above which the endpoint is not read either.
constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

// Answers up to this size are collected, so that a broken one can be replaced by another attempt.
constexpr std::size_t kMaxCollectedBytes = 512U << 10U;

// An idempotent call without an answer after twice its objective, at least this time, is sent to
// another endpoint.
constexpr std::chrono::milliseconds kMinAnswerPatience = 250ms;

// Silence after which a resumable stream goes on at another endpoint. Callers leave after two
// seconds at the earliest, and an engine with room makes its first event within its objective.
constexpr std::chrono::milliseconds kFirstEventPatience = 700ms;
constexpr std::chrono::milliseconds kEventPatience = 1'200ms;

// An endpoint without room for a request gets no other one for about the time of a short request.
constexpr std::chrono::milliseconds kFullTime = 100ms;

// Time that a request waits for the first configuration, and interval of looking for it. Refusing
// it at once would cost the caller one of its few retries.
constexpr std::chrono::milliseconds kStartPatience = 300ms;
constexpr std::chrono::milliseconds kStartRecheck = 10ms;

// What is left of a request's time must be worth an attempt.
constexpr std::chrono::milliseconds kMinAttemptTime = 5ms;

// Advice for refused callers: while the configuration is unknown, until other routers or a renewed
// confirmation can serve, and until some requests have ended.
constexpr std::chrono::milliseconds kRetryWhenNotReady = 500ms;
constexpr std::chrono::milliseconds kRetryWhenNotConfirmed = 300ms;
constexpr std::chrono::milliseconds kRetryWhenFull = 200ms;

// A key is refused this long before it could count as revoked, for the way to the endpoint.
constexpr std::chrono::milliseconds kRevocationMargin = 200ms;

constexpr std::uint32_t kLeastUrgent = 9;

constexpr int kOkFirst = 200;
constexpr int kOkLast = 299;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kServerErrorFirst = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr std::string_view kLastEventId = "Last-Event-ID";

std::int64_t ToMilliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string SecondsText(std::chrono::milliseconds time) {
  char text[24];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(time).count());
  return text;
}

}  // namespace

ForwardTask::ForwardTask(ForwardContext& context, CallerRequest request, ResponseSink& sink,
                         std::function<void(ForwardTask&)> on_adopted_end)
    : m_context(context),
      m_request(std::move(request)),
      m_sink(&sink),
      m_on_adopted_end(std::move(on_adopted_end)),
      m_id(http::FindHeader(m_request.head.headers, context.names.attempt_id)),
      m_limit_timer(context.loop, [this] { OnTimeLimit(); }),
      m_silence_timer(context.loop, [this] { OnSilence(); }) {}

ForwardTask::~ForwardTask() {
  *m_alive = false;
  if (m_connection) {
    DropAttempt();
  }
}

// --- Admission

void ForwardTask::Start() {
  m_configuration = m_context.configuration;
  if (!m_configuration || !m_context.endpoints_known) {
    // A router that has just started knows both within some milliseconds.
    if (m_context.clock.Now() - m_request.received_at < kStartPatience) {
      m_limit_timer.Start(kStartRecheck);
      return;
    }
    Refuse(kUnavailable, FailureReason::kNotReady, kRetryWhenNotReady);
    return;
  }
  if (!FindRoute() || !CheckKey()) {
    return;
  }
  ReadDeadline();
  if (!FindEndpoints()) {
    return;
  }
  m_limit_timer.Start(TimeLeft());
  Follow(m_decision->Begin());
}

bool ForwardTask::FindRoute() {
  const auto& headers = m_request.head.headers;
  if (CountHeaders(headers, "Host") != 1 || !m_request.head.target.starts_with('/')) {
    Refuse(kBadRequest, FailureReason::kMalformedRequest);
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
  const KeyHolder* holder = CountHeaders(headers, field) == 1
                                ? m_configuration->FindKey(http::FindHeader(headers, field))
                                : nullptr;
  if (holder == nullptr) {
    RefuseUnknown(FailureReason::kUnknownApiKey);
    return false;
  }
  if (m_context.confirmation.Age(m_context.clock.BootNow()) >
      m_context.bounds.key_revocation - kRevocationMargin) {
    Refuse(kUnavailable, FailureReason::kApiKeyNotConfirmed, kRetryWhenNotConfirmed);
    return false;
  }
  m_organisation = holder->organisation;
  if (holder->priority >= 0) {
    m_priority = static_cast<std::uint32_t>(holder->priority);
  }
  return true;
}

void ForwardTask::RefuseUnknown(FailureReason reason) {
  // A newer configuration that has not arrived may know it.
  if (m_context.IsConfirmed()) {
    Refuse(requests::HttpStatus(reason), reason);
  } else {
    Refuse(kUnavailable, FailureReason::kNotReady, kRetryWhenNotReady);
  }
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

bool ForwardTask::FindEndpoints() {
  m_context.endpoints.Sweep(m_context.clock.Now());
  const std::optional<ServiceName> service = ChooseService();
  if (!service) {
    Refuse(kUnavailable, FailureReason::kNoEndpoint, kRetryWhenNotReady);
    return false;
  }
  m_service = *service;
  const auto& headers = m_request.head.headers;
  RankingRequest ranking;
  ranking.zone = m_context.zone;
  ranking.wall_now = m_context.clock.WallNow();
  ranking.model = ModelName(std::string(http::FindHeader(headers, m_context.names.model)));
  const auto spec = m_configuration->services.find(m_service.value());
  if (spec != m_configuration->services.end()) {
    ranking.max_connections = spec->second.max_connections / kConnectionShare;
  }
  if (m_route->has_prompt) {
    ranking.prompt = ParsePrompt(http::FindHeader(headers, m_context.names.prompt_parts));
  }
  Ranking ranked = RankEndpoints(m_context.endpoints.Usable(m_service.value()),
                                 m_context.endpoints.Draining(m_service.value()), ranking,
                                 m_context.clock.Now(), m_context.random, kMaxCandidates);
  m_ranked = std::move(ranked.endpoints);
  m_at_home = ranked.at_home;
  m_mean_load = ranked.mean_load;
  if (spec != m_configuration->services.end() && spec->second.shares_cache) {
    m_cached_at = std::move(ranked.cached_at);
  }
  if (m_ranked.empty()) {
    Refuse(kUnavailable, FailureReason::kNoEndpoint, kRetryWhenNotReady);
    return false;
  }
  if (ranking.prompt) {
    m_prompt = *ranking.prompt;
    m_context.metrics
        .GetCounter(m_at_home ? "forward_prompts_total{placed=\"home\"}"
                              : "forward_prompts_total{placed=\"away\"}")
        .Add();
  }
  std::vector<router::Candidate> candidates;
  candidates.reserve(m_ranked.size());
  for (const EndpointPtr& endpoint : m_ranked) {
    candidates.push_back({endpoint->record.name, endpoint->record.address});
  }
  router::RequestPolicy policy;
  policy.repeatable = m_route->IsRepeatable();
  policy.max_admitted = kMaxCandidates;
  policy.candidates = {.max_candidates = kMaxCandidates, .max_last_resorts = 0};
  policy.max_sent = m_route->max_attempts;
  policy.budget_counts_arrivals = true;
  m_decision.emplace(policy, std::move(candidates), m_context.RetryBudgetOf(m_service));
  return true;
}

// --- Attempts

std::chrono::nanoseconds ForwardTask::TimeLeft() const {
  return m_deadline - m_context.clock.Now();
}

void ForwardTask::Follow(router::Step step) {
  while (step.kind == router::Step::Kind::kAttempt) {
    const auto endpoint =
        std::find_if(m_ranked.begin(), m_ranked.end(), [&step](const EndpointPtr& candidate) {
          return candidate->record.name == step.candidate.endpoint;
        });
    if (endpoint != m_ranked.end() && StartAttempt(step, *endpoint)) {
      return;
    }
    step = m_decision->OnBreakerOpen(step.attempt);
  }
  if (step.kind == router::Step::Kind::kFinish) {
    Finish(step);
  }
}

bool ForwardTask::StartAttempt(const router::Step& step, const EndpointPtr& endpoint) {
  if (!endpoint->usable || TimeLeft() < kMinAttemptTime) {
    return false;
  }
  const SteadyTime now = m_context.clock.Now();
  // A failing endpoint comes first only if all are failing; then it is better than none.
  if (!endpoint->health.TryAcquire(now) && endpoint != m_ranked.front()) {
    return false;
  }
  m_attempt = step.attempt;
  m_last_endpoint = endpoint->record.name;
  m_sent = false;
  m_sent_at = now;
  m_kind = AnswerKind::kNone;
  m_last_event_at.reset();
  m_answer_body.clear();
  m_framer.Reset();
  m_connection = m_context.pool.Acquire(endpoint);
  endpoint->load.OnSent();
  if (step.attempt > 1) {
    Log(kRetryDecided, {{"id", m_id},
                        {"attempt", step.attempt},
                        {"endpoint", endpoint->record.name.value()},
                        {"after_event", m_last_event_id.value_or(0)},
                        {"budget", m_context.RetryBudgetOf(m_service).Tokens()}});
    m_context.metrics.GetCounter("forward_retries_total").Add();
  }
  Log(kAttemptStarted, {{"id", m_id},
                        {"attempt", step.attempt},
                        {"endpoint", endpoint->record.name.value()},
                        {"load", endpoint->load.Requests(now)},
                        {"mean_load", m_mean_load},
                        {"at_home", m_at_home ? 1 : 0},
                        {"reused", m_connection->reused ? 1 : 0}});
  m_connection->connection->Send(RequestText(endpoint), m_request.head.method == "HEAD", *this);
  WatchForSilence();
  return true;
}

std::string ForwardTask::RequestText(const EndpointPtr& endpoint) const {
  const WireNames& names = m_context.names;
  std::string text = m_request.head.method + " " + m_request.head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  const auto is_reserved = [&names](std::string_view name) {
    return SameName(name, names.api_key) || SameName(name, names.organisation) ||
           SameName(name, names.deadline) || SameName(name, names.expected_endpoint) ||
           SameName(name, names.priority) || SameName(name, names.fetch_from) ||
           std::any_of(names.reserved.begin(), names.reserved.end(),
                       [name](const std::string& field) { return SameName(field, name); });
  };
  for (const http::Header& header : EndToEndHeaders(m_request.head.headers)) {
    const bool replaced = m_last_event_id && SameName(header.name, kLastEventId);
    if (!replaced && !is_reserved(header.name)) {
      add(header.name, header.value);
    }
  }
  if (m_last_event_id) {
    add(kLastEventId, std::to_string(*m_last_event_id));
  }
  add(names.deadline, std::to_string(std::max<std::int64_t>(ToMilliseconds(TimeLeft()), 1)));
  add(names.expected_endpoint, endpoint->record.name.value());
  if (!m_organisation.empty()) {
    add(names.organisation, m_organisation.value());
  }
  if (m_route->has_prompt) {
    add(names.priority, std::to_string(std::min(m_priority, kLeastUrgent)));
  }
  if (m_cached_at && m_cached_at != endpoint) {
    add(names.fetch_from, m_cached_at->record.address);
  }
  const bool has_body =
      !m_request.body.empty() || m_request.head.content_length || m_request.head.chunked;
  if (has_body) {
    add("Content-Length", std::to_string(m_request.body.size()));
  }
  return text.append("\r\n").append(m_request.body);
}

void ForwardTask::DropAttempt() {
  EndpointHealth& health = m_connection->endpoint->health;
  m_sent ? health.OnNeutral() : health.OnNotSent();
  EndAttempt();
}

void ForwardTask::EndAttempt() {
  m_silence_timer.Cancel();
  if (m_connection) {
    m_connection->endpoint->load.OnEnded();
    m_context.pool.Discard(std::move(*m_connection));
    m_connection.reset();
  }
}

void ForwardTask::CountAttempt(std::string_view result) {
  m_context.metrics.GetCounter("forward_attempts_total{result=\"" + std::string(result) + "\"}")
      .Add();
}

void ForwardTask::LoseAttempt(FailureReason reason, std::string_view detail) {
  const EndpointPtr endpoint = m_connection->endpoint;
  Log(kAttemptFailed, {{"id", m_id},
                       {"attempt", m_attempt},
                       {"endpoint", endpoint->record.name.value()},
                       {"reason", requests::ToText(reason)},
                       {"detail", detail},
                       {"sent", m_sent ? 1 : 0},
                       {"events", m_events},
                       {"after_ms", ToMilliseconds(m_context.clock.Now() - m_sent_at)}});
  CountAttempt("lost");
  endpoint->health.OnFailure(AttemptFailure::kLost, m_context.clock.Now());
  EndAttempt();
  Follow(m_decision->OnLost(m_attempt, reason));
}

void ForwardTask::WatchForSilence() {
  if (!m_route->IsRepeatable()) {
    return;
  }
  std::chrono::milliseconds patience = std::max(2 * m_route->objective, kMinAnswerPatience);
  if (m_route->kind == RequestKind::kStream) {
    patience = m_events == 0 ? std::max(2 * m_route->objective, kFirstEventPatience)
                             : std::max(4 * m_route->max_pause, kEventPatience);
  }
  m_silence_timer.Start(patience);
}

void ForwardTask::OnSilence() {
  if (!m_connection || m_kind == AnswerKind::kRefusal) {
    return;
  }
  const bool has_alternative =
      m_decision->attempts() < m_route->max_attempts &&
      m_context.RetryBudgetOf(m_service).Tokens() >= 1 &&
      std::any_of(m_ranked.begin(), m_ranked.end(), [this](const EndpointPtr& endpoint) {
        return endpoint->usable && endpoint != m_connection->endpoint;
      });
  if (has_alternative) {
    LoseAttempt(FailureReason::kEngineLost, "silent");
  }
}

void ForwardTask::OnTimeLimit() {
  if (m_done) {
    return;
  }
  if (!m_decision) {
    Start();
    return;
  }
  const router::Step step = m_decision->OnAbort(FailureReason::kDeadlineExceeded);
  if (m_connection) {
    DropAttempt();
  }
  Finish(step);
}

// --- Answer of the endpoint

void ForwardTask::OnSending() {
  m_sent = true;
  m_connection->endpoint->health.OnSent(m_context.clock.Now());
  m_decision->OnHandedOver(m_attempt);
}

ForwardTask::AnswerKind ForwardTask::Classify(const http1::MessageHead& head) const {
  const WireNames& names = m_context.names;
  if (head.status == kMisdirected) {
    return AnswerKind::kOtherProcess;
  }
  if (!http::FindHeader(head.headers, names.not_run).empty()) {
    return AnswerKind::kRefusal;
  }
  if (head.status < kOkFirst || head.status > kOkLast) {
    return AnswerKind::kFailure;
  }
  if (http::FindHeader(head.headers, names.signature).empty() ||
      !http::FindHeader(head.headers, "Content-Encoding").empty()) {
    return AnswerKind::kInvalid;
  }
  return http::FindHeader(head.headers, "Content-Type").starts_with("text/event-stream")
             ? AnswerKind::kEvents
             : AnswerKind::kWhole;
}

void ForwardTask::TakeLoad(const http1::MessageHead& head) {
  const auto report = ParseLoad(http::FindHeader(head.headers, m_context.names.load));
  if (report) {
    m_connection->endpoint->load.OnReport(*report, m_context.clock.Now());
  }
}

bool ForwardTask::OnResponseHead(http1::MessageHead head) {
  m_connection->endpoint->health.OnHeard(m_context.clock.Now());
  const std::string_view id = http::FindHeader(head.headers, m_context.names.attempt_id);
  // Without an id, only the first answer on a connection is surely that of this request.
  const bool belongs = id.empty() ? !m_connection->reused : id == m_id;
  if (!belongs) {
    Log(kAnswerSkipped, {{"id", m_id},
                         {"answer_id", id},
                         {"endpoint", m_connection->endpoint->record.name.value()},
                         {"status", head.status}});
    return false;
  }
  TakeLoad(head);
  m_kind = Classify(head);
  if (m_kind == AnswerKind::kWhole || m_kind == AnswerKind::kEvents) {
    m_decision->OnAdmitted(m_attempt);
    m_decision->OnHead(m_attempt);
  }
  if (m_kind == AnswerKind::kEvents) {
    if (!m_stream_head) {
      m_stream_head = head;
    }
  } else {
    m_silence_timer.Cancel();
  }
  m_answer_head = std::move(head);
  return true;
}

void ForwardTask::OnResponseBody(std::string_view part) {
  m_connection->endpoint->health.OnHeard(m_context.clock.Now());
  if (m_kind == AnswerKind::kEvents) {
    m_framer.Feed(part, [this](std::string_view event, std::optional<std::uint64_t> id) {
      OnEvent(event, id);
    });
    return;
  }
  if (m_answer_body.size() + part.size() <= kMaxCollectedBytes || m_stream_began) {
    if (m_stream_began && m_sink != nullptr) {
      m_sink->StreamPart(part);
    } else {
      m_answer_body.append(part);
    }
    return;
  }
  if (m_kind == AnswerKind::kWhole && m_sink != nullptr) {
    m_stream_head = m_answer_head;
    BeginStreamToCaller();
    m_sink->StreamPart(m_answer_body);
    m_sink->StreamPart(part);
    m_answer_body.clear();
  }
}

void ForwardTask::OnEvent(std::string_view event, std::optional<std::uint64_t> id) {
  // A resumed stream may repeat events that the caller has.
  if (id && m_last_event_id && *id <= *m_last_event_id) {
    return;
  }
  const SteadyTime now = m_context.clock.Now();
  if (m_last_event_at) {
    m_connection->endpoint->pace.OnGap(now - *m_last_event_at, now);
    m_context.metrics.GetDuration("forward_event_gap_seconds").Record(now - *m_last_event_at);
  }
  m_last_event_at = now;
  if (m_events == 0) {
    m_first_event_at = now;
    m_context.metrics.GetDuration("forward_first_event_seconds")
        .Record(m_first_event_at - m_request.received_at);
  }
  ++m_events;
  if (id) {
    m_last_event_id = id;
  }
  WatchForSilence();
  if (m_sink == nullptr) {
    return;
  }
  BeginStreamToCaller();
  m_sink->StreamPart(event);
  if (m_sink->QueuedBytes() > kMaxQueuedBytes && !m_reading_paused) {
    m_reading_paused = true;
    m_connection->connection->StopReading();
    m_silence_timer.Cancel();
  }
}

void ForwardTask::OnSinkDrained() {
  if (std::exchange(m_reading_paused, false) && m_connection) {
    m_connection->connection->StartReading();
    WatchForSilence();
  }
}

void ForwardTask::OnResponseEnd(bool reusable) {
  m_silence_timer.Cancel();
  EndpointConnection connection = std::move(*m_connection);
  m_connection.reset();
  connection.endpoint->load.OnEnded();
  const EndpointPtr endpoint = connection.endpoint;
  if (reusable) {
    m_context.pool.Release(std::move(connection),
                           KeepAliveTimeout(http::FindHeader(m_answer_head.headers, "Keep-Alive")));
  } else {
    m_context.pool.Discard(std::move(connection));
  }
  const SteadyTime now = m_context.clock.Now();
  switch (m_kind) {
    case AnswerKind::kWhole:
    case AnswerKind::kEvents:
      CountAttempt("answered");
      endpoint->health.OnSuccess(now);
      FinishAnswer();
      return;
    case AnswerKind::kOtherProcess:
      CountAttempt("other_process");
      endpoint->health.OnNeutral();
      m_context.endpoints.OnOtherProcess(endpoint->record.name);
      Follow(m_decision->OnRefused(m_attempt, {.reason = FailureReason::kDraining}));
      return;
    case AnswerKind::kRefusal:
      CountAttempt("refused");
      endpoint->health.OnNeutral();
      endpoint->full_until = now + kFullTime;
      Log(kAttemptFailed, {{"id", m_id},
                           {"attempt", m_attempt},
                           {"endpoint", endpoint->record.name.value()},
                           {"reason", requests::ToText(FailureReason::kOverBound)},
                           {"status", m_answer_head.status}});
      if (m_answer_head.status == kBadRequest) {
        Refuse(kBadRequest, FailureReason::kMalformedRequest);
        return;
      }
      Follow(m_decision->OnRefused(m_attempt, {.reason = FailureReason::kOverBound}));
      return;
    case AnswerKind::kFailure:
      CountAttempt("failed");
      if (m_answer_head.status < kServerErrorFirst) {
        endpoint->health.OnSuccess(now);
        m_failure.emplace(std::move(m_answer_head), std::move(m_answer_body));
        Finish(m_decision->OnAbort(FailureReason::kEngineLost));
        return;
      }
      endpoint->health.OnFailure(AttemptFailure::kAnswered, now);
      Log(kAttemptFailed, {{"id", m_id},
                           {"attempt", m_attempt},
                           {"endpoint", endpoint->record.name.value()},
                           {"reason", requests::ToText(FailureReason::kEngineLost)},
                           {"status", m_answer_head.status}});
      m_failure.emplace(std::move(m_answer_head), std::move(m_answer_body));
      Follow(m_decision->OnLost(m_attempt, FailureReason::kEngineLost));
      return;
    case AnswerKind::kInvalid:
    case AnswerKind::kNone:
      CountAttempt("invalid");
      endpoint->health.OnFailure(AttemptFailure::kAnswered, now);
      Log(kAttemptFailed, {{"id", m_id},
                           {"attempt", m_attempt},
                           {"endpoint", endpoint->record.name.value()},
                           {"reason", requests::ToText(FailureReason::kConnectionLost)},
                           {"detail", "answer without signature"}});
      Follow(m_decision->OnLost(m_attempt, FailureReason::kConnectionLost));
      return;
  }
}

void ForwardTask::OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) {
  if (!m_connection) {
    return;
  }
  if (m_kind == AnswerKind::kRefusal || m_kind == AnswerKind::kOtherProcess) {
    // The head alone says that nothing ran.
    OnResponseEnd(false);
    return;
  }
  if (end == http1::ConnectionEnd::kNotConnected) {
    const EndpointPtr endpoint = m_connection->endpoint;
    Log(kAttemptFailed, {{"id", m_id},
                         {"attempt", m_attempt},
                         {"endpoint", endpoint->record.name.value()},
                         {"reason", http1::ToText(end)},
                         {"detail", detail}});
    CountAttempt("not_connected");
    endpoint->health.OnFailure(AttemptFailure::kNotConnected, m_context.clock.Now());
    EndAttempt();
    Follow(m_decision->OnNotHandedOver(m_attempt));
    return;
  }
  LoseAttempt(FailureReason::kConnectionLost, detail);
}

void ForwardTask::FinishAnswer() {
  const router::Step step = m_decision->OnComplete(m_attempt);
  if (step.outcome != Outcome::kResult) {
    Finish(step);
    return;
  }
  if (m_sink != nullptr) {
    if (m_kind == AnswerKind::kEvents || m_stream_began) {
      BeginStreamToCaller();
      m_sink->StreamPart(m_framer.Rest());
      m_sink->EndStream();
    } else {
      m_sink->Respond(m_answer_head.status, CallerHeaders(m_answer_head), m_answer_body);
    }
  }
  Close(m_answer_head.status, requests::ToText(Outcome::kResult), FailureReason::kNone);
}

std::vector<http::Header> ForwardTask::CallerHeaders(const http1::MessageHead& head) const {
  std::vector<http::Header> headers = EndToEndHeaders(head.headers);
  std::erase_if(headers, [this](const http::Header& header) {
    return SameName(header.name, m_context.names.load);
  });
  return headers;
}

// --- Response to the caller

void ForwardTask::BeginStreamToCaller() {
  if (!std::exchange(m_stream_began, true)) {
    m_sink->BeginStream(m_stream_head->status, CallerHeaders(*m_stream_head));
  }
}

void ForwardTask::Refuse(int status, FailureReason reason,
                         std::optional<std::chrono::milliseconds> retry_after) {
  if (m_done) {
    return;
  }
  std::vector<http::Header> headers;
  if (!m_id.empty()) {
    headers.push_back({m_context.names.attempt_id, std::string(m_id)});
  }
  if (retry_after) {
    // Spread, so that callers that were refused together do not return together.
    const auto spread = static_cast<std::uint64_t>(retry_after->count());
    headers.push_back({"Retry-After",
                       SecondsText(*retry_after / 2 +
                                   std::chrono::milliseconds(m_context.random.Below(spread + 1)))});
  }
  if (m_sink != nullptr) {
    m_sink->Respond(status, headers, {});
  }
  Close(status, requests::ToText(Outcome::kNotRun), reason);
}

void ForwardTask::Finish(const router::Step& step) {
  if (m_done) {
    return;
  }
  if (m_stream_began) {
    if (m_sink != nullptr) {
      m_sink->Abort();
    }
    Close(0, requests::ToText(step.outcome), step.reason);
    return;
  }
  if (step.outcome == Outcome::kNotRun && !m_failure) {
    FinishNotRun(step.reason);
    return;
  }
  if (m_failure) {
    if (m_sink != nullptr) {
      m_sink->Respond(m_failure->first.status, CallerHeaders(m_failure->first), m_failure->second);
    }
    Close(m_failure->first.status, requests::ToText(step.outcome), step.reason);
    return;
  }
  const int status =
      step.reason == FailureReason::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  if (m_sink != nullptr) {
    m_sink->Respond(status, {{m_context.names.attempt_id, std::string(m_id)}}, {});
  }
  Close(status, requests::ToText(step.outcome), step.reason);
}

void ForwardTask::FinishNotRun(FailureReason reason) {
  const bool no_time = reason == FailureReason::kDeadlineExceeded;
  Refuse(kUnavailable, reason,
         no_time ? std::nullopt : std::optional<std::chrono::milliseconds>(kRetryWhenFull));
}

void ForwardTask::Close(int status, std::string_view outcome, FailureReason reason) {
  m_done = true;
  m_limit_timer.Cancel();
  m_silence_timer.Cancel();
  const SteadyTime now = m_context.clock.Now();
  const auto duration = now - m_request.received_at;
  const bool forwarded = m_decision && m_decision->attempts() > 0;
  Log(forwarded ? kRequestForwarded : kRequestRefused,
      {{"id", m_id},
       {"route", m_route ? std::string_view(m_route->name) : std::string_view()},
       {"organisation", m_organisation.value()},
       {"service", m_service.value()},
       {"status", status},
       {"outcome", outcome},
       {"reason", requests::ToText(reason)},
       {"attempts", m_decision ? m_decision->attempts() : 0},
       {"prompt", m_prompt.key},
       {"prompt_tokens", m_prompt.tokens},
       {"fetch_from", m_cached_at ? m_cached_at->record.name.value() : std::string()},
       {"endpoint", m_last_endpoint.value()},
       {"events", m_events},
       {"first_event_ms",
        m_events == 0 ? -1 : ToMilliseconds(m_first_event_at - m_request.received_at)},
       {"duration_ms", ToMilliseconds(duration)},
       {"configuration", m_configuration ? m_configuration->version : 0},
       {"confirmed_ms",
        m_context.confirmation.AgeMilliseconds(m_context.clock.BootNow()).value_or(-1)}});
  m_context.metrics
      .GetCounter(std::string("forward_requests_total{status=\"") + std::to_string(status) +
                  "\",reason=\"" + std::string(requests::ToText(reason)) + "\"}")
      .Add();
  m_context.metrics.GetDuration("forward_request_seconds").Record(duration);
  if (m_sink == nullptr && m_on_adopted_end) {
    m_on_adopted_end(*this);
  }
}

bool ForwardTask::OnCallerGone() {
  if (m_done) {
    return false;
  }
  m_sink = nullptr;
  // A call that runs at most once is let finish: breaking it off would leave its effect in doubt
  // and save little.
  const bool goes_on = m_route && m_route->kind == RequestKind::kNonIdempotent && m_sent;
  Log(kCallerLeft, {{"id", m_id},
                    {"attempts", m_decision ? m_decision->attempts() : 0},
                    {"events", m_events},
                    {"goes_on", goes_on ? 1 : 0},
                    {"after_ms", ToMilliseconds(m_context.clock.Now() - m_request.received_at)}});
  return goes_on;
}

}  // namespace wagtailwind::forward
