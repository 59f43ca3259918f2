#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"
#include "placement_model/simulation.h"

namespace wagtailwind::placement_model {

namespace {

constexpr double kTickInterval = 0.5;
// Maximum age of a load report, as in AdmissionSettings. A bound may come from any mean load within
// this period.
constexpr double kMaxLoadAge = 10;
// Time until all daemons know that an engine leaves or has started.
constexpr double kAnnouncementDelay = 1.5;
constexpr int kFlapCount = 4;
constexpr double kFlapInterval = 45;

}  // namespace

Simulation::Simulation(const Scenario& scenario, const Policy& policy, std::uint64_t seed)
    : m_scenario(scenario),
      m_policy(policy),
      m_seed(seed),
      m_random(seed),
      m_event_random(seed + 1'000'000),
      m_ideal_cache(scenario.cache_tokens * scenario.engines) {
  BuildFleet();
}

Simulation::~Simulation() = default;

void Simulation::BuildFleet() {
  records::Configuration records;
  double sum = 0;
  for (int i = 0; i < m_scenario.organisations; ++i) {
    m_organisation_fractions.push_back(std::pow(i + 1, -m_scenario.organisation_skew));
    sum += m_organisation_fractions.back();
  }
  for (int i = 0; i < m_scenario.organisations; ++i) {
    m_organisation_fractions[static_cast<std::size_t>(i)] /= sum;
    records.organisations.push_back(
        {OrganisationName("org" + std::to_string(i)),
         m_organisation_fractions[static_cast<std::size_t>(i)] * m_scenario.organisations,
         {},
         {}});
  }
  std::uint32_t rank = 0;
  for (const PriorityClass& priority_class : PriorityClasses()) {
    records.priority_classes.push_back({PriorityClassName(std::string(priority_class.name)), rank++,
                                        priority_class.bound_fraction,
                                        std::chrono::milliseconds{30'000}});
  }
  m_records = std::make_unique<ModelRecords>(std::move(records));
  for (int zone = 0; zone < m_scenario.zones; ++zone) {
    m_selectors.push_back(placement::MakeCandidateSelector(
        {AvailabilityZoneName("z" + std::to_string(zone)), RegionName("region")}, m_random));
  }
  for (int i = 0; i < m_scenario.engines; ++i) {
    m_nodes.emplace_back(m_scenario);
    Node& node = m_nodes.back();
    node.advertisement.endpoint = EndpointName("e" + std::to_string(i));
    node.advertisement.pool = ServiceName("pool");
    node.advertisement.capacity = m_scenario.capacity;
    node.advertisement.models = {ModelName("model")};
    m_engine_numbers[node.advertisement.endpoint.value()] = i;
    m_loads.entries.push_back(
        {node.advertisement.endpoint, 0, m_scenario.capacity, ToSteadyTime(0)});
  }
  for (int i = 0; i < m_scenario.engines; ++i) {
    ResetAgent(i);
    UpdateMember(i);
    m_members.back().first_seen = ToSteadyTime(-1'000);
  }
}

void Simulation::ResetAgent(int engine) {
  constexpr std::size_t kMaxPointers = 20'000;
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  placement::AdmissionSettings settings;
  settings.load_multiple = m_policy.load_multiple;
  node.gate = placement::MakeAdmissionGate(node.advertisement, AvailabilityZoneName("z"), settings,
                                           m_loads, *m_records, m_clock);
  node.pointers = placement::MakeHomePointers(kMaxPointers, m_clock);
}

void Simulation::UpdateMember(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto& member) {
    return member.endpoint->endpoint == node.advertisement.endpoint;
  });
  if (!node.engine.up) {
    if (found != m_members.end()) {
      m_members.erase(found);
    }
  } else if (found == m_members.end() || found->incarnation != node.engine.incarnation) {
    if (found != m_members.end()) {
      m_members.erase(found);
    }
    gossip::Member member;
    member.role = gossip::Role::kAgent;
    member.zone = AvailabilityZoneName("z" + std::to_string(engine % m_scenario.zones));
    member.region = RegionName("region");
    member.incarnation = node.engine.incarnation;
    member.endpoint = node.advertisement;
    member.first_seen = m_clock.Now();
    m_members.push_back(std::move(member));
  } else {
    found->state =
        node.engine.leaving ? gossip::MemberState::kLeaving : gossip::MemberState::kAlive;
  }
  RebuildRing();
}

void Simulation::RebuildRing() {
  constexpr int kPointsPerEngine = 64;
  m_ring.clear();
  if (m_policy.kind != PolicyKind::kBoundedHashing) {
    return;
  }
  for (const gossip::Member& member : m_members) {
    const std::string& name = member.endpoint->endpoint.value();
    for (int point = 0; point < kPointsPerEngine && member.state == gossip::MemberState::kAlive;
         ++point) {
      m_ring.emplace_back(StableHash(name, static_cast<std::uint64_t>(point)),
                          m_engine_numbers.at(name));
    }
  }
  std::sort(m_ring.begin(), m_ring.end());
}

void Simulation::ScheduleEngineStep(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  ++node.step_version;
  if (const auto next = node.engine.NextStep()) {
    Schedule(std::max(*next, m_clock.seconds), EventType::kEngineStep, engine, node.step_version);
  }
}

void Simulation::AdvanceEngine(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  const Engine::Step step = node.engine.Advance(m_clock.seconds);
  if (step.first_token) {
    Request& request = m_requests[static_cast<std::size_t>(step.first_token->request)];
    const Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
    const double time = m_clock.seconds + request.delay - request.arrival;
    request.had_first_token = true;
    if (request.arrival >= m_scenario.warm_up) {
      const auto rank = static_cast<std::size_t>(chat.rank);
      const bool within_deadline = time <= PriorityClasses()[rank].deadline;
      m_result.first_token_times.push_back(static_cast<float>(time));
      m_result.class_within_deadline[rank] += within_deadline ? 1 : 0;
      const bool arrived_in_surge =
          request.arrival >= m_scenario.surge_at &&
          request.arrival < m_scenario.surge_at + m_scenario.surge_duration;
      m_result.surge_other_within_deadline +=
          arrived_in_surge && within_deadline && chat.organisation != 0 ? 1 : 0;
    }
    if (m_policy.kind == PolicyKind::kWagtailwind) {
      node.gate->RecordOutput(step.first_token->reservation, 0);
    }
  }
  if (step.complete) {
    FinishJob(*step.complete, engine);
  }
  RetryWaiting(engine);
  ScheduleEngineStep(engine);
}

void Simulation::FinishJob(const Job& job, int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  const Request& request = m_requests[static_cast<std::size_t>(job.request)];
  node.engine.cache.Store(request.chat, request.prefix + request.new_tokens + request.output);
  node.gate->Release(job.reservation);
  --node.jobs;
  node.full_costs.erase(node.full_costs.find(request.FullCost()));
  EndRequest(job.request, true);
  if (node.engine.leaving && node.jobs == 0) {
    StopEngine(engine, m_scenario.restart_time);
  }
}

void Simulation::StopEngine(int engine, double restart_after) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  if (!node.engine.up) {
    return;
  }
  node.engine.up = false;
  node.engine.leaving = false;
  node.jobs = 0;
  node.full_costs.clear();
  ++node.step_version;
  const std::vector<Job> lost = node.engine.Stop();
  Schedule(m_clock.seconds + m_scenario.detection_delay, EventType::kViewUpdate, engine);
  Schedule(m_clock.seconds + restart_after, EventType::kEngineUp, engine);
  std::vector<int> restarted;
  for (const Job& job : lost) {
    // A request whose caller has received no token is placed again; any other fails.
    if (m_requests[static_cast<std::size_t>(job.request)].had_first_token) {
      EndRequest(job.request, false);
    } else {
      restarted.push_back(job.request);
    }
  }
  restarted.insert(restarted.end(), node.waiting.begin(), node.waiting.end());
  node.waiting.clear();
  for (const int number : restarted) {
    Request& request = m_requests[static_cast<std::size_t>(number)];
    request.plan.reset();
    request.tried.clear();
    request.waiting_at = -1;
    Place(number);
  }
}

void Simulation::DrainEngine(int engine) {
  constexpr double kDrainTimeout = 120;
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  if (!node.engine.up || node.engine.leaving) {
    return;
  }
  node.engine.leaving = true;
  node.gate->Close();
  Schedule(m_clock.seconds + kAnnouncementDelay, EventType::kViewUpdate, engine);
  // An engine without jobs stays up as well, so that all daemons learn that it leaves and its
  // prefixes can still be transferred.
  Schedule(m_clock.seconds + kDrainTimeout, EventType::kEngineDown, engine,
           node.engine.incarnation);
  RetryWaiting(engine);
}

void Simulation::StartEngine(int engine) {
  Node& node = m_nodes[static_cast<std::size_t>(engine)];
  if (node.engine.up) {
    return;
  }
  node.engine.up = true;
  node.engine.leaving = false;
  ++node.engine.incarnation;
  ResetAgent(engine);
  Schedule(m_clock.seconds + kAnnouncementDelay, EventType::kViewUpdate, engine);
}

void Simulation::FailOrDrainRandomEngine() {
  const auto engine =
      static_cast<int>(m_event_random.NextBelow(static_cast<std::uint64_t>(m_scenario.engines)));
  m_result.engine_events += IsMeasured() ? 1 : 0;
  if (m_event_random.NextFraction() < m_scenario.failure_share) {
    StopEngine(engine, m_scenario.restart_time);
  } else {
    DrainEngine(engine);
  }
  Schedule(m_clock.seconds - m_scenario.event_interval * std::log1p(-m_event_random.NextFraction()),
           EventType::kEngineEvent);
}

void Simulation::StopZone() {
  for (int engine = 0; engine < m_scenario.engines; engine += m_scenario.zones) {
    ++m_result.engine_events;
    StopEngine(engine, m_scenario.zone_loss_duration);
  }
}

void Simulation::Tick() {
  PublishLoads();
  for (int engine = 0; engine < m_scenario.engines; ++engine) {
    if (!m_nodes[static_cast<std::size_t>(engine)].waiting.empty()) {
      RetryWaiting(engine);
    }
  }
  SampleLoads();
  Schedule(m_clock.seconds + kTickInterval, EventType::kTick);
}

void Simulation::PublishLoads() {
  const double now = m_clock.seconds;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    if (!node.engine.up) {
      node.load_history.clear();
      continue;
    }
    node.load_history.emplace_back(now, node.engine.Load(now));
    const double delay =
        m_scenario.report_delay_min +
        m_random.NextFraction() * (m_scenario.report_delay_max - m_scenario.report_delay_min);
    while (node.load_history.size() > 1 && node.load_history[1].first <= now - delay) {
      node.load_history.pop_front();
    }
    if (node.load_history.front().first <= now - delay) {
      m_loads.entries[i].work_tokens = static_cast<std::uint64_t>(node.load_history.front().second);
      m_loads.entries[i].measured_at = ToSteadyTime(node.load_history.front().first);
    }
  }
}

void Simulation::SampleLoads() {
  const double now = m_clock.seconds;
  double sum = 0;
  double largest = 0;
  double largest_avoidable = 0;
  int live = 0;
  for (const Node& node : m_nodes) {
    if (!node.engine.up || node.engine.leaving) {
      continue;
    }
    const double load = node.engine.Load(now);
    sum += load;
    ++live;
    largest = std::max(largest, load);
    // A single request is admitted whatever the mean, so a load up to the cost of the largest job
    // does not count.
    if (node.jobs > 1 && load > *node.full_costs.rbegin()) {
      largest_avoidable = std::max(largest_avoidable, load);
    }
  }
  const double mean = live == 0 ? 0 : sum / live;
  m_recent_means.emplace_back(now, mean);
  while (m_recent_means.front().first < now - kMaxLoadAge) {
    m_recent_means.pop_front();
  }
  if (!IsMeasured() || mean <= 0) {
    return;
  }
  double highest_mean = 0;
  for (const auto& [time, value] : m_recent_means) {
    highest_mean = std::max(highest_mean, value);
  }
  ++m_result.samples;
  m_result.mean_load_sum += mean;
  m_result.load_ratio_sum += largest / mean;
  m_result.load_ratios.push_back(static_cast<float>(largest / mean));
  m_result.samples_above_bound += largest_avoidable > m_policy.load_multiple * highest_mean ? 1 : 0;
}

void Simulation::Schedule(double time, EventType type, int subject, std::uint64_t version) {
  m_events.push({time, m_next_event_sequence++, type, subject, version});
}

void Simulation::HandleEvent(const Event& event) {
  const auto subject = static_cast<std::size_t>(event.subject);
  switch (event.type) {
    case EventType::kNewChat:
      StartChat();
      ScheduleNewChat();
      break;
    case EventType::kNextTurn:
      StartTurn(event.subject);
      break;
    case EventType::kEngineStep:
      if (event.version == m_nodes[subject].step_version) {
        AdvanceEngine(event.subject);
      }
      break;
    case EventType::kTick:
      Tick();
      break;
    case EventType::kWaitTimeout: {
      Request& request = m_requests[subject];
      if (request.waiting_at >= 0 && static_cast<std::uint64_t>(request.chat) == event.version) {
        std::erase(m_nodes[static_cast<std::size_t>(request.waiting_at)].waiting, event.subject);
        const int engine = std::exchange(request.waiting_at, -1);
        bool waits = false;
        const auto decision = RequestAdmission(request, event.subject, engine, false, false, waits);
        if (decision.admitted) {
          StartJob(event.subject, engine, decision.reservation);
        } else {
          request.plan->OnRefusal(decision);
          RunAttemptPlan(event.subject);
        }
      }
      break;
    }
    case EventType::kEngineEvent:
      FailOrDrainRandomEngine();
      break;
    case EventType::kZoneLoss:
      StopZone();
      break;
    case EventType::kFlap:
      ++m_result.engine_events;
      StopEngine(1, kFlapInterval / 3);
      if (++m_flap_count < kFlapCount) {
        Schedule(m_clock.seconds + kFlapInterval, EventType::kFlap);
      }
      break;
    case EventType::kEngineDown:
      if (m_nodes[subject].engine.leaving && m_nodes[subject].engine.incarnation == event.version) {
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
  Schedule(0, EventType::kTick);
  ScheduleNewChat();
  Schedule(m_scenario.warm_up / 2, EventType::kEngineEvent);
  Schedule(m_scenario.zone_loss_at, EventType::kZoneLoss);
  Schedule(m_scenario.flapping_from, EventType::kFlap);
  while (!m_events.empty() && m_events.top().time <= m_scenario.duration) {
    const Event event = m_events.top();
    m_events.pop();
    m_clock.seconds = event.time;
    HandleEvent(event);
  }
  m_result.control_bytes_per_second = ControlBytesPerSecond();
  return std::move(m_result);
}

// Computed from the design's gossip, because the model sends no datagrams: two datagrams per second
// in each direction, of at most 700 bytes with load entries, and one message per home pointer.
double Simulation::ControlBytesPerSecond() const {
  constexpr double kDatagramsPerSecond = 4;
  constexpr double kHeaderBytes = 28 + 64;
  constexpr double kLoadEntryBytes = 20;
  constexpr double kMaxDatagramBytes = 700;
  constexpr double kPointerMessageBytes = 2 * 160;
  const bool sends_load_entries =
      m_policy.kind != PolicyKind::kRandom && m_policy.kind != PolicyKind::kRendezvous;
  const double datagram_bytes =
      sends_load_entries
          ? std::min(kMaxDatagramBytes, kHeaderBytes + kLoadEntryBytes * m_scenario.engines)
          : kHeaderBytes;
  const double measured_time = m_scenario.duration - m_scenario.warm_up;
  return kDatagramsPerSecond * datagram_bytes + kPointerMessageBytes *
                                                    static_cast<double>(m_result.pointer_messages) /
                                                    measured_time / m_scenario.daemons;
}

}  // namespace wagtailwind::placement_model
