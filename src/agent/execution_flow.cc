#include "agent/execution_flow.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "agent/chat_execution.h"
#include "agent/log_events.h"
#include "agent/service_execution.h"
#include "core/hash.h"
#include "requests/answer_id.h"

namespace wagtailwind::agent {

namespace {

using requests::FailureReason;
using requests::Outcome;

// Maximum number of recorded redirects; forgetting one costs at most one more redirect.
constexpr std::size_t kMaxRedirectedRequests = 4096;
constexpr std::chrono::milliseconds kAbortRetryInterval{100};

std::uint64_t CallHash(const AgentCall& call) {
  if (const auto* chat = std::get_if<ChatCall>(&call.target)) {
    return StableHash(chat->body, StableHash(chat->model.value()));
  }
  const auto& plain = std::get<PlainCall>(call.target);
  return StableHash(plain.body, StableHash(plain.path, StableHash(plain.method)));
}

bool ServesModel(const gossip::EndpointAdvertisement& endpoint, const ModelName& model) {
  return std::find(endpoint.models.begin(), endpoint.models.end(), model) != endpoint.models.end();
}

std::uint32_t PriorityRank(const records::Configuration& configuration,
                           const PriorityClassName& name) {
  const auto& classes = configuration.priority_classes;
  const auto found = std::find_if(
      classes.begin(), classes.end(),
      [&name](const records::PriorityClass& candidate) { return candidate.name == name; });
  return found == classes.end() ? 0 : found->rank;
}

/// Checks the request key of a call that is not repeatable; the reason is kNone if the key is
/// valid. An expired key may have been used before, so the outcome of such a call is unknown.
Refusal CheckKey(const std::string& text, const std::optional<requests::RequestKey>& key,
                 WallTime now) {
  Refusal refusal;
  if (text.empty()) {
    refusal.reason = FailureReason::kMissingRequestKey;
  } else if (!key) {
    refusal.reason = FailureReason::kInvalidRequestKey;
  } else if (!requests::IsWithinAcceptanceWindow(*key, now)) {
    refusal.reason = FailureReason::kRequestKeyExpired;
    refusal.outcome = Outcome::kUnknown;
  }
  return refusal;
}

}  // namespace

ExecutionFlow::ExecutionFlow(FlowDependencies parts, FlowSettings settings)
    : m_core(std::make_shared<FlowCore>(parts, std::move(settings))) {}

ExecutionFlow::~ExecutionFlow() {
  BeginStop();
  do {
    AbortAll(FailureReason::kShutdownTimeout);
  } while (!m_core->WaitIdle(kAbortRetryInterval));
}

Incarnation ExecutionFlow::AgentIncarnation() const noexcept {
  return m_core->settings.incarnation;
}

void ExecutionFlow::Execute(AgentCall call, const AdmissionCallback& decided) {
  const AttemptId id = call.id;
  if (call.agent_incarnation != m_core->settings.incarnation) {
    // Not registered, because the table holds attempts of this incarnation only.
    Log(kWrongIncarnation, {{"request", ToHex(id.request)}});
    Admission admission;
    admission.refusal.reason = FailureReason::kNotReady;
    decided(admission);
    return;
  }
  if (!m_core->attempts.Register(id, decided)) {
    Log(kDuplicateAttempt, {{"request", ToHex(id.request)}, {"attempt", id.attempt}});
    m_core->parts.metrics.GetCounter("agent_duplicate_attempts_total").Add();
    return;
  }
  const FailureReason reason = CheckCall(call);
  if (reason != FailureReason::kNone) {
    Refusal refusal;
    refusal.reason = reason;
    Refuse(id, refusal);
  } else if (std::holds_alternative<ChatCall>(call.target)) {
    ExecuteChat(std::move(call));
  } else {
    ExecuteService(std::move(call));
  }
}

FailureReason ExecutionFlow::CheckCall(const AgentCall& call) const {
  if (m_stopping) {
    return FailureReason::kDraining;
  }
  if (m_core->parts.configuration.Current()->version == 0) {
    // Without configuration records, a drain plan for this endpoint would be missed.
    return FailureReason::kNotReady;
  }
  if (call.deadline <= std::chrono::milliseconds(0)) {
    return FailureReason::kDeadlineExceeded;
  }
  const gossip::EndpointAdvertisement& endpoint = m_core->settings.endpoint;
  if (const auto* chat = std::get_if<ChatCall>(&call.target)) {
    const bool served = m_core->parts.engine != nullptr && ServesModel(endpoint, chat->model);
    return served ? FailureReason::kNone : FailureReason::kUnknownModel;
  }
  const auto& plain = std::get<PlainCall>(call.target);
  if (m_core->parts.service == nullptr || plain.service != endpoint.pool) {
    return FailureReason::kUnknownService;
  }
  if (!plain.repeatable && m_core->parts.claims == nullptr) {
    return FailureReason::kPlatformUnavailable;
  }
  return FailureReason::kNone;
}

void ExecutionFlow::Decide(const AttemptId& id, const Admission& admission) {
  m_core->attempts.Decide(id, admission);
}

void ExecutionFlow::Refuse(const AttemptId& id, Refusal refusal) {
  Log(kAttemptRefused,
      {{"request", ToHex(id.request)}, {"reason", requests::ToText(refusal.reason)}});
  m_core->parts.metrics
      .GetCounter("agent_refusals_total{reason=\"" + std::string(requests::ToText(refusal.reason)) +
                  "\"}")
      .Add();
  Admission admission;
  admission.refusal = std::move(refusal);
  Decide(id, admission);
}

std::shared_ptr<StoredAnswer> ExecutionFlow::NewAnswer(const AgentCall& call) {
  const requests::AnswerId id{m_core->settings.endpoint.endpoint, m_core->settings.incarnation,
                              m_core->parts.random.NewRequestId()};
  return m_core->answers.Create(requests::ToText(id), call.organisation);
}

bool ExecutionFlow::TryRedirect(const AgentCall& call, const ChatCall& chat) {
  if (chat.chat.empty() || chat.last_resort) {
    return false;
  }
  const std::optional<EndpointName> target = m_core->parts.homes.Find(call.organisation, chat.chat);
  if (!target || *target == m_core->settings.endpoint.endpoint) {
    return false;
  }
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_redirected.erase(call.id.request) > 0) {
      // The request was redirected before and came back, so it is served here.
      return false;
    }
    if (m_redirected.size() >= kMaxRedirectedRequests) {
      m_redirected.clear();
    }
    m_redirected.insert(call.id.request);
  }
  Refusal refusal;
  refusal.reason = FailureReason::kRedirected;
  refusal.redirects = {*target};
  Refuse(call.id, std::move(refusal));
  return true;
}

bool ExecutionFlow::InsertResult(const AgentCall& call, bool may_run_again, std::uint64_t call_hash,
                                 const std::shared_ptr<StoredAnswer>& answer) {
  const ResultTable::Lookup lookup = m_core->results.FindOrInsert(
      call.organisation, call.request_key, call_hash, may_run_again, answer);
  if (lookup.state == ResultTable::State::kInserted) {
    return true;
  }
  // The answer created for this call is not used.
  answer->SetEnd({false, Outcome::kNotRun, FailureReason::kCancelled});
  if (lookup.state == ResultTable::State::kConflict) {
    Refusal refusal;
    refusal.reason = FailureReason::kRequestKeyAlreadyUsed;
    refusal.outcome = Outcome::kUnknown;
    Refuse(call.id, std::move(refusal));
    return false;
  }
  Log(kResultReplayed, {{"request", ToHex(call.id.request)}, {"answer", lookup.answer->Id()}});
  m_core->parts.metrics.GetCounter("agent_replayed_results_total").Add();
  Admission admission;
  admission.answer = lookup.answer;
  Decide(call.id, admission);
  return false;
}

placement::AdmissionDecision ExecutionFlow::Admit(const AgentCall& call) {
  placement::AdmissionRequest request;
  request.organisation = call.organisation;
  request.priority_class = call.priority_class;
  request.prompt_tokens = 1;
  if (const auto* chat = std::get_if<ChatCall>(&call.target)) {
    request.chat = chat->chat;
    request.prompt_tokens = chat->prompt_tokens;
    request.max_output_tokens = chat->max_output_tokens;
    request.last_resort = chat->last_resort;
    request.cached_tokens =
        std::min(chat->prompt_tokens, m_core->prefixes->Find(call.organisation, chat->chat));
  }
  return m_core->parts.gate.Admit(request);
}

void ExecutionFlow::RefuseAtGate(const AttemptId& id, const placement::AdmissionDecision& decision,
                                 StoredAnswer& answer) {
  answer.SetEnd({false, Outcome::kNotRun, decision.reason});
  Refusal refusal;
  refusal.reason = decision.reason;
  refusal.retry_after = decision.retry_after;
  refusal.redirects = decision.redirects;
  Refuse(id, std::move(refusal));
}

void ExecutionFlow::ExecuteChat(AgentCall call) {
  const auto& chat = std::get<ChatCall>(call.target);
  if (TryRedirect(call, chat)) {
    return;
  }
  const std::shared_ptr<StoredAnswer> answer = NewAnswer(call);
  if (!call.request_key.empty() && !InsertResult(call, true, CallHash(call), answer)) {
    return;
  }
  const placement::AdmissionDecision decision = Admit(call);
  if (!decision.admitted) {
    RefuseAtGate(call.id, decision, *answer);
    return;
  }
  if (!chat.chat.empty()) {
    m_core->parts.homes.Clear(call.organisation, chat.chat);
  }
  const std::uint32_t rank =
      PriorityRank(*m_core->parts.configuration.Current(), call.priority_class);
  const AttemptId id = call.id;
  const auto execution = std::make_shared<ChatExecution>(m_core, std::move(call), answer);
  Admission admission;
  admission.answer = answer;
  admission.execution = execution;
  execution->Start(decision.reservation, rank);
  Decide(id, admission);
}

void ExecutionFlow::ExecuteService(AgentCall call) {
  const auto& plain = std::get<PlainCall>(call.target);
  std::optional<requests::RequestKey> key;
  if (!plain.repeatable) {
    key = requests::ParseRequestKey(call.request_key);
    Refusal refusal = CheckKey(call.request_key, key, m_core->parts.clock.WallNow());
    if (refusal.reason != FailureReason::kNone) {
      Refuse(call.id, std::move(refusal));
      return;
    }
    // The parsed text is normalised, so that two spellings of one UUID are the same key.
    call.request_key = key->text;
  }
  const std::shared_ptr<StoredAnswer> answer = NewAnswer(call);
  if (key && !InsertResult(call, false, CallHash(call), answer)) {
    return;
  }
  const placement::AdmissionDecision decision = Admit(call);
  if (!decision.admitted) {
    RefuseAtGate(call.id, decision, *answer);
    return;
  }
  const AttemptId id = call.id;
  const auto execution =
      std::make_shared<ServiceExecution>(m_core, std::move(call), std::move(key), answer);
  {
    const absl::MutexLock lock(&m_mutex);
    std::erase_if(m_undecided, [](const auto& entry) { return entry.second.expired(); });
    m_undecided[id] = execution;
  }
  execution->Start(decision.reservation);
}

void ExecutionFlow::CancelUndecided(const AttemptId& id) {
  std::shared_ptr<Execution> execution;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_undecided.find(id);
    if (found == m_undecided.end()) {
      return;
    }
    execution = found->second.lock();
    m_undecided.erase(found);
  }
  if (execution) {
    execution->Cancel();
  }
}

std::shared_ptr<StoredAnswer> ExecutionFlow::FindAnswer(
    std::string_view id, const OrganisationName& organisation) const {
  return m_core->answers.Find(id, organisation);
}

void ExecutionFlow::ChatMoved(const OrganisationName& organisation, const ChatId& chat,
                              const EndpointName& endpoint) {
  if (endpoint == m_core->settings.endpoint.endpoint) {
    m_core->parts.homes.Clear(organisation, chat);
  } else {
    m_core->parts.homes.Set(organisation, chat, endpoint);
  }
}

void ExecutionFlow::Tick() {
  for (const std::shared_ptr<Execution>& execution : m_core->Running()) {
    execution->CancelIfUnread(m_core->settings.max_unread);
  }
  m_core->answers.RemoveExpired();
  m_core->results.RemoveExpired();
  m_core->service_health.Tick();
  m_core->parts.metrics.GetGauge("agent_running").Set(static_cast<double>(Running()));
  m_core->parts.metrics.GetGauge("agent_answer_bytes")
      .Set(static_cast<double>(m_core->answers.TotalBytes()));
}

void ExecutionFlow::BeginStop() {
  if (!m_stopping.exchange(true)) {
    Log(kStopStarted, {{"running", Running()}});
    m_core->parts.gate.Close();
  }
}

bool ExecutionFlow::WaitIdle(std::chrono::milliseconds timeout) const {
  return m_core->WaitIdle(timeout);
}

void ExecutionFlow::AbortAll(FailureReason reason) {
  for (const std::shared_ptr<Execution>& execution : m_core->Running()) {
    execution->Abort(reason);
  }
}

void ExecutionFlow::OnEngineRestarted() { m_core->prefixes->Reset(); }

std::size_t ExecutionFlow::Running() const { return m_core->RunningCount(); }

std::string ExecutionFlow::DumpState() const {
  const placement::GateLoad load = m_core->parts.gate.Load();
  const nlohmann::json state = {
      {"endpoint", m_core->settings.endpoint.endpoint.value()},
      {"incarnation", m_core->settings.incarnation},
      {"stopping", m_stopping.load()},
      {"running", Running()},
      {"gate",
       {{"work_tokens", load.work_tokens},
        {"capacity", load.capacity},
        {"requests", load.requests},
        {"closed", load.closed}}},
      {"answers", {{"count", m_core->answers.Count()}, {"bytes", m_core->answers.TotalBytes()}}},
      {"results", m_core->results.Count()},
      {"recent_attempts", m_core->attempts.Size()},
      {"home_pointers", m_core->parts.homes.Size()}};
  return state.dump();
}

}  // namespace wagtailwind::agent
