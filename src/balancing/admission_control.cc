#include "balancing/admission_control.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Fraction of the slots from which requests may be refused although none wait.
constexpr double kBusyOccupancy = 0.5;

// Time for which a report of waiting requests, or the refusal of a full endpoint, allows refusals.
constexpr std::chrono::milliseconds kSignalTime = 500ms;

// Mean delay to the first event, as a fraction of the objective, above which the limit falls. With
// exponential delays, one in five requests is late at this mean.
constexpr double kTargetLateness = 0.6;

// Delays beyond this multiple of the objective count as this. A few very late requests must not
// hold the limit down.
constexpr double kMaxLateness = 3.0;

// Weight, in requests, and value of what is assumed before the first delays.
constexpr double kPriorWeight = 0.5;
constexpr double kPriorLateness = 0.3;

// The limit is adjusted at this interval, and raised by up to the first fraction of the demand, or
// by the second while slots are free. With 0.1 in both cases, queues built up again before the
// delays showed it, and the most urgent requests kept 0.06 less of their worth in the queue model.
constexpr std::chrono::milliseconds kAdjustInterval = 250ms;
constexpr double kIncrease = 0.04;
constexpr double kIncreaseWhileFree = 0.1;
constexpr int kMaxAdjustments = 40;

// While requests are late, the limit is such a fraction of the work that ends, the smaller, the
// later they are, up to this multiple of the target: the queues drain then.
constexpr double kMaxDrainRate = 1.0;
constexpr double kMinDrainRate = 0.6;
constexpr double kLatenessRange = 1.5;

// A shortage begins if this fraction of the reports has waiting requests, or half of the slots are
// taken: a queue at one endpoint alone is no shortage.
constexpr double kShortageFraction = 0.3;

// If this fraction of the reports has waiting requests, what ends is what the endpoints can do.
// With fewer, the rate would follow the admitted work down. Weight of each observation.
constexpr double kSaturatedFraction = 0.75;
constexpr double kCapacityWeight = 0.15;

// The limit ends when it exceeds the demand by this factor, and never falls below this fraction:
// without admitted requests there would be no delays from which to learn.
constexpr double kReleaseFactor = 1.2;
constexpr double kMinFraction = 0.1;

// Credit of a priority from which a request is admitted, if its organisation has no more than its
// share; of a caller that returns; and what is added for an organisation that has far more. A
// priority saves up at most the last.
constexpr double kCredit = 0.5;
constexpr double kReturningCredit = 0.0;
constexpr double kOrganisationCredit = 1.5;
constexpr double kMaxCredit = 2.5;

// A priority or organisation of which a smaller fraction is admitted, relative to all requests, is
// admitted whatever the limit is. A quarter would count as starved.
constexpr double kMinServed = 0.27;
// Requests from which such a fraction has a meaning.
constexpr double kMinArrived = 3.0;

// A priority counts as in use for this long after its last request.
constexpr std::chrono::seconds kPriorityTime{10};

// Weight of one request in the mean work and objective.
constexpr double kMeanWeight = 1.0 / 64;

// Callers that were told to return may take this part of the capacity. The rest is for requests
// that arrive meanwhile.
constexpr double kReturnFraction = 0.5;
constexpr std::chrono::milliseconds kMinRetryAfter = 100ms;
// Random addition to each time, as a part of it.
constexpr double kRetrySpread = 0.2;

// Difference from the time told up to which a request counts as that of the returning caller.
constexpr std::chrono::milliseconds kReturnedEarly = 20ms;
constexpr std::chrono::milliseconds kReturnedLate = 300ms;
constexpr std::size_t kMaxReturning = 256;

bool IsRecent(const std::optional<SteadyTime>& time, std::chrono::nanoseconds age,
              SteadyTime now) noexcept {
  return time && now - *time < age;
}

double Ratio(std::chrono::nanoseconds delay, std::chrono::nanoseconds objective) noexcept {
  if (objective <= 0ns) {
    return 0;
  }
  return std::min(kMaxLateness,
                  std::chrono::duration<double>(delay) / std::chrono::duration<double>(objective));
}

void UpdateMean(double& mean, double value) noexcept {
  mean = mean == 0 ? value : mean + kMeanWeight * (value - mean);
}

}  // namespace

std::string_view ToText(AdmissionReason reason) noexcept {
  switch (reason) {
    case AdmissionReason::kNoShortage:
      return "no_shortage";
    case AdmissionReason::kWithinRate:
      return "within_rate";
    case AdmissionReason::kReserved:
      return "reserved";
    case AdmissionReason::kPriority:
      return "priority";
    case AdmissionReason::kOrganisationShare:
      return "organisation_share";
  }
  return "unknown";
}

AdmissionDecision AdmissionControl::Decide(const AdmissionRequest& request, double occupancy,
                                           SteadyTime now, RandomSource& random) {
  const std::size_t priority = std::min<std::size_t>(request.priority, kPriorities - 1);
  PriorityState& state = m_priorities[priority];
  state.last_request = now;
  state.served.OnArrived(now);
  m_served.OnArrived(now);
  m_organisations.OnArrived(request.organisation, now);
  UpdateMean(m_mean_objective, std::chrono::duration<double>(request.objective).count());
  Update(occupancy, now);
  // Without the request itself: at a router with few requests, each would seem to be one of many.
  const double fraction = FractionOf(priority, now);
  state.demand.Add(request.work, now);
  m_demand.Add(request.work, now);

  AdmissionDecision decision;
  decision.is_returning = TakeReturning(request, now);
  if (!m_is_limiting || !MayRefuse(occupancy, now)) {
    decision.ticket = Admit(request, priority, now);
    return decision;
  }
  state.credit = std::min(state.credit + fraction, kMaxCredit);
  const double base = decision.is_returning ? kReturningCredit : kCredit;
  const double needed =
      base + kOrganisationCredit * m_organisations.Excess(request.organisation, now);
  const bool is_underserved = IsUnderserved(request, priority, now);
  if (fraction > 0 && state.credit >= needed) {
    decision.reason = AdmissionReason::kWithinRate;
  } else if (is_underserved) {
    decision.reason = AdmissionReason::kReserved;
  }
  if (decision.reason != AdmissionReason::kNoShortage) {
    state.credit = std::max(state.credit - 1, -kMaxCredit);
    decision.ticket = Admit(request, priority, now);
    return decision;
  }
  decision.reason = fraction > 0 && state.credit >= base ? AdmissionReason::kOrganisationShare
                                                         : AdmissionReason::kPriority;
  decision.retry_after = RetryAfter(request.time_left, now, random);
  if (decision.retry_after) {
    if (m_returning.size() >= kMaxReturning) {
      m_returning.pop_front();
    }
    m_returning.push_back({.organisation = request.organisation,
                           .route = std::string(request.route),
                           .at = now + *decision.retry_after});
  }
  return decision;
}

AdmissionTicket AdmissionControl::Admit(const AdmissionRequest& request, std::size_t priority,
                                        SteadyTime now) {
  m_priorities[priority].served.OnAdmitted(now);
  m_served.OnAdmitted(now);
  m_organisations.OnAdmitted(request.organisation, request.work, now);
  const AdmissionTicket ticket{++m_last_ticket};
  m_running.emplace(ticket, Running{.priority = priority,
                                    .work = request.work,
                                    .objective = request.objective,
                                    .admitted_at = now});
  return ticket;
}

void AdmissionControl::OnFirstEvent(AdmissionTicket ticket, SteadyTime now) {
  const auto found = m_running.find(ticket);
  if (found == m_running.end() || found->second.first_event_at) {
    return;
  }
  found->second.first_event_at = now;
  const Running& running = found->second;
  PriorityState& state = m_priorities[running.priority];
  state.ratios.Add(Ratio(now - running.admitted_at, running.objective), now);
  state.samples.Add(1, now);
}

void AdmissionControl::OnEnded(AdmissionTicket ticket, bool is_served, SteadyTime now) {
  const auto found = m_running.find(ticket);
  if (found == m_running.end()) {
    return;
  }
  const Running& running = found->second;
  if (!running.first_event_at && (is_served || now - running.admitted_at > running.objective)) {
    OnFirstEvent(ticket, now);
  }
  if (is_served) {
    m_slot_seconds.Add(
        std::chrono::duration<double>(now - running.first_event_at.value_or(now)).count(), now);
    m_ended_work.Add(running.work, now);
    m_ended.Add(1, now);
  }
  m_running.erase(found);
}

void AdmissionControl::OnReport(const LoadReport& report, SteadyTime now) {
  m_reports.Add(1, now);
  m_reported_running.Add(report.running, now);
  m_reported_waiting.Add(report.waiting, now);
  m_reported_slots.Add(report.slots, now);
  if (report.waiting > 0) {
    m_waiting_reports.Add(1, now);
    m_waiting_at = now;
  }
}

double AdmissionControl::Lateness(SteadyTime now) const {
  std::array<double, kPriorities> overdue{};
  std::array<double, kPriorities> overdue_ratios{};
  for (const auto& [ticket, running] : m_running) {
    const double ratio = Ratio(now - running.admitted_at, running.objective);
    // A request that has waited for less may still be in time.
    if (!running.first_event_at && ratio > kTargetLateness) {
      overdue[running.priority] += 1;
      overdue_ratios[running.priority] += ratio;
    }
  }
  double longest = QueueLateness(now);
  for (std::size_t i = 0; i < kPriorities; ++i) {
    const PriorityState& state = m_priorities[i];
    if (!IsRecent(state.last_request, kPriorityTime, now)) {
      continue;
    }
    if (m_is_limiting && FractionOf(i, now) <= 0) {
      // What still waits of a priority that is refused can't be served by refusing more urgent
      // ones.
      break;
    }
    const double weight = state.samples.Value(now) + overdue[i] + kPriorWeight;
    const double sum = state.ratios.Value(now) + overdue_ratios[i] + kPriorWeight * kPriorLateness;
    longest = std::max(longest, sum / weight);
  }
  return longest;
}

double AdmissionControl::QueueLateness(SteadyTime now) const {
  // Little's law: a queue of the length of what runs waits as long as a request takes a slot.
  const double running = m_reported_running.Value(now);
  const double ended = m_ended.Value(now);
  if (running < 1 || ended <= 0 || m_mean_objective <= 0) {
    return 0;
  }
  const double wait = m_reported_waiting.Value(now) / running * (m_slot_seconds.Value(now) / ended);
  return std::min(kMaxLateness, wait / m_mean_objective);
}

double AdmissionControl::AdmittedFraction(SteadyTime now) const noexcept {
  const double demand = m_demand.Rate(now);
  return m_is_limiting && demand > 0 ? std::min(1.0, m_rate / demand) : 1.0;
}

bool AdmissionControl::IsBusy(double occupancy, SteadyTime now) const {
  const double slots = m_reported_slots.Value(now);
  const double reported = m_reported_running.Value(now) / std::max(slots, 1.0);
  // The estimate contains reports that are seconds old, and is too high after the end of a
  // shortage.
  return (occupancy >= kBusyOccupancy && (slots < 1.0 || reported >= kBusyOccupancy)) ||
         IsMutantEnabled("admission_refuses_while_slots_are_free");
}

bool AdmissionControl::MayRefuse(double occupancy, SteadyTime now) const {
  return IsBusy(occupancy, now) || IsRecent(m_waiting_at, kSignalTime, now) ||
         IsRecent(m_full_at, kSignalTime, now);
}

void AdmissionControl::Update(double occupancy, SteadyTime now) {
  if (now - m_adjusted_at < kAdjustInterval) {
    return;
  }
  const auto steps = static_cast<double>(
      std::min<std::int64_t>((now - m_adjusted_at) / kAdjustInterval, kMaxAdjustments));
  m_adjusted_at = now;
  const bool may_refuse = MayRefuse(occupancy, now);
  const double lateness = Lateness(now) / kTargetLateness;
  const double demand = m_demand.Rate(now);
  const double ended = m_ended_work.Rate(now);
  const double waiting = m_waiting_reports.Value(now) / std::max(m_reports.Value(now), 1.0);
  const bool is_saturated = waiting > kSaturatedFraction;
  if (is_saturated || ended > m_capacity) {
    m_capacity += kCapacityWeight * (ended - m_capacity);
  }
  const bool may_begin = may_refuse && (IsBusy(occupancy, now) || waiting > kShortageFraction ||
                                        IsRecent(m_full_at, kSignalTime, now));
  if (lateness > 1 && (m_is_limiting ? may_refuse : may_begin)) {
    const double excess = std::min(1.0, (lateness - 1) / kLatenessRange);
    const double drain = kMaxDrainRate - excess * (kMaxDrainRate - kMinDrainRate);
    const double limit = std::max(m_capacity * drain, demand * kMinFraction);
    m_rate = m_is_limiting ? std::min(m_rate, limit) : limit;
    m_rate = std::max(m_rate, m_capacity * kMinDrainRate);
    m_is_limiting = m_rate < demand;
    return;
  }
  if (m_is_limiting) {
    m_rate += steps * demand *
              (may_refuse ? kIncrease * std::max(0.0, 1 - lateness) : kIncreaseWhileFree);
    m_is_limiting = m_rate < demand * kReleaseFactor;
  }
}

double AdmissionControl::FractionOf(std::size_t priority, SteadyTime now) const {
  if (IsMutantEnabled("admission_ignores_priority")) {
    return AdmittedFraction(now);
  }
  double rest = m_rate;
  for (std::size_t i = 0; i < priority; ++i) {
    rest -= m_priorities[i].demand.Rate(now);
  }
  const double demand = m_priorities[priority].demand.Rate(now);
  return demand > 0 ? std::clamp(rest / demand, 0.0, 1.0) : 1.0;
}

bool AdmissionControl::IsUnderserved(const AdmissionRequest& request, std::size_t priority,
                                     SteadyTime now) const {
  const double least = kMinServed * m_served.Value(now);
  const auto is_underserved = [now, least](const ServedFraction& served) {
    return served.Arrived(now) >= kMinArrived && served.Value(now) < least;
  };
  const ServedFraction* organisation = m_organisations.Served(request.organisation);
  return is_underserved(m_priorities[priority].served) ||
         (organisation != nullptr && is_underserved(*organisation));
}

bool AdmissionControl::TakeReturning(const AdmissionRequest& request, SteadyTime now) {
  std::erase_if(m_returning,
                [now](const Returning& caller) { return now > caller.at + kReturnedLate; });
  const auto found =
      std::find_if(m_returning.begin(), m_returning.end(), [&](const Returning& caller) {
        return now >= caller.at - kReturnedEarly && caller.organisation == request.organisation &&
               caller.route == request.route;
      });
  if (found == m_returning.end()) {
    return false;
  }
  m_returning.erase(found);
  return true;
}

std::optional<std::chrono::nanoseconds> AdmissionControl::RetryAfter(
    std::chrono::nanoseconds time_left, SteadyTime now, RandomSource& random) {
  if (IsMutantEnabled("admission_has_constant_retry_after")) {
    return 1s;
  }
  const double rate = kReturnFraction * m_ended.Rate(now);
  if (rate <= 0) {
    return std::nullopt;
  }
  const auto interval =
      std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / rate));
  const SteadyTime at = std::max(now + kMinRetryAfter, m_last_return + interval);
  const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(
      (at - now) * (1 + kRetrySpread * random.NextFraction()));
  if (wait > time_left / kRetryTimeDivisor) {
    return std::nullopt;
  }
  m_last_return = at;
  return wait;
}

}  // namespace wagtailwind::balancing
