#include <algorithm>
#include <cmath>

#include "core/hash.h"
#include "placement/chat_key.h"
#include "placement_model/simulation.h"

namespace wagtailwind::placement_model {

namespace {

using placement::AdmissionDecision;
using requests::FailureReason;

// Round trip between zones, in seconds.
constexpr double kZoneRoundTrip = 0.002;

// Time after which a connection to a failed engine fails, in seconds.
constexpr double kFailedAttemptDelay = 0.02;

// Cost of an output token relative to an uncached prompt token.
constexpr double kOutputWeight = 4;

ChatId MakeChatId(int number) { return ChatId("c" + std::to_string(number)); }
OrganisationName MakeOrganisationName(int number) {
  return OrganisationName("org" + std::to_string(number));
}

AdmissionDecision MakeRefusal(FailureReason reason) {
  AdmissionDecision decision;
  decision.reason = reason;
  return decision;
}

}  // namespace

void Simulation::Place(int number) {
  Request& request = m_requests[static_cast<std::size_t>(number)];
  if (m_policy.kind == PolicyKind::kWagtailwind) {
    RunAttemptPlan(number);
    return;
  }
  constexpr std::size_t kMaxAttempts = 8;
  while (request.tried.size() < kMaxAttempts) {
    const std::optional<int> engine = ChooseBaseline(request, number);
    if (!engine) {
      break;
    }
    request.delay += kZoneRoundTrip;
    request.tried.push_back(*engine);
    m_result.attempts += IsMeasured() ? 1 : 0;
    const Engine& chosen = m_nodes[static_cast<std::size_t>(*engine)].engine;
    if (chosen.up && !chosen.leaving) {
      StartJob(number, *engine, 0);
      return;
    }
    request.delay += kFailedAttemptDelay;
  }
  Refuse(number, FailureReason::kNoEndpoint);
}

std::optional<int> Simulation::ChooseBaseline(const Request& request, int number) {
  std::vector<int> eligible;
  for (const gossip::Member& member : m_members) {
    const int engine = m_engine_numbers.at(member.endpoint->endpoint.value());
    if (member.state == gossip::MemberState::kAlive &&
        std::find(request.tried.begin(), request.tried.end(), engine) == request.tried.end()) {
      eligible.push_back(engine);
    }
  }
  if (eligible.empty()) {
    return std::nullopt;
  }
  const auto reported_load = [this](int engine) {
    return m_loads.entries[static_cast<std::size_t>(engine)].work_tokens;
  };
  switch (m_policy.kind) {
    case PolicyKind::kTwoChoices: {
      const int first = eligible[m_random.NextBelow(eligible.size())];
      const int second = eligible[m_random.NextBelow(eligible.size())];
      return reported_load(first) <= reported_load(second) ? first : second;
    }
    case PolicyKind::kRendezvous: {
      const std::uint64_t key = placement::ChatHash(
          MakeOrganisationName(m_chats[static_cast<std::size_t>(request.chat)].organisation),
          MakeChatId(request.chat));
      return *std::max_element(eligible.begin(), eligible.end(), [&](int a, int b) {
        return RendezvousScore(
                   key, m_nodes[static_cast<std::size_t>(a)].advertisement.endpoint.value()) <
               RendezvousScore(key,
                               m_nodes[static_cast<std::size_t>(b)].advertisement.endpoint.value());
      });
    }
    case PolicyKind::kBoundedHashing:
      return ChooseByBoundedHashing(request, number);
    default:
      return eligible[m_random.NextBelow(eligible.size())];
  }
}

// Consistent hashing with bounded loads: returns the first engine along the ring whose reported
// load plus the cost of the request is within the multiple of the mean load.
int Simulation::ChooseByBoundedHashing(const Request& request, int /*number*/) {
  double sum = 0;
  double live = 0;
  for (const gossip::Member& member : m_members) {
    sum += static_cast<double>(m_loads
                                   .entries[static_cast<std::size_t>(
                                       m_engine_numbers.at(member.endpoint->endpoint.value()))]
                                   .work_tokens);
    live += 1;
  }
  const double cost = request.new_tokens + kOutputWeight * request.max_output;
  const double bound = m_policy.load_multiple * (sum + cost) / live;
  const std::uint64_t key = StableHash(MakeChatId(request.chat).value());
  auto point = std::lower_bound(m_ring.begin(), m_ring.end(), std::make_pair(key, 0));
  int fallback = -1;
  for (std::size_t i = 0; i < m_ring.size(); ++i, ++point) {
    if (point == m_ring.end()) {
      point = m_ring.begin();
    }
    const int engine = point->second;
    if (std::find(request.tried.begin(), request.tried.end(), engine) != request.tried.end()) {
      continue;
    }
    fallback = fallback < 0 ? engine : fallback;
    const auto load =
        static_cast<double>(m_loads.entries[static_cast<std::size_t>(engine)].work_tokens);
    if (load + cost <= bound || load <= 0) {
      return engine;
    }
  }
  return std::max(fallback, 0);
}

placement::PlacementRequest Simulation::ToPlacementRequest(const Request& request,
                                                           bool with_hint) const {
  const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  placement::PlacementRequest placement_request;
  placement_request.organisation = MakeOrganisationName(chat.organisation);
  placement_request.chat = MakeChatId(request.chat);
  placement_request.pool = ServiceName("pool");
  placement_request.model = ModelName("model");
  if (with_hint && chat.engine >= 0) {
    placement_request.hint = m_nodes[static_cast<std::size_t>(chat.engine)].advertisement.endpoint;
    placement_request.hint_incarnation = chat.incarnation;
  }
  return placement_request;
}

void Simulation::PlanCandidates(Request& request) {
  constexpr std::uint64_t kHintSalt = 100;
  const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  const bool with_hint = m_policy.use_hint && Draw(static_cast<std::uint64_t>(request.chat) * 64 +
                                                       static_cast<std::uint64_t>(chat.turn),
                                                   kHintSalt) < m_scenario.hint_share;
  std::vector<EndpointName> names;
  for (const gossip::Member* member : m_selectors[static_cast<std::size_t>(request.zone)]->Select(
           ToPlacementRequest(request, with_hint), m_members, m_clock.Now(),
           m_policy.limits.max_candidates)) {
    names.push_back(member->endpoint->endpoint);
  }
  request.plan.emplace(std::move(names), m_policy.limits);
}

void Simulation::RunAttemptPlan(int number) {
  Request& request = m_requests[static_cast<std::size_t>(number)];
  if (!request.plan) {
    PlanCandidates(request);
  }
  while (const auto attempt = request.plan->Next()) {
    const int engine = m_engine_numbers.at(attempt->endpoint.value());
    request.delay += kZoneRoundTrip;
    m_result.attempts += IsMeasured() ? 1 : 0;
    bool waits = false;
    const AdmissionDecision decision =
        RequestAdmission(request, number, engine, attempt->last_resort, !request.waited, waits);
    if (waits) {
      return;
    }
    if (decision.admitted) {
      m_result.last_resorts += IsMeasured() && attempt->last_resort ? 1 : 0;
      StartJob(number, engine, decision.reservation);
      return;
    }
    request.plan->OnRefusal(decision);
  }
  Refuse(number, request.plan->FinalReason());
}

AdmissionDecision Simulation::RequestAdmission(Request& request, int number, int engine,
                                               bool last_resort, bool may_wait, bool& waits) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  if (!node.engine.up) {
    request.delay += kFailedAttemptDelay;
    return MakeRefusal(FailureReason::kEndpointUnhealthy);
  }
  const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  const double own_prefix = node.engine.cache.Find(request.chat);
  if (m_policy.use_home_pointer && own_prefix == 0 && !last_resort) {
    const auto pointer =
        node.pointers->Find(MakeOrganisationName(chat.organisation), MakeChatId(request.chat));
    if (pointer && *pointer != node.advertisement.endpoint) {
      AdmissionDecision redirect = MakeRefusal(FailureReason::kRedirected);
      redirect.redirects = {*pointer};
      return redirect;
    }
  }
  ReportProgressToGate(engine);
  placement::AdmissionRequest admission =
      ToAdmissionRequest(request, ReusablePrefix(request, engine));
  admission.last_resort = last_resort;
  AdmissionDecision decision = node.gate->Admit(admission);
  if (decision.admitted || own_prefix == 0) {
    return decision;
  }
  const auto remaining = std::chrono::milliseconds(static_cast<std::int64_t>(
      1'000 * std::max(0.0, PriorityClasses()[static_cast<std::size_t>(chat.rank)].deadline -
                                (m_clock.seconds + request.delay - request.arrival))));
  const placement::PrefixReuseDecision reuse = placement::DecidePrefixReuse(
      static_cast<std::uint32_t>(own_prefix), remaining,
      {.prefill_tokens_per_second = m_scenario.prefill_speed,
       .transfer_tokens_per_second = m_policy.use_prefix_transfer ? m_scenario.import_speed : 0});
  if (decision.reason == FailureReason::kOverBound && m_policy.use_prefix_wait && may_wait &&
      reuse.wait.count() > 0) {
    BeginWait(request, number, engine, reuse.wait);
    waits = true;
  } else if (reuse.export_prefix) {
    request.prefix_source = engine;
  }
  return decision;
}

placement::AdmissionRequest Simulation::ToAdmissionRequest(const Request& request,
                                                           double cached) const {
  const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  placement::AdmissionRequest admission;
  admission.organisation = MakeOrganisationName(chat.organisation);
  admission.priority_class =
      PriorityClassName(std::string(PriorityClasses()[static_cast<std::size_t>(chat.rank)].name));
  admission.chat = MakeChatId(request.chat);
  admission.prompt_tokens = static_cast<std::uint32_t>(request.prefix + request.new_tokens);
  admission.cached_tokens = static_cast<std::uint32_t>(cached);
  admission.max_output_tokens = static_cast<std::uint32_t>(request.max_output);
  return admission;
}

bool Simulation::CanImport(const Request& request, int engine) const {
  if (request.prefix_source < 0 || request.prefix_source == engine) {
    return false;
  }
  const Engine& source = m_nodes[static_cast<std::size_t>(request.prefix_source)].engine;
  return source.up && source.cache.Find(request.chat) > 0;
}

double Simulation::ReusablePrefix(const Request& request, int engine) const {
  const double own = m_nodes[static_cast<std::size_t>(engine)].engine.cache.Find(request.chat);
  return std::min(request.prefix, CanImport(request, engine) ? request.prefix : own);
}

void Simulation::BeginWait(Request& request, int number, int engine,
                           std::chrono::milliseconds wait) {
  request.waiting_at = engine;
  request.waited = true;
  m_nodes[static_cast<std::size_t>(engine)].waiting.push_back(number);
  m_result.waits += IsMeasured() ? 1 : 0;
  Schedule(m_clock.seconds + std::chrono::duration<double>(wait).count(), EventType::kWaitTimeout,
           number, static_cast<std::uint64_t>(request.chat));
}

void Simulation::RetryWaiting(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  std::vector<int> waiting;
  waiting.swap(node.waiting);
  for (const int number : waiting) {
    Request& request = m_requests[static_cast<std::size_t>(number)];
    bool waits = false;
    const AdmissionDecision decision =
        RequestAdmission(request, number, engine, false, false, waits);
    if (decision.admitted) {
      request.waiting_at = -1;
      StartJob(number, engine, decision.reservation);
    } else if (node.engine.up && !node.engine.leaving) {
      node.waiting.push_back(number);
    } else {
      request.waiting_at = -1;
      request.plan->OnRefusal(decision);
      RunAttemptPlan(number);
    }
  }
}

void Simulation::StartJob(int number, int engine, std::uint64_t reservation) {
  Request& request = m_requests[static_cast<std::size_t>(number)];
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  const double own = std::min(request.prefix, node.engine.cache.Find(request.chat));
  const bool imported = own == 0 && CanImport(request, engine);
  const double cached = imported ? request.prefix : own;
  Job job;
  job.request = number;
  job.rank = chat.rank;
  job.prompt = request.prefix + request.new_tokens - cached;
  job.output = request.output;
  job.max_output = request.max_output;
  job.reservation = reservation;
  if (imported) {
    // An import takes as long as the prefill of this many tokens.
    job.prompt += cached * m_scenario.prefill_speed / m_scenario.import_speed;
  }
  RecordJobStart(request, engine, cached, imported);
  UpdateHomePointer(request.chat, engine);
  node.engine.Add(job, m_clock.seconds);
  ++node.jobs;
  node.full_costs.insert(request.FullCost());
  ScheduleEngineStep(engine);
}

void Simulation::RecordJobStart(Request& request, int engine, double cached, bool imported) {
  Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  if (IsMeasured() && chat.turn > 0 && !request.in_cache_statistics) {
    request.in_cache_statistics = true;
    m_result.cached_tokens += cached;
    const bool hit = cached > 0.5 * request.prefix;
    m_result.hits += hit ? 1 : 0;
    m_result.imports += hit && imported ? 1 : 0;
    if (chat.engine >= 0 && chat.engine != engine) {
      const Engine& previous = m_nodes[static_cast<std::size_t>(chat.engine)].engine;
      m_result.abandoned_prefixes += previous.up && previous.cache.Find(request.chat) > 0 ? 1 : 0;
    }
  }
  if (!IsMeasured()) {
    return;
  }
  ++m_result.admissions;
  double highest_mean = 0;
  for (const auto& [time, value] : m_recent_means) {
    highest_mean = std::max(highest_mean, value);
  }
  const Node& node = m_nodes[static_cast<std::size_t>(engine)];
  const double cost =
      request.prefix + request.new_tokens - cached + kOutputWeight * request.max_output;
  const double load_after = node.engine.Load(m_clock.seconds) + cost;
  const double cost_share = cost / static_cast<double>(m_scenario.engines);
  m_result.admissions_above_bound +=
      node.jobs > 0 && load_after > std::max(m_policy.load_multiple * (highest_mean + cost_share),
                                             request.FullCost())
          ? 1
          : 0;
}

void Simulation::UpdateHomePointer(int chat_number, int engine) {
  Chat& chat = m_chats[static_cast<std::size_t>(chat_number)];
  const bool same_engine =
      chat.engine == engine &&
      chat.incarnation == m_nodes[static_cast<std::size_t>(engine)].engine.incarnation;
  chat.engine = engine;
  chat.incarnation = m_nodes[static_cast<std::size_t>(engine)].engine.incarnation;
  if (m_policy.kind != PolicyKind::kWagtailwind || !m_policy.use_home_pointer) {
    return;
  }
  Request request;
  request.chat = chat_number;
  const auto homes =
      m_selectors.front()->Select(ToPlacementRequest(request, false), m_members, m_clock.Now(), 1);
  const int home =
      homes.empty() ? -1 : m_engine_numbers.at(homes.front()->endpoint->endpoint.value());
  if (home < 0 || (same_engine && home == chat.pointer_home)) {
    return;
  }
  Node& home_node = m_nodes[static_cast<std::size_t>(home)];
  if (home == engine) {
    home_node.pointers->Clear(MakeOrganisationName(chat.organisation), MakeChatId(chat_number));
  } else if (home_node.engine.up) {
    home_node.pointers->Set(MakeOrganisationName(chat.organisation), MakeChatId(chat_number),
                            m_nodes[static_cast<std::size_t>(engine)].advertisement.endpoint);
    m_result.pointer_messages += IsMeasured() ? 1 : 0;
  }
  chat.pointer_home = home;
}

void Simulation::Refuse(int number, FailureReason reason) {
  if (IsMeasured()) {
    ++m_result.refused;
    m_result.refused_over_share += reason == FailureReason::kOrganisationOverShare ? 1 : 0;
  }
  EndRequest(number, false);
}

void Simulation::ReportProgressToGate(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  node.engine.ReportProgress(m_clock.seconds, [&](std::uint64_t reservation, std::uint32_t tokens) {
    node.gate->RecordOutput(reservation, tokens);
  });
}

}  // namespace wagtailwind::placement_model
