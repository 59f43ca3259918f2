#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"
#include "placement_model/simulation.h"

namespace wagtailwind::placement_model {

namespace {

constexpr double kTick = 0.5;
constexpr double kMaxStaleness = 10;
// A leaving engine and a new one are known everywhere after this time.
constexpr double kAnnouncement = 1.5;
constexpr int kFlaps = 4;
constexpr double kFlapTime = 45;

}  // namespace

Simulation::Simulation(const Scenario& scenario, const Policy& policy, std::uint64_t seed)
    : m_scenario(scenario),
      m_policy(policy),
      m_seed(seed),
      m_random(seed),
      m_event_random(seed + 1'000'000),
      m_best_cache(scenario.cache_tokens * scenario.engines) {
  BuildFleet();
}

Simulation::~Simulation() = default;

void Simulation::BuildFleet() {
  records::Configuration records;
  double sum = 0;
  for (int i = 0; i < m_scenario.organisations; ++i) {
    m_organisation_parts.push_back(std::pow(i + 1, -m_scenario.organisation_skew));
    sum += m_organisation_parts.back();
  }
  for (int i = 0; i < m_scenario.organisations; ++i) {
    m_organisation_parts[static_cast<std::size_t>(i)] /= sum;
    records.organisations.push_back(
        {OrganisationName("org" + std::to_string(i)),
         m_organisation_parts[static_cast<std::size_t>(i)] * m_scenario.organisations,
         {},
         {}});
  }
  std::uint32_t rank = 0;
  for (const ClassMix& mix : Classes()) {
    records.priority_classes.push_back({PriorityClassName(std::string(mix.name)), rank++, mix.share,
                                        std::chrono::milliseconds{30'000}});
  }
  m_records = std::make_unique<ModelRecords>(std::move(records));
  for (int zone = 0; zone < m_scenario.zones; ++zone) {
    m_selectors.push_back(placement::MakeCandidateSelector(
        {AvailabilityZoneName("z" + std::to_string(zone)), RegionName("region")}, m_random));
  }
  for (int i = 0; i < m_scenario.engines; ++i) {
    m_sites.emplace_back(m_scenario);
    Site& site = m_sites.back();
    site.advertisement.endpoint = EndpointName("e" + std::to_string(i));
    site.advertisement.pool = ServiceName("pool");
    site.advertisement.capacity = m_scenario.capacity;
    site.advertisement.models = {ModelName("model")};
    m_engine_numbers[site.advertisement.endpoint.value()] = i;
    m_loads.entries.push_back({site.advertisement.endpoint, 0, m_scenario.capacity, ToSteady(0)});
  }
  for (int i = 0; i < m_scenario.engines; ++i) {
    ResetAgent(i);
    UpdateMember(i);
    m_members.back().first_seen = ToSteady(-1'000);
  }
}

void Simulation::ResetAgent(int engine) {
  constexpr std::size_t kPointers = 20'000;
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  placement::AdmissionSettings settings;
  settings.load_multiple = m_policy.load_multiple;
  site.gate = placement::MakeAdmissionGate(site.advertisement, AvailabilityZoneName("z"), settings,
                                           m_loads, *m_records, m_clock);
  site.pointers = placement::MakeHomePointers(kPointers, m_clock);
}

void Simulation::UpdateMember(int engine) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto& member) {
    return member.endpoint->endpoint == site.advertisement.endpoint;
  });
  if (!site.engine.up) {
    if (found != m_members.end()) {
      m_members.erase(found);
    }
  } else if (found == m_members.end() || found->incarnation != site.engine.incarnation) {
    if (found != m_members.end()) {
      m_members.erase(found);
    }
    gossip::Member member;
    member.role = gossip::Role::kAgent;
    member.zone = AvailabilityZoneName("z" + std::to_string(engine % m_scenario.zones));
    member.region = RegionName("region");
    member.incarnation = site.engine.incarnation;
    member.endpoint = site.advertisement;
    member.first_seen = m_clock.Now();
    m_members.push_back(std::move(member));
  } else {
    found->state =
        site.engine.leaving ? gossip::MemberState::kLeaving : gossip::MemberState::kAlive;
  }
  RebuildRing();
}

void Simulation::RebuildRing() {
  constexpr int kPoints = 64;
  m_ring.clear();
  if (m_policy.kind != PolicyKind::kBoundedHashing) {
    return;
  }
  for (const gossip::Member& member : m_members) {
    const std::string& name = member.endpoint->endpoint.value();
    for (int point = 0; point < kPoints && member.state == gossip::MemberState::kAlive; ++point) {
      m_ring.emplace_back(StableHash(name, static_cast<std::uint64_t>(point)),
                          m_engine_numbers.at(name));
    }
  }
  std::sort(m_ring.begin(), m_ring.end());
}

void Simulation::ScheduleStep(int engine) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  ++site.step_version;
  if (const auto next = site.engine.NextStep()) {
    Push(std::max(*next, m_clock.seconds), EventType::kEngineStep, engine, site.step_version);
  }
}

void Simulation::StepEngine(int engine) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  const Engine::Step step = site.engine.Advance(m_clock.seconds);
  if (step.first_token) {
    Request& request = m_requests[static_cast<std::size_t>(step.first_token->request)];
    const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
    const double time = m_clock.seconds + request.delay - request.arrival;
    request.had_first_token = true;
    if (request.arrival >= m_scenario.warm_up) {
      const auto rank = static_cast<std::size_t>(chat.rank);
      const bool in_time = time <= Classes()[rank].deadline;
      m_result.first_token_times.push_back(static_cast<float>(time));
      m_result.class_in_time[rank] += in_time ? 1 : 0;
      const bool surge = request.arrival >= m_scenario.surge_at &&
                         request.arrival < m_scenario.surge_at + m_scenario.surge_time;
      m_result.surge_others_in_time += surge && in_time && chat.organisation != 0 ? 1 : 0;
    }
    if (m_policy.kind == PolicyKind::kWagtailwind) {
      site.gate->RecordOutput(step.first_token->reservation, 0);
    }
  }
  if (step.complete) {
    FinishJob(*step.complete, engine);
  }
  RetryWaiting(engine);
  ScheduleStep(engine);
}

void Simulation::FinishJob(const Job& job, int engine) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  const Request& request = m_requests[static_cast<std::size_t>(job.request)];
  site.engine.cache.Store(request.chat, request.prefix + request.new_tokens + request.output);
  site.gate->Release(job.reservation);
  --site.jobs;
  site.full_costs.erase(site.full_costs.find(request.FullCost()));
  EndRequest(job.request, true);
  if (site.engine.leaving && site.jobs == 0) {
    StopEngine(engine, m_scenario.restart_time);
  }
}

void Simulation::StopEngine(int engine, double restart_after) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  if (!site.engine.up) {
    return;
  }
  site.engine.up = false;
  site.engine.leaving = false;
  site.jobs = 0;
  site.full_costs.clear();
  ++site.step_version;
  const std::vector<Job> lost = site.engine.Stop();
  Push(m_clock.seconds + m_scenario.detection_delay, EventType::kViewUpdate, engine);
  Push(m_clock.seconds + restart_after, EventType::kEngineUp, engine);
  std::vector<int> again;
  for (const Job& job : lost) {
    // Without a byte at the caller the request starts anew; otherwise it ends with an error.
    if (m_requests[static_cast<std::size_t>(job.request)].had_first_token) {
      EndRequest(job.request, false);
    } else {
      again.push_back(job.request);
    }
  }
  again.insert(again.end(), site.waiting.begin(), site.waiting.end());
  site.waiting.clear();
  for (const int number : again) {
    Request& request = m_requests[static_cast<std::size_t>(number)];
    request.plan.reset();
    request.tried.clear();
    request.waiting_at = -1;
    Place(number);
  }
}

void Simulation::DrainEngine(int engine) {
  constexpr double kDrainTimeout = 120;
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  if (!site.engine.up || site.engine.leaving) {
    return;
  }
  site.engine.leaving = true;
  site.gate->Close();
  Push(m_clock.seconds + kAnnouncement, EventType::kViewUpdate, engine);
  // An idle engine waits for the announcement too, so that prefixes can still be moved.
  Push(m_clock.seconds + kDrainTimeout, EventType::kEngineDown, engine, site.engine.incarnation);
  RetryWaiting(engine);
}

void Simulation::StartEngine(int engine) {
  Site& site = m_sites[static_cast<std::size_t>(engine)];
  if (site.engine.up) {
    return;
  }
  site.engine.up = true;
  site.engine.leaving = false;
  ++site.engine.incarnation;
  ResetAgent(engine);
  Push(m_clock.seconds + kAnnouncement, EventType::kViewUpdate, engine);
}

void Simulation::RandomEngineEvent() {
  const auto engine =
      static_cast<int>(m_event_random.NextBelow(static_cast<std::uint64_t>(m_scenario.engines)));
  m_result.engine_events += Measured() ? 1 : 0;
  if (m_event_random.NextFraction() < m_scenario.failure_share) {
    StopEngine(engine, m_scenario.restart_time);
  } else {
    DrainEngine(engine);
  }
  Push(m_clock.seconds - m_scenario.event_interval * std::log1p(-m_event_random.NextFraction()),
       EventType::kEngineEvent);
}

void Simulation::LoseZone() {
  for (int engine = 0; engine < m_scenario.engines; engine += m_scenario.zones) {
    ++m_result.engine_events;
    StopEngine(engine, m_scenario.zone_loss_time);
  }
}

void Simulation::Tick() {
  PublishLoads();
  for (int engine = 0; engine < m_scenario.engines; ++engine) {
    if (!m_sites[static_cast<std::size_t>(engine)].waiting.empty()) {
      RetryWaiting(engine);
    }
  }
  Sample();
  Push(m_clock.seconds + kTick, EventType::kTick);
}

void Simulation::PublishLoads() {
  const double now = m_clock.seconds;
  for (std::size_t i = 0; i < m_sites.size(); ++i) {
    Site& site = m_sites[i];
    if (!site.engine.up) {
      site.load_history.clear();
      continue;
    }
    site.load_history.emplace_back(now, site.engine.Load(now));
    const double delay =
        m_scenario.report_delay_min +
        m_random.NextFraction() * (m_scenario.report_delay_max - m_scenario.report_delay_min);
    while (site.load_history.size() > 1 && site.load_history[1].first <= now - delay) {
      site.load_history.pop_front();
    }
    if (site.load_history.front().first <= now - delay) {
      m_loads.entries[i].work_tokens = static_cast<std::uint64_t>(site.load_history.front().second);
      m_loads.entries[i].measured_at = ToSteady(site.load_history.front().first);
    }
  }
}

void Simulation::Sample() {
  const double now = m_clock.seconds;
  double sum = 0;
  double largest = 0;
  double largest_unexcused = 0;
  int live = 0;
  for (const Site& site : m_sites) {
    if (!site.engine.up || site.engine.leaving) {
      continue;
    }
    const double load = site.engine.Load(now);
    sum += load;
    ++live;
    largest = std::max(largest, load);
    // One request is allowed whatever the mean.
    if (site.jobs > 1 && load > *site.full_costs.rbegin()) {
      largest_unexcused = std::max(largest_unexcused, load);
    }
  }
  const double mean = live == 0 ? 0 : sum / live;
  m_means.emplace_back(now, mean);
  while (m_means.front().first < now - kMaxStaleness) {
    m_means.pop_front();
  }
  if (!Measured() || mean <= 0) {
    return;
  }
  double highest_mean = 0;
  for (const auto& [time, value] : m_means) {
    highest_mean = std::max(highest_mean, value);
  }
  ++m_result.samples;
  m_result.mean_load += mean;
  m_result.ratio_sum += largest / mean;
  m_result.ratios.push_back(static_cast<float>(largest / mean));
  m_result.samples_above += largest_unexcused > m_policy.load_multiple * highest_mean ? 1 : 0;
}

void Simulation::Push(double time, EventType type, int subject, std::uint64_t version) {
  m_events.push({time, m_event_number++, type, subject, version});
}

void Simulation::Handle(const Event& event) {
  const auto subject = static_cast<std::size_t>(event.subject);
  switch (event.type) {
    case EventType::kNewChat:
      StartChat();
      ScheduleNewChat();
      break;
    case EventType::kReturn:
      StartTurn(event.subject);
      break;
    case EventType::kEngineStep:
      if (event.version == m_sites[subject].step_version) {
        StepEngine(event.subject);
      }
      break;
    case EventType::kTick:
      Tick();
      break;
    case EventType::kWaitTimeout: {
      Request& request = m_requests[subject];
      if (request.waiting_at >= 0 && static_cast<std::uint64_t>(request.chat) == event.version) {
        std::erase(m_sites[static_cast<std::size_t>(request.waiting_at)].waiting, event.subject);
        const int engine = std::exchange(request.waiting_at, -1);
        bool waits = false;
        const auto decision = Ask(request, event.subject, engine, false, false, waits);
        if (decision.admitted) {
          StartJob(event.subject, engine, decision.reservation);
        } else {
          request.plan->OnRefusal(decision);
          PlaceByPolicy(event.subject);
        }
      }
      break;
    }
    case EventType::kEngineEvent:
      RandomEngineEvent();
      break;
    case EventType::kZoneLoss:
      LoseZone();
      break;
    case EventType::kFlap:
      ++m_result.engine_events;
      StopEngine(1, kFlapTime / 3);
      if (++m_flaps < kFlaps) {
        Push(m_clock.seconds + kFlapTime, EventType::kFlap);
      }
      break;
    case EventType::kEngineDown:
      if (m_sites[subject].engine.leaving && m_sites[subject].engine.incarnation == event.version) {
        StopEngine(event.subject, m_scenario.restart_time);
      }
      break;
    case EventType::kEngineUp:
      StartEngine(event.subject);
      break;
    case EventType::kViewUpdate:
      UpdateMember(event.subject);
      break;
  }
}

Result Simulation::Run() {
  Push(0, EventType::kTick);
  ScheduleNewChat();
  Push(m_scenario.warm_up / 2, EventType::kEngineEvent);
  Push(m_scenario.zone_loss_at, EventType::kZoneLoss);
  Push(m_scenario.flapping_from, EventType::kFlap);
  while (!m_events.empty() && m_events.top().time <= m_scenario.duration) {
    const Event event = m_events.top();
    m_events.pop();
    m_clock.seconds = event.time;
    Handle(event);
  }
  m_result.control_bytes = ControlBytes();
  return std::move(m_result);
}

// Computed from the design's gossip, since the model sends no datagrams: two datagrams a second in
// each direction, of at most 700 bytes with load entries, and one message for each home pointer.
double Simulation::ControlBytes() const {
  constexpr double kDatagrams = 4;
  constexpr double kHeader = 28 + 64;
  constexpr double kLoadEntry = 20;
  constexpr double kLargest = 700;
  constexpr double kPointerMessage = 2 * 160;
  const bool with_loads =
      m_policy.kind != PolicyKind::kRandom && m_policy.kind != PolicyKind::kRendezvous;
  const double datagram =
      with_loads ? std::min(kLargest, kHeader + kLoadEntry * m_scenario.engines) : kHeader;
  const double measured = m_scenario.duration - m_scenario.warm_up;
  return kDatagrams * datagram + kPointerMessage * static_cast<double>(m_result.pointer_messages) /
                                     measured / m_scenario.daemons;
}

}  // namespace wagtailwind::placement_model
