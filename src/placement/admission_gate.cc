#include "placement/admission_gate.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "placement/chat_key.h"
#include "placement/class_reserve.h"
#include "placement/organisation_shares.h"
#include "placement/pool_load.h"
#include "placement/work_ledger.h"

namespace wagtailwind::placement {

namespace {

using requests::FailureReason;

// Fewest agents, including this one, whose mean load is used as a bound. In a pool of two, one idle
// peer would halve the bound.
constexpr std::size_t kMinAgentsForMean = 3;

constexpr std::size_t kMaxRedirects = 4;

// Work completes over seconds; a retry after less than this time would find the same load.
constexpr std::chrono::milliseconds kRetryAfter{1'000};

WorkItem MakeItem(const AdmissionRequest& request, std::uint32_t output_weight) {
  WorkItem item;
  item.organisation = request.organisation;
  item.priority_class = request.priority_class;
  item.prompt_work = request.prompt_tokens - std::min(request.cached_tokens, request.prompt_tokens);
  item.output_work = std::uint64_t{request.max_output_tokens} * output_weight;
  if (item.prompt_work + item.output_work == 0) {
    // Every request costs at least one token, so that the capacity limits the number of
    // reservations.
    item.prompt_work = 1;
  }
  return item;
}

// Returns the class with the highest rank number, for which the reserve is kept; null if there are
// fewer than two classes.
const records::PriorityClass* LowestClass(const records::Configuration& configuration) {
  const auto& classes = configuration.priority_classes;
  if (classes.size() < 2) {
    return nullptr;
  }
  return &*std::max_element(classes.begin(), classes.end(),
                            [](const auto& a, const auto& b) { return a.rank < b.rank; });
}

AdmissionDecision MakeRefusal(FailureReason reason) {
  AdmissionDecision decision;
  decision.reason = reason;
  return decision;
}

AdmissionDecision MakeAdmission(std::uint64_t reservation) {
  AdmissionDecision decision;
  decision.admitted = true;
  decision.reservation = reservation;
  return decision;
}

// Limit of the endpoint's load for one request.
struct Bound {
  /// Maximum work of the endpoint, including the request.
  double work_tokens = 0;
  /// Whether the pool is loaded enough for class and organisation shares to be enforced.
  bool pool_is_busy = false;
};

class BoundedGate final : public AdmissionGate {
 public:
  BoundedGate(const gossip::EndpointAdvertisement& endpoint, AvailabilityZoneName zone,
              const AdmissionSettings& settings, const gossip::LoadView& loads,
              const records::ConfigurationView& configuration, const Clock& clock)
      : m_endpoint(endpoint),
        m_zone(std::move(zone)),
        m_settings(settings),
        m_loads(loads),
        m_configuration(configuration),
        m_clock(clock),
        m_reserve(settings.lowest_class_reserve) {}

  [[nodiscard]] AdmissionDecision Admit(const AdmissionRequest& request) override {
    // The views have their own locks, so they are read before the gate's lock is acquired.
    const auto configuration = m_configuration.Current();
    const SteadyTime now = m_clock.Now();
    const PoolLoad pool = SelectFreshPeers(m_loads.PoolLoad(m_endpoint.pool), m_endpoint.endpoint,
                                           m_settings.max_load_age, now);
    const bool draining = configuration->IsDraining(m_endpoint.endpoint, m_zone, m_clock.WallNow());
    AdmissionDecision decision;
    {
      const absl::MutexLock lock(&m_mutex);
      decision = Decide(request, pool, *configuration, draining, now);
    }
    if (!decision.admitted) {
      decision.retry_after = kRetryAfter;
      decision.redirects = Redirects(request, pool, *configuration);
    }
    return decision;
  }

  void RecordOutput(std::uint64_t reservation, std::uint32_t output_tokens) override {
    const absl::MutexLock lock(&m_mutex);
    m_ledger.RecordOutput(reservation,
                          std::uint64_t{output_tokens} * m_settings.output_token_weight);
  }

  void Release(std::uint64_t reservation) override {
    const absl::MutexLock lock(&m_mutex);
    m_ledger.Remove(reservation);
  }

  [[nodiscard]] GateLoad Load() const override {
    const absl::MutexLock lock(&m_mutex);
    return {.work_tokens = m_ledger.Total(),
            .capacity = m_endpoint.capacity,
            .requests = static_cast<std::uint32_t>(m_ledger.Count()),
            .closed = m_closed};
  }

  void Close() override {
    const absl::MutexLock lock(&m_mutex);
    m_closed = true;
  }

  void SetHealthy(bool healthy) override {
    const absl::MutexLock lock(&m_mutex);
    m_healthy = healthy;
  }

 private:
  AdmissionDecision Decide(const AdmissionRequest& request, const PoolLoad& pool,
                           const records::Configuration& configuration, bool draining,
                           SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    if ((m_closed || draining) && !IsMutantEnabled("gate_ignores_drains")) {
      return MakeRefusal(FailureReason::kDraining);
    }
    if (!m_healthy) {
      return MakeRefusal(FailureReason::kEndpointUnhealthy);
    }
    const WorkItem item = MakeItem(request, m_settings.output_token_weight);
    const std::uint64_t cost = item.prompt_work + item.output_work;
    m_shares.Observe(request.organisation, now);
    const Bound bound = ComputeBound(request, pool, cost);
    const records::PriorityClass* lowest = LowestClass(configuration);
    const bool is_lowest = lowest != nullptr && lowest->name == request.priority_class;
    const FailureReason reason = CheckLimits(request, cost, bound, configuration, lowest, now);
    if (reason != FailureReason::kNone) {
      if (is_lowest) {
        m_reserve.OnLowestRefused(cost, now);
      }
      return MakeRefusal(reason);
    }
    if (is_lowest) {
      m_reserve.OnLowestAdmitted(cost);
    } else {
      m_reserve.OnOtherAdmitted(cost, bound.work_tokens);
    }
    return MakeAdmission(m_ledger.Add(item));
  }

  Bound ComputeBound(const AdmissionRequest& request, const PoolLoad& pool,
                     std::uint64_t cost) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const double capacity = m_endpoint.capacity;
    if (request.last_resort || pool.peers.size() + 1 < kMinAgentsForMean) {
      return {.work_tokens = capacity, .pool_is_busy = true};
    }
    const auto own = static_cast<double>(m_ledger.Total());
    const auto added = static_cast<double>(cost);
    const double capacity_share = capacity / (static_cast<double>(pool.capacity) + capacity);
    const double mean_before = (static_cast<double>(pool.work_tokens) + own) * capacity_share;
    // The mean includes the request itself, because its cost is a significant part of the mean in a
    // small pool.
    const double multiple_of_mean =
        m_settings.load_multiple * (mean_before + added * capacity_share);
    double bound = std::max(multiple_of_mean, FullCost(request));
    if (own <= mean_before) {
      // While the mean is only a few requests, one request costs more than the margin between the
      // mean and its multiple, and all agents would be at their bound at the same time. An agent
      // that is not above the mean may therefore take one more request; this always includes the
      // least loaded agent.
      bound = std::max(bound, own + added);
    }
    return {.work_tokens = std::min(bound, capacity),
            .pool_is_busy = multiple_of_mean >= m_settings.share_threshold * capacity};
  }

  // Cost of a request on an engine without a cached prefix. An engine with the prefix may be loaded
  // up to this cost as well, since it would be allowed to take the request without the prefix.
  double FullCost(const AdmissionRequest& request) const {
    return static_cast<double>(request.prompt_tokens) +
           static_cast<double>(request.max_output_tokens) * m_settings.output_token_weight;
  }

  // Returns why the request has to be refused, or kNone.
  FailureReason CheckLimits(const AdmissionRequest& request, std::uint64_t cost, const Bound& bound,
                            const records::Configuration& configuration,
                            const records::PriorityClass* lowest, SteadyTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const std::uint64_t load = m_ledger.Total();
    if (load == 0) {
      // An idle endpoint takes one request of any size.
      return FailureReason::kNone;
    }
    if (bound.pool_is_busy && IsOverOrganisationShare(request, cost, bound, configuration, now)) {
      return FailureReason::kOrganisationOverShare;
    }
    const double limit = ClassLimit(request, cost, bound, configuration, lowest, now);
    if (static_cast<double>(load + cost) <= limit) {
      return FailureReason::kNone;
    }
    return request.last_resort ? FailureReason::kFleetFull : FailureReason::kOverBound;
  }

  bool IsOverOrganisationShare(const AdmissionRequest& request, std::uint64_t cost,
                               const Bound& bound, const records::Configuration& configuration,
                               SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const std::uint64_t own = m_ledger.OfOrganisation(request.organisation);
    const auto load = static_cast<double>(m_ledger.Total() + cost);
    if (own == 0 || load <= m_settings.share_threshold * bound.work_tokens) {
      return false;
    }
    const double share = m_shares.ShareOf(request.organisation, configuration, now);
    // The only active organisation is limited by the bound, and refused with kOverBound instead.
    return share < 1.0 && static_cast<double>(own + cost) > share * bound.work_tokens;
  }

  // Maximum work of the endpoint for a request of this priority class.
  double ClassLimit(const AdmissionRequest& request, std::uint64_t cost, const Bound& bound,
                    const records::Configuration& configuration,
                    const records::PriorityClass* lowest, SteadyTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const records::PriorityClass* own =
        configuration.FindPriorityClass(request.priority_class.value());
    // While the pool has free capacity, a limit below the bound would only move requests of the
    // class away from their cached prefixes.
    const double share = own == nullptr || !bound.pool_is_busy ? 1.0 : own->share;
    const double limit = share * bound.work_tokens;
    if (lowest == nullptr || !bound.pool_is_busy) {
      return limit;
    }
    const std::uint64_t lowest_load = m_ledger.OfClass(lowest->name);
    if (lowest == own) {
      return m_reserve.MayUseWholeBound(cost, bound.work_tokens, lowest_load) ? bound.work_tokens
                                                                              : limit;
    }
    return std::min(
        limit, bound.work_tokens - m_reserve.ReservedWork(bound.work_tokens, lowest_load, now));
  }

  std::vector<EndpointName> Redirects(const AdmissionRequest& request, const PoolLoad& pool,
                                      const records::Configuration& configuration) const {
    // Load entries contain no availability zone, so only drains of endpoints are checked here; a
    // peer in a draining zone refuses the request itself.
    const AvailabilityZoneName unknown_zone("(unknown)");
    const WallTime now = m_clock.WallNow();
    const std::uint64_t key = ChatHash(request.organisation, request.chat) +
                              static_cast<std::uint64_t>(m_clock.Now().time_since_epoch().count());
    return SelectRedirectPeers(pool, key, kMaxRedirects, [&](const EndpointName& endpoint) {
      return !configuration.IsDraining(endpoint, unknown_zone, now);
    });
  }

  const gossip::EndpointAdvertisement m_endpoint;
  const AvailabilityZoneName m_zone;
  const AdmissionSettings m_settings;
  const gossip::LoadView& m_loads;
  const records::ConfigurationView& m_configuration;
  const Clock& m_clock;
  mutable absl::Mutex m_mutex;
  WorkLedger m_ledger ABSL_GUARDED_BY(m_mutex);
  OrganisationShares m_shares ABSL_GUARDED_BY(m_mutex);
  ClassReserve m_reserve ABSL_GUARDED_BY(m_mutex);
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
  bool m_healthy ABSL_GUARDED_BY(m_mutex) = true;
};

}  // namespace

std::unique_ptr<AdmissionGate> MakeAdmissionGate(const gossip::EndpointAdvertisement& endpoint,
                                                 const AvailabilityZoneName& zone,
                                                 const AdmissionSettings& settings,
                                                 const gossip::LoadView& loads,
                                                 const records::ConfigurationView& configuration,
                                                 const Clock& clock) {
  return std::make_unique<BoundedGate>(endpoint, zone, settings, loads, configuration, clock);
}

}  // namespace wagtailwind::placement
