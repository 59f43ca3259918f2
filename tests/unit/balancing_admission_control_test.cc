// Which requests routers refuse while a service can't serve all in time. A queue model runs on a
// virtual clock: routers with a decision of their own, endpoints with slots and a queue by
// priority, callers that return once. It is compared with a schedule that knows the future and with
// admitting everything.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "balancing/admission_control.h"
#include "core/random_source.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using balancing::AdmissionControl;
using balancing::AdmissionDecision;
using balancing::AdmissionReason;
using balancing::AdmissionTicket;
using std::chrono::nanoseconds;

constexpr SteadyTime kStart{1'000s};
constexpr std::size_t kKinds = 3;
constexpr std::size_t kOrganisations = 24;

double Seconds(nanoseconds time) { return std::chrono::duration<double>(time).count(); }

nanoseconds Time(double seconds) {
  return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(seconds));
}

/// A request type of the model. Rates and objectives are those of the first deployment.
struct Kind {
  std::uint32_t priority;
  double rate;
  nanoseconds objective;
  nanoseconds deadline;
  /// Mean time for which a request takes a slot.
  double service;
  /// Work units of a second in a slot.
  static constexpr double kWorkPerSecond = 2'000;
};

constexpr std::array<Kind, kKinds> kRequestKinds{
    {{0, 134, 500ms, 10s, 0.5}, {1, 71, 600ms, 3s, 0.3}, {2, 48, 2s, 12s, 2.0}}};

/// A load pattern, and what it changes between `from` and `until`.
struct Pattern {
  std::size_t routers = 46;
  std::size_t endpoints = 52;
  std::uint32_t slots = 16;
  double rate = 1.0;
  nanoseconds duration = 30s;
  nanoseconds from = 8s;
  nanoseconds until = 22s;
  /// Endpoints that are left, and factors on all requests and on those of organisation 0.
  std::size_t endpoints_left = 52;
  double burst = 1.0;
  double large_organisation = 1.0;
  /// Factor on the time for which requests take slots.
  double slowness = 1.0;
  /// Whether endpoints begin their queued requests in the order of priority, or of arrival.
  bool by_priority = true;
  /// Time before the first event for reasons other than waiting for a slot.
  nanoseconds read_time = 30ms;
  /// Part of all requests that the first router gets; 0: as many as the others.
  double first_router = 0;
  /// Time at which the first router starts anew, and time from which it sees no load reports.
  std::optional<nanoseconds> restart{};
  std::optional<nanoseconds> no_reports{};
};

/// A request of the model.
struct Request {
  std::size_t kind = 0;
  std::size_t organisation = 0;
  nanoseconds arrival{0};
  double service = 0;
  std::size_t router = 0;
};

/// What became of the requests of a group.
struct Tally {
  std::size_t requests = 0;
  double worth = 0;
  std::size_t served = 0;

  [[nodiscard]] double Worth() const { return requests > 0 ? worth / requests : 1; }
  [[nodiscard]] double Served() const {
    return requests > 0 ? static_cast<double>(served) / requests : 1;
  }
};

/// Results of the requests that arrived while the pattern was in force.
struct Result {
  std::array<Tally, kKinds> kinds;
  std::array<Tally, kOrganisations> organisations;
  Tally all;
  /// The largest tenth of each kind.
  std::array<Tally, kKinds> large;
  std::size_t tries = 0;
  std::size_t ended_at_deadline = 0;
  std::size_t refused = 0;
  std::size_t refused_while_free = 0;
  /// Refusals from three seconds after the end of the pattern.
  std::size_t refused_late = 0;
  /// Times of the first response that is late, and of the first refusal.
  std::optional<nanoseconds> first_late{};
  std::optional<nanoseconds> first_refusal{};
  /// Retries, and the largest number of them in 100 ms.
  std::size_t returned = 0;
  std::size_t most_returned = 0;
};

/// Worth of a response: full up to the objective, then in proportion to the objective.
double WorthOf(const Request& request, nanoseconds delay) {
  return std::min(1.0, Seconds(kRequestKinds[request.kind].objective) / Seconds(delay));
}

bool IsIn(const Pattern& pattern, nanoseconds time) {
  return time >= pattern.from && time < pattern.until;
}

std::vector<Request> MakeRequests(const Pattern& pattern, std::uint64_t seed) {
  SeededRandomSource random(seed);
  std::vector<Request> requests;
  const auto exponential = [&random](double mean) {
    return -mean * std::log(1 - random.NextFraction());
  };
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    for (std::size_t organisation = 0; organisation < kOrganisations; ++organisation) {
      // Four organisations have three times the traffic of the others.
      const double part =
          (organisation >= 1 && organisation <= 4 ? 3.0 : 1.0) / (kOrganisations + 8);
      double time = 0;
      while (true) {
        const bool in_force = IsIn(pattern, Time(time));
        const double factor =
            in_force ? pattern.burst * (organisation == 0 ? pattern.large_organisation : 1.0) : 1.0;
        time += exponential(1 / (kRequestKinds[kind].rate * part * factor * pattern.rate));
        if (Time(time) >= pattern.duration) {
          break;
        }
        Request request{.kind = kind, .organisation = organisation, .arrival = Time(time)};
        const double mean = kRequestKinds[kind].service * pattern.slowness;
        request.service = 0.3 * mean + exponential(0.7 * mean);
        request.router =
            random.NextFraction() < pattern.first_router ? 0 : random.NextBelow(pattern.routers);
        requests.push_back(request);
      }
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const Request& left, const Request& right) { return left.arrival < right.arrival; });
  return requests;
}

/// Runs the requests of a pattern through routers and endpoints.
class Model {
 public:
  Model(const Pattern& pattern, std::vector<Request> requests, bool with_admission)
      : m_pattern(pattern),
        m_requests(std::move(requests)),
        m_with_admission(with_admission),
        m_endpoints(pattern.endpoints) {
    for (std::size_t i = 0; i < pattern.routers; ++i) {
      m_routers.push_back(std::make_unique<Router>(pattern.endpoints));
    }
    std::map<std::size_t, std::vector<double>> services;
    for (const Request& request : m_requests) {
      services[request.kind].push_back(request.service);
    }
    for (auto& [kind, values] : services) {
      std::sort(values.begin(), values.end());
      m_large_from[kind] = values[values.size() * 9 / 10];
    }
  }

  Result Run() {
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
      At(m_requests[i].arrival, [this, i] { Arrive(i, m_requests[i].router, false); });
    }
    At(m_pattern.from, [this] { LoseEndpoints(); });
    At(m_pattern.until, [this] { m_alive = m_pattern.endpoints; });
    if (m_pattern.restart) {
      At(*m_pattern.restart,
         [this] { m_routers[0] = std::make_unique<Router>(m_pattern.endpoints); });
    }
    m_alive = m_pattern.endpoints;
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.run();
    }
    return m_result;
  }

 private:
  struct Event {
    nanoseconds time;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  struct Try {
    std::size_t request;
    std::size_t router;
    std::uint64_t incarnation;
    AdmissionTicket ticket;
    bool is_done = false;
  };
  using TryPtr = std::shared_ptr<Try>;
  struct Endpoint {
    std::size_t running = 0;
    std::multimap<std::uint32_t, TryPtr> waiting;
    std::uint64_t life = 0;
  };
  struct View {
    double others = 0;
    double own = 0;
  };
  struct Router {
    explicit Router(std::size_t endpoints) : views(endpoints) {}
    AdmissionControl control;
    std::vector<View> views;
    std::uint64_t incarnation = ++Incarnations();
    static std::uint64_t& Incarnations() {
      static std::uint64_t value = 0;
      return value;
    }
  };

  void At(nanoseconds time, std::function<void()> run) {
    m_events.push({.time = time, .number = ++m_number, .run = std::move(run)});
  }
  [[nodiscard]] SteadyTime Now() const { return kStart + m_now; }

  void LoseEndpoints() {
    m_alive = m_pattern.endpoints_left;
    for (std::size_t i = m_alive; i < m_endpoints.size(); ++i) {
      m_endpoints[i] = {.running = 0, .waiting = {}, .life = m_endpoints[i].life + 1};
    }
  }

  [[nodiscard]] bool IsPoolFree() const {
    std::size_t running = 0;
    for (std::size_t i = 0; i < m_alive; ++i) {
      running += m_endpoints[i].running;
      if (!m_endpoints[i].waiting.empty()) {
        return false;
      }
    }
    return running * 2 < m_alive * m_pattern.slots;
  }

  void Count(const Request& request, double worth, bool is_served) {
    if (!IsIn(m_pattern, request.arrival)) {
      return;
    }
    const auto add = [&](Tally& tally) {
      ++tally.requests;
      tally.worth += worth;
      tally.served += is_served ? 1 : 0;
    };
    add(m_result.kinds[request.kind]);
    add(m_result.organisations[request.organisation]);
    add(m_result.all);
    if (request.service >= m_large_from[request.kind]) {
      add(m_result.large[request.kind]);
    }
  }

  [[nodiscard]] std::size_t ChooseEndpoint(const Router& router) {
    const std::size_t first = m_random.NextBelow(m_alive);
    const std::size_t second = m_random.NextBelow(m_alive);
    const auto load = [&](std::size_t i) { return router.views[i].others + router.views[i].own; };
    return load(first) <= load(second) ? first : second;
  }

  void Arrive(std::size_t index, std::size_t router_index, bool is_retry) {
    const Request& request = m_requests[index];
    const Kind& kind = kRequestKinds[request.kind];
    Router& router = *m_routers[router_index];
    const bool counts = IsIn(m_pattern, request.arrival);
    m_result.tries += counts ? 1 : 0;
    double taken = 0;
    for (std::size_t i = 0; i < m_alive; ++i) {
      taken += router.views[i].own + router.views[i].others;
    }
    const OrganisationName organisation("organisation-" + std::to_string(request.organisation));
    AdmissionDecision decision{.ticket = AdmissionTicket{0}};
    if (m_with_admission) {
      const std::string route = "route-" + std::to_string(request.kind);
      decision = router.control.Decide({.priority = kind.priority,
                                        .organisation = organisation,
                                        .route = route,
                                        .work = request.service * Kind::kWorkPerSecond,
                                        .objective = kind.objective,
                                        .time_left = request.arrival + kind.deadline - m_now},
                                       taken / static_cast<double>(m_alive * m_pattern.slots),
                                       Now(), m_random);
    }
    if (!decision.IsAdmitted()) {
      Refuse(index, decision, is_retry);
      return;
    }
    const auto attempt = std::make_shared<Try>(Try{.request = index,
                                                   .router = router_index,
                                                   .incarnation = router.incarnation,
                                                   .ticket = *decision.ticket});
    const std::size_t endpoint = ChooseEndpoint(router);
    router.views[endpoint].own += 1;
    const std::uint64_t life = m_endpoints[endpoint].life;
    At(request.arrival + kind.deadline, [this, attempt, endpoint] {
      if (!attempt->is_done) {
        m_result.ended_at_deadline += IsIn(m_pattern, m_requests[attempt->request].arrival) ? 1 : 0;
        Count(m_requests[attempt->request], 0, false);
        End(attempt, endpoint, false);
      }
    });
    if (m_endpoints[endpoint].running < m_pattern.slots) {
      Begin(attempt, endpoint, life);
    } else {
      m_endpoints[endpoint].waiting.emplace(m_pattern.by_priority ? kind.priority : 0, attempt);
    }
  }

  void Refuse(std::size_t index, const AdmissionDecision& decision, bool is_retry) {
    const Request& request = m_requests[index];
    m_result.refused += 1;
    m_result.first_refusal = m_result.first_refusal.value_or(m_now);
    m_result.refused_while_free += IsPoolFree() ? 1 : 0;
    m_result.refused_late += m_now > m_pattern.until + 3s ? 1 : 0;
    if (is_retry || !decision.retry_after) {
      Count(request, 0, false);
      return;
    }
    const nanoseconds at = m_now + *decision.retry_after;
    cr_assert_leq(decision.retry_after->count() * 3,
                  (request.arrival + kRequestKinds[request.kind].deadline - m_now).count());
    m_result.returned += 1;
    const std::size_t in_slot = ++m_returns[at / 100ms];
    m_result.most_returned = std::max(m_result.most_returned, in_slot);
    At(at, [this, index] { Arrive(index, m_random.NextBelow(m_routers.size()), true); });
  }

  void Begin(const TryPtr& attempt, std::size_t endpoint, std::uint64_t life) {
    const Request& request = m_requests[attempt->request];
    ++m_endpoints[endpoint].running;
    At(m_now + m_pattern.read_time, [this, attempt, endpoint, life] {
      if (m_endpoints[endpoint].life != life) {
        return;
      }
      Router& router = *m_routers[attempt->router];
      if (router.incarnation == attempt->incarnation) {
        const Endpoint& state = m_endpoints[endpoint];
        const bool sees_reports =
            !m_pattern.no_reports || attempt->router != 0 || m_now < *m_pattern.no_reports;
        if (sees_reports) {
          router.views[endpoint].others =
              std::max(0.0, static_cast<double>(state.running + state.waiting.size()) -
                                router.views[endpoint].own);
          router.control.OnReport({.running = static_cast<std::uint32_t>(state.running),
                                   .waiting = static_cast<std::uint32_t>(state.waiting.size()),
                                   .slots = m_pattern.slots},
                                  Now());
        }
        router.control.OnFirstEvent(attempt->ticket, Now());
      }
      const Request& served = m_requests[attempt->request];
      Count(served, WorthOf(served, m_now - served.arrival), true);
      if (m_now - served.arrival > kRequestKinds[served.kind].objective) {
        m_result.first_late = m_result.first_late.value_or(m_now);
      }
      attempt->is_done = true;
    });
    At(m_now + m_pattern.read_time + Time(request.service), [this, attempt, endpoint, life] {
      End(attempt, endpoint, true);
      if (m_endpoints[endpoint].life == life) {
        --m_endpoints[endpoint].running;
        BeginNext(endpoint);
      }
    });
  }

  void BeginNext(std::size_t endpoint) {
    Endpoint& state = m_endpoints[endpoint];
    while (state.running < m_pattern.slots && !state.waiting.empty()) {
      const TryPtr next = state.waiting.begin()->second;
      state.waiting.erase(state.waiting.begin());
      if (!next->is_done) {
        Begin(next, endpoint, state.life);
      }
    }
  }

  void End(const TryPtr& attempt, std::size_t endpoint, bool is_served) {
    Router& router = *m_routers[attempt->router];
    if (router.incarnation == attempt->incarnation) {
      router.views[endpoint].own = std::max(0.0, router.views[endpoint].own - 1);
      if (m_with_admission) {
        router.control.OnEnded(attempt->ticket, is_served, Now());
      }
    }
    attempt->is_done = true;
  }

  const Pattern m_pattern;
  const std::vector<Request> m_requests;
  const bool m_with_admission;
  std::map<std::size_t, double> m_large_from;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::size_t m_alive = 0;
  std::priority_queue<Event> m_events;
  std::uint64_t m_number = 0;
  nanoseconds m_now{0};
  std::map<std::int64_t, std::size_t> m_returns;
  SeededRandomSource m_random{11};
  Result m_result;
};

/// Places the requests in the order of their priorities, each at the first time at which a slot is
/// free for as long as it needs one, if that is within its objective.
std::array<Tally, kKinds> KnowingTheFuture(const Pattern& pattern, std::vector<Request> requests) {
  constexpr nanoseconds kStep = 20ms;
  std::vector<int> free(static_cast<std::size_t>((pattern.duration + 60s) / kStep));
  for (std::size_t i = 0; i < free.size(); ++i) {
    const bool in_force = IsIn(pattern, kStep * static_cast<std::int64_t>(i));
    free[i] =
        static_cast<int>((in_force ? pattern.endpoints_left : pattern.endpoints) * pattern.slots);
  }
  std::stable_sort(requests.begin(), requests.end(), [](const Request& left, const Request& right) {
    return left.kind < right.kind;
  });
  std::array<Tally, kKinds> tallies;
  for (const Request& request : requests) {
    const auto first = request.arrival / kStep;
    const auto last = (request.arrival + kRequestKinds[request.kind].objective) / kStep;
    const auto length = Time(request.service) / kStep + 1;
    bool placed = false;
    for (auto start = first; start <= last && !placed; ++start) {
      const auto begin = free.begin() + start;
      placed = std::all_of(begin, begin + length, [](int slots) { return slots > 0; });
      if (placed) {
        std::for_each(begin, begin + length, [](int& slots) { --slots; });
      }
    }
    if (IsIn(pattern, request.arrival)) {
      ++tallies[request.kind].requests;
      tallies[request.kind].worth += placed ? 1 : 0;
    }
  }
  return tallies;
}

struct Comparison {
  Result with;
  Result without;
  std::array<Tally, kKinds> ideal;
};

Comparison Compare(const char* name, const Pattern& pattern, std::uint64_t seed = 1) {
  const std::vector<Request> requests = MakeRequests(pattern, seed);
  Comparison comparison{.with = Model(pattern, requests, true).Run(),
                        .without = Model(pattern, requests, false).Run(),
                        .ideal = KnowingTheFuture(pattern, requests)};
  std::string line(name);
  for (std::size_t i = 0; i < kKinds; ++i) {
    char text[160];
    std::snprintf(text, sizeof(text), "; priority %zu: %.3f (all admitted %.3f, ideal %.3f)", i,
                  comparison.with.kinds[i].Worth(), comparison.without.kinds[i].Worth(),
                  comparison.ideal[i].Worth());
    line += text;
  }
  const Result& with = comparison.with;
  cr_log_info(
      "%s; large %.3f of %.3f; tries %zu, refused %zu, while free %zu, late %zu, returned %zu "
      "(most in 100 ms %zu), at deadline %zu (all admitted %zu), first refusal after %.1f s",
      line.c_str(), with.large[2].Served(), with.kinds[2].Served(), with.tries, with.refused,
      with.refused_while_free, with.refused_late, with.returned, with.most_returned,
      with.ended_at_deadline, comparison.without.ended_at_deadline,
      Seconds(with.first_refusal.value_or(0ns) - pattern.from));
  return comparison;
}

/// Two thirds of the endpoints are gone, and twice the usual requests arrive.
Pattern Shortage(bool by_priority) {
  Pattern pattern;
  pattern.endpoints_left = 17;
  pattern.burst = 2.0;
  pattern.by_priority = by_priority;
  return pattern;
}

/// Mean worth of the requests of all organisations but the first.
double WorthOfOthers(const Result& result) {
  Tally others;
  for (std::size_t i = 1; i < kOrganisations; ++i) {
    others.requests += result.organisations[i].requests;
    others.worth += result.organisations[i].worth;
  }
  return others.Worth();
}

/// One router before a single server that does 5,000 units of work in a second, in the order of
/// arrival. Requests come every 50 ms.
class SingleServer {
 public:
  AdmissionDecision Ask(const OrganisationName& organisation, double work, std::uint32_t priority,
                        nanoseconds time_left = 10s) {
    m_now += 50ms;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto [time, event] = *m_events.begin();
      m_events.erase(m_events.begin());
      if (event.is_end) {
        m_control.OnEnded(event.ticket, true, time);
      } else {
        m_control.OnFirstEvent(event.ticket, time);
        m_control.OnReport({.running = 1, .waiting = IsWaiting() ? 1U : 0U, .slots = 1}, time);
      }
    }
    const AdmissionDecision decision = m_control.Decide({.priority = priority,
                                                         .organisation = organisation,
                                                         .route = "route",
                                                         .work = work,
                                                         .objective = 500ms,
                                                         .time_left = time_left},
                                                        1.0, m_now, m_random);
    if (decision.ticket) {
      const SteadyTime begin = std::max(m_now, m_idle_at);
      m_idle_at = begin + Time(work / 5'000);
      m_events.emplace(begin, Event{.ticket = *decision.ticket, .is_end = false});
      m_events.emplace(m_idle_at, Event{.ticket = *decision.ticket, .is_end = true});
    }
    return decision;
  }

  const OrganisationName kNormal{"normal"};
  const OrganisationName kLarge{"large"};

 private:
  struct Event {
    AdmissionTicket ticket;
    bool is_end = false;
  };

  [[nodiscard]] bool IsWaiting() const { return m_idle_at > m_now + 100ms; }

  AdmissionControl m_control;
  SteadyTime m_now = kStart;
  /// Time at which the server will have nothing to do.
  SteadyTime m_idle_at{};
  std::multimap<SteadyTime, Event> m_events;
  SeededRandomSource m_random{5};
};

}  // namespace

// Load pattern: two thirds of the endpoints gone with a burst of 2. Guards against routers that
// admit everything while all requests wait in the endpoints' queues until none is in time.
Test(admission_control, keeps_urgent_requests_in_time_in_a_shortage) {
  const Comparison queue = Compare("shortage, queues by arrival", Shortage(false));
  cr_assert_geq(queue.with.kinds[0].Worth(), 0.88 * queue.ideal[0].Worth());
  cr_assert_geq(queue.with.kinds[0].Worth(), 2 * queue.without.kinds[0].Worth());
  cr_assert_geq(queue.with.kinds[1].Worth(), 1.8 * queue.without.kinds[1].Worth());
  cr_assert_leq(queue.with.ended_at_deadline * 100, queue.with.tries);
  const Comparison sorted = Compare("shortage, queues by priority", Shortage(true));
  cr_assert_geq(sorted.with.kinds[0].Worth(), 0.95 * sorted.ideal[0].Worth());
  cr_assert_leq(sorted.with.ended_at_deadline * 100, sorted.with.tries);
}

// Load pattern: the same. Guards against refusals that don't follow the priority, and against
// request types or sizes that starve.
Test(admission_control, refuses_less_urgent_requests_first) {
  for (const bool by_priority : {false, true}) {
    const Result result = Compare("shortage", Shortage(by_priority)).with;
    for (std::size_t i = 1; i < kKinds; ++i) {
      cr_assert_geq(result.kinds[i - 1].Worth(), result.kinds[i].Worth());
      cr_assert_geq(result.kinds[i - 1].Served() + 0.05, result.kinds[i].Served());
    }
    for (std::size_t i = 0; i < kKinds; ++i) {
      cr_assert_geq(result.kinds[i].Served(), 0.25 * result.all.Served());
      cr_assert_geq(result.large[i].Served(), 0.5 * result.kinds[i].Served());
    }
  }
}

// Load pattern: the same, with 1, 12, 46 and 300 routers. Guards against rules that only suit one
// size of a fleet.
Test(admission_control, suits_all_sizes_of_a_fleet) {
  for (const std::size_t routers : {1, 12, 46, 300}) {
    Pattern pattern = Shortage(false);
    pattern.routers = routers;
    const Comparison comparison = Compare("shortage", pattern);
    cr_assert_geq(comparison.with.kinds[0].Worth(), 1.8 * comparison.without.kinds[0].Worth(),
                  "%zu routers", routers);
    cr_assert_geq(comparison.with.kinds[0].Worth(), comparison.with.kinds[2].Worth(), "%zu routers",
                  routers);
    cr_assert_leq(comparison.with.ended_at_deadline * 100, comparison.with.tries, "%zu routers",
                  routers);
  }
}

// Load pattern: the same. Guards against a reaction that comes late, and against refusals that last
// when there is capacity again.
Test(admission_control, adapts_in_seconds) {
  const Pattern pattern = Shortage(false);
  const Result result = Compare("shortage", pattern).with;
  cr_assert(result.first_refusal.has_value());
  cr_log_info("first late response after %.2f s, first refusal after %.2f s",
              Seconds(*result.first_late - pattern.from),
              Seconds(*result.first_refusal - pattern.from));
  cr_assert_leq(Seconds(*result.first_refusal - *result.first_late), 1.0);
  cr_assert_leq(result.refused_late * 100, result.refused);
  // The endpoints are back before the routers have reports of them.
  cr_assert_leq(result.refused_while_free * 100, 3 * result.refused);
}

// Load pattern: the usual traffic with all endpoints. Guards against refusals without a shortage.
Test(admission_control, refuses_nothing_on_a_calm_day) {
  cr_assert_eq(Compare("calm", {}).with.refused, 0);
}

// Load pattern: first events take longer than their objectives, because prompts are read slowly,
// while most slots are free and nothing waits. Guards against refusals that free no capacity.
Test(admission_control, refuses_nothing_while_slots_are_free) {
  Pattern pattern;
  pattern.read_time = 900ms;
  pattern.slots = 64;
  cr_assert_eq(Compare("slow prompts", pattern).with.refused, 0);
}

// Load pattern: one organisation with ten times its usual requests while a part of the endpoints is
// gone. Guards against an organisation that takes the capacity of the others.
Test(admission_control, protects_organisations_from_a_large_one) {
  Pattern pattern;
  pattern.endpoints_left = 17;
  pattern.by_priority = false;
  pattern.large_organisation = 10;
  pattern.rate = 1.2;
  const Comparison with_large = Compare("large organisation", pattern);
  pattern.large_organisation = 1;
  const Comparison usual = Compare("usual traffic", pattern);
  cr_log_info("others %.3f, without the large one %.3f, large one %.3f; all admitted %.3f",
              WorthOfOthers(with_large.with), WorthOfOthers(usual.with),
              with_large.with.organisations[0].Worth(), WorthOfOthers(with_large.without));
  cr_assert_geq(WorthOfOthers(with_large.with), 0.95 * WorthOfOthers(usual.with));
  cr_assert_geq(WorthOfOthers(with_large.with), WorthOfOthers(with_large.without));
  for (const Tally& organisation : with_large.with.organisations) {
    cr_assert_geq(organisation.Served(), 0.25 * with_large.with.all.Served());
  }
}

// Load pattern: a fifth of all requests at one router. Guards against shares by the number of
// routers.
Test(admission_control, suits_uneven_traffic) {
  Pattern pattern = Shortage(false);
  pattern.first_router = 0.2;
  const Comparison comparison = Compare("uneven", pattern);
  cr_assert_geq(comparison.with.kinds[0].Worth(), 0.8 * comparison.ideal[0].Worth());
}

// Load pattern: a router starts in the middle of a shortage. Guards against a router that refuses
// without measurements of its own, or that floods the endpoints.
Test(admission_control, suits_a_router_that_has_just_started) {
  Pattern pattern = Shortage(false);
  pattern.routers = 12;
  const double before = Compare("no start", pattern).with.kinds[0].Worth();
  pattern.restart = 14s;
  const Result result = Compare("started", pattern).with;
  cr_assert_geq(result.kinds[0].Worth(), 0.95 * before);
  Pattern calm;
  calm.routers = 12;
  calm.restart = 14s;
  cr_assert_eq(Compare("started on a calm day", calm).with.refused, 0);
}

// Load pattern: a router gets no load reports from some time on. Guards against a router that
// refuses for a state that it saw long ago, or that spoils what the others do.
Test(admission_control, suits_a_router_that_is_cut_off) {
  Pattern pattern = Shortage(false);
  pattern.routers = 12;
  const double before = Compare("in contact", pattern).with.kinds[0].Worth();
  pattern.no_reports = 7s;
  const Result result = Compare("cut off", pattern).with;
  cr_assert_geq(result.kinds[0].Worth(), 0.85 * before);
  cr_assert_leq(result.refused_late * 50, result.refused);
}

// Guards against shares by the number of requests: an organisation with long requests is refused
// before another one with as many short ones.
Test(admission_control, shares_by_work) {
  SingleServer server;
  std::map<std::string, int> refused;
  for (int i = 0; i < 600; ++i) {
    const bool is_large = i % 2 == 0;
    const AdmissionDecision decision =
        server.Ask(is_large ? server.kLarge : server.kNormal, is_large ? 1'000 : 50, 0);
    refused[is_large ? "large" : "normal"] += decision.IsAdmitted() ? 0 : 1;
  }
  cr_log_info("refused: large %d, normal %d", refused["large"], refused["normal"]);
  cr_assert_gt(refused["large"], 50);
  cr_assert_geq(refused["large"], 3 * refused["normal"]);
}

// Guards against a constant Retry-After, at which all refused callers would return together, and
// against times for which callers don't wait.
Test(admission_control, names_times_by_the_rate_of_ends) {
  SingleServer server;
  std::set<std::int64_t> times;
  int without_time = 0;
  for (int i = 0; i < 600; ++i) {
    const AdmissionDecision decision = server.Ask(server.kNormal, 750, 0, 3s);
    if (decision.retry_after) {
      times.insert(*decision.retry_after / 1ms);
      cr_assert_leq(decision.retry_after->count(), nanoseconds(1s).count());
    } else if (!decision.IsAdmitted()) {
      ++without_time;
    }
  }
  cr_log_info("%zu times, %d refusals without one", times.size(), without_time);
  cr_assert_gt(times.size(), 20);
  cr_assert_gt(without_time, 20);
}

// Guards against callers that come back as told and are refused again for new ones. Ten callers in
// a second are of one kind; those that count as returning are admitted more often.
Test(admission_control, admits_returning_callers_first) {
  SingleServer server;
  int returned = 0;
  int returned_admitted = 0;
  int fresh = 0;
  int fresh_admitted = 0;
  for (int i = 0; i < 1'200; ++i) {
    const AdmissionDecision decision = server.Ask(server.kNormal, 400, 0);
    (decision.is_returning ? returned : fresh) += 1;
    (decision.is_returning ? returned_admitted : fresh_admitted) += decision.IsAdmitted() ? 1 : 0;
  }
  cr_log_info("%d of %d returning ones, %d of %d new ones", returned_admitted, returned,
              fresh_admitted, fresh);
  cr_assert_gt(returned, 20);
  cr_assert_gt(returned_admitted * fresh, fresh_admitted * returned);
}
