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

/// \brief Discrete-event simulation of one run of one policy. Placement decisions are made by the
/// classes that the daemon uses.
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
    kNextTurn,
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
    /// Orders events of the same time by when they were scheduled.
    std::uint64_t sequence;
    EventType type;
    /// Number of the chat, request or engine, depending on the type.
    int subject;
    /// Step version or incarnation of the engine, or chat of the request. If it is no longer the
    /// same when the event occurs, the event is stale and ignored.
    std::uint64_t version;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };
  struct Chat {
    int organisation = 0;
    int rank = 0;
    int turns = 1;
    int turn = 0;
    /// Tokens of all turns so far.
    double context = 0;
    /// The engine that served the latest turn.
    int engine = -1;
    std::uint64_t incarnation = 0;
    /// The engine whose agent is the home of the chat's pointer.
    int pointer_home = -1;
    /// The engine of the chat in an ideal placement.
    int ideal_engine = -1;
    std::uint64_t ideal_incarnation = 0;
  };
  struct Request {
    int chat = 0;
    double arrival = 0;
    /// Network delay of all attempts so far.
    double delay = 0;
    double prefix = 0;
    double new_tokens = 0;
    double output = 0;
    double max_output = 0;
    /// Cost without a cached prefix, in work tokens.
    [[nodiscard]] double FullCost() const { return prefix + new_tokens + 4 * max_output; }
    int zone = 0;
    /// The engine from which the prefix may be imported.
    int prefix_source = -1;
    int waiting_at = -1;
    bool waited = false;
    bool had_first_token = false;
    /// The cache statistics include this request.
    bool in_cache_statistics = false;
    std::optional<placement::AttemptPlan> plan;
    /// Engines that a baseline policy has tried.
    std::vector<int> tried;
  };
  /// An engine with its agent.
  struct Node {
    explicit Node(const Scenario& scenario) : engine(scenario) {}

    Engine engine;
    gossip::EndpointAdvertisement advertisement;
    std::unique_ptr<placement::AdmissionGate> gate;
    std::unique_ptr<placement::HomePointers> pointers;
    /// Times and loads, starting with the one that was reported last.
    std::deque<std::pair<double, double>> load_history;
    /// Requests that wait for admission at this engine.
    std::vector<int> waiting;
    /// Cost that each job would have without a cached prefix.
    std::multiset<double> full_costs;
    /// Incremented to invalidate the scheduled engine step.
    std::uint64_t step_version = 0;
    int jobs = 0;
  };

  // Workload (simulation_workload.cc).
  void ScheduleNewChat();
  void StartChat();
  void StartTurn(int chat_number);
  /// Tracks an ideal placement, the best that a policy could reach: regardless of load, the chat
  /// stays at one engine until that engine is lost, and all engines share one cache.
  void UpdateIdealPlacement(Chat& chat, int chat_number, const Request& request);
  void EndRequest(int number, bool answered);
  /// Returns a uniform random number in [0, 1) that depends only on the seed and the arguments.
  [[nodiscard]] double Draw(std::uint64_t subject, std::uint64_t salt) const;
  [[nodiscard]] bool InSurge() const;
  /// Whether the warm-up is over.
  [[nodiscard]] bool IsMeasured() const;

  // Placement (simulation_placement.cc).
  /// Places a request by the policy of the run, or refuses it.
  void Place(int number);
  /// Continues the attempts of a request by the policy of wagtailwind.
  void RunAttemptPlan(int number);
  [[nodiscard]] std::optional<int> ChooseBaseline(const Request& request, int number);
  [[nodiscard]] int ChooseByBoundedHashing(const Request& request, int number);
  void PlanCandidates(Request& request);
  [[nodiscard]] placement::PlacementRequest ToPlacementRequest(const Request& request,
                                                               bool with_hint) const;
  /// Requests admission at an engine. Sets `waits` if the request now waits there.
  [[nodiscard]] placement::AdmissionDecision RequestAdmission(Request& request, int number,
                                                              int engine, bool last_resort,
                                                              bool may_wait, bool& waits);
  [[nodiscard]] placement::AdmissionRequest ToAdmissionRequest(const Request& request,
                                                               double cached) const;
  /// Returns the tokens of the prefix that are cached at the engine or can be imported.
  [[nodiscard]] double ReusablePrefix(const Request& request, int engine) const;
  [[nodiscard]] bool CanImport(const Request& request, int engine) const;
  void BeginWait(Request& request, int number, int engine, std::chrono::milliseconds wait);
  void RetryWaiting(int engine);
  void StartJob(int number, int engine, std::uint64_t reservation);
  void RecordJobStart(Request& request, int engine, double cached, bool imported);
  /// Records the engine of a chat, and sets or clears the pointer at the chat's home agent.
  void UpdateHomePointer(int chat_number, int engine);
  void Refuse(int number, requests::FailureReason reason);
  /// Reports the decoded tokens to the admission gate.
  void ReportProgressToGate(int engine);

  // Engines and views (simulation_fleet.cc).
  void BuildFleet();
  /// Creates a new admission gate and new home pointers.
  void ResetAgent(int engine);
  void AdvanceEngine(int engine);
  void ScheduleEngineStep(int engine);
  void FinishJob(const Job& job, int engine);
  void StopEngine(int engine, double restart_after);
  void DrainEngine(int engine);
  void StartEngine(int engine);
  /// Brings the member list that all daemons see up to date with the state of an engine.
  void UpdateMember(int engine);
  void Tick();
  void PublishLoads();
  /// Records the loads of all engines in the statistics.
  void SampleLoads();
  /// Fails or drains a random engine and schedules the next such event.
  void FailOrDrainRandomEngine();
  void StopZone();
  /// Rebuilds the hash ring of the bounded hashing policy.
  void RebuildRing();

  void Schedule(double time, EventType type, int subject = 0, std::uint64_t version = 0);
  void HandleEvent(const Event& event);
  /// Estimates the control traffic of a daemon.
  [[nodiscard]] double ControlBytesPerSecond() const;

  Scenario m_scenario;
  Policy m_policy;
  std::uint64_t m_seed;
  SeededRandomSource m_random;
  /// Used for engine events only, so that all policies get the same events.
  SeededRandomSource m_event_random;
  ModelClock m_clock;
  ModelLoads m_loads;
  std::unique_ptr<ModelRecords> m_records;
  std::vector<gossip::Member> m_members;
  std::vector<std::unique_ptr<placement::CandidateSelector>> m_selectors;
  std::vector<Node> m_nodes;
  std::unordered_map<std::string, int> m_engine_numbers;
  /// Hashes and engines, in the order of hashes.
  std::vector<std::pair<std::uint64_t, int>> m_ring;
  std::vector<double> m_organisation_fractions;
  std::vector<Chat> m_chats;
  std::vector<Request> m_requests;
  /// Unused indices in m_requests.
  std::vector<int> m_free_requests;
  PrefixCache m_ideal_cache;
  /// Times and mean loads of the recent samples.
  std::deque<std::pair<double, double>> m_recent_means;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_next_event_sequence = 0;
  int m_flap_count = 0;
  Result m_result;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_SIMULATION_H_
