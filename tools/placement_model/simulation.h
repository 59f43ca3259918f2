#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SIMULATION_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "placement/admission_gate.h"
#include "placement/attempt_plan.h"
#include "placement/candidate_selector.h"
#include "placement/home_pointers.h"
#include "placement/prefix_reuse.h"
#include "placement_model/engine.h"
#include "placement_model/policy.h"
#include "placement_model/result.h"
#include "placement_model/scenario.h"
#include "placement_model/views.h"

namespace wagtailwind::placement_model {

/// \brief One run of one policy. The decision objects are those of the daemon.
class Simulation {
 public:
  Simulation(const Scenario& scenario, const Policy& policy, std::uint64_t seed);
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  [[nodiscard]] Result Run();

 private:
  enum class EventType {
    kNewChat,
    kReturn,
    kEngineStep,
    kTick,
    kWaitTimeout,
    kEngineEvent,
    kZoneLoss,
    kFlap,
    kEngineDown,
    kEngineUp,
    kViewUpdate,
  };
  struct Event {
    double time;
    std::uint64_t number;
    EventType type;
    int subject;
    std::uint64_t version;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  struct Chat {
    int organisation = 0;
    int rank = 0;
    int turns = 1;
    int turn = 0;
    double context = 0;
    int engine = -1;
    std::uint64_t incarnation = 0;
    int pointer_home = -1;
    int best_engine = -1;
    std::uint64_t best_incarnation = 0;
  };
  struct Request {
    int chat = 0;
    double arrival = 0;
    double delay = 0;
    double prefix = 0;
    double new_tokens = 0;
    double output = 0;
    double max_output = 0;
    [[nodiscard]] double FullCost() const { return prefix + new_tokens + 4 * max_output; }
    int zone = 0;
    int prefix_source = -1;
    int waiting_at = -1;
    bool waited = false;
    bool had_first_token = false;
    bool counted = false;
    std::optional<placement::AttemptPlan> plan;
    std::vector<int> tried;
  };
  /// An engine with its agent.
  struct Site {
    explicit Site(const Scenario& scenario) : engine(scenario) {}

    Engine engine;
    gossip::EndpointAdvertisement advertisement;
    std::unique_ptr<placement::AdmissionGate> gate;
    std::unique_ptr<placement::HomePointers> pointers;
    std::deque<std::pair<double, double>> load_history;
    std::vector<int> waiting;
    /// Costs of the jobs without a cached prefix.
    std::multiset<double> full_costs;
    std::uint64_t step_version = 0;
    int jobs = 0;
  };

  // Workload (simulation_workload.cc).
  void ScheduleNewChat();
  void StartChat();
  void StartTurn(int chat_number);
  void NoteBest(Chat& chat, int chat_number, const Request& request);
  void EndRequest(int number, bool answered);
  [[nodiscard]] double Draw(std::uint64_t subject, std::uint64_t salt) const;
  [[nodiscard]] bool InSurge() const;
  [[nodiscard]] bool Measured() const;

  // Placement (simulation_placement.cc).
  void Place(int number);
  void PlaceByPolicy(int number);
  [[nodiscard]] std::optional<int> ChooseBaseline(const Request& request, int number);
  [[nodiscard]] int ChooseByRing(const Request& request, int number);
  void PlanCandidates(Request& request);
  [[nodiscard]] placement::PlacementRequest ToPlacementRequest(const Request& request,
                                                               bool with_hint) const;
  [[nodiscard]] placement::AdmissionDecision Ask(Request& request, int number, int engine,
                                                 bool last_resort, bool may_wait, bool& waits);
  [[nodiscard]] placement::AdmissionRequest ToAdmission(const Request& request,
                                                        double cached) const;
  [[nodiscard]] double ReusablePrefix(const Request& request, int engine) const;
  [[nodiscard]] bool CanImport(const Request& request, int engine) const;
  void BeginWait(Request& request, int number, int engine, std::chrono::milliseconds wait);
  void RetryWaiting(int engine);
  void StartJob(int number, int engine, std::uint64_t reservation);
  void CountStart(Request& request, int engine, double cached, bool imported);
  void UpdatePointer(int chat_number, int engine);
  void Refuse(int number, requests::FailureReason reason);
  void SyncGate(int engine);

  // Engines and views (simulation_fleet.cc).
  void BuildFleet();
  void ResetAgent(int engine);
  void StepEngine(int engine);
  void ScheduleStep(int engine);
  void FinishJob(const Job& job, int engine);
  void StopEngine(int engine, double restart_after);
  void DrainEngine(int engine);
  void StartEngine(int engine);
  void UpdateMember(int engine);
  void Tick();
  void PublishLoads();
  void Sample();
  void RandomEngineEvent();
  void LoseZone();
  void RebuildRing();

  void Push(double time, EventType type, int subject = 0, std::uint64_t version = 0);
  void Handle(const Event& event);
  [[nodiscard]] double ControlBytes() const;

  Scenario m_scenario;
  Policy m_policy;
  std::uint64_t m_seed;
  SeededRandomSource m_random;
  /// Of engine events, so that every policy meets the same ones.
  SeededRandomSource m_event_random;
  ModelClock m_clock;
  ModelLoads m_loads;
  std::unique_ptr<ModelRecords> m_records;
  std::vector<gossip::Member> m_members;
  std::vector<std::unique_ptr<placement::CandidateSelector>> m_selectors;
  std::vector<Site> m_sites;
  std::unordered_map<std::string, int> m_engine_numbers;
  std::vector<std::pair<std::uint64_t, int>> m_ring;
  std::vector<double> m_organisation_parts;
  std::vector<Chat> m_chats;
  std::vector<Request> m_requests;
  std::vector<int> m_free_requests;
  PrefixCache m_best_cache;
  std::deque<std::pair<double, double>> m_means;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_event_number = 0;
  int m_flaps = 0;
  Result m_result;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SIMULATION_H_
